//! Tests of the list of peers that a VM builds from their heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::gateway::{
    CompactLoad, Heartbeat, HeartbeatScope, HeldLease, PeerView, Peers, PeersSettings, UpstreamLoad,
};
use celerylever::steward::{LeaseHolder, LeaseRecord};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7600))
}

fn heartbeat(zone: &str, number: u8, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        sequence,
        cpu_percent: 100,
        next_in_ms: 200,
        watches_store: true,
        ..Heartbeat::new(format!("vm-{zone}-{number}"), zone.into(), address(number))
    }
}

fn zone_heartbeat(zone: &str, number: u8, sequence: u64, vms: u16) -> Heartbeat {
    Heartbeat {
        scope: HeartbeatScope::Zone { vms, silent_vms: 0 },
        ..heartbeat(zone, number, sequence)
    }
}

fn peers(zone: &str, number: u8) -> Peers {
    Peers::new(
        PeersSettings::default(),
        format!("vm-{zone}-{number}"),
        zone.into(),
    )
}

#[test]
fn a_beat_heard_twice_is_no_news() {
    let mut peers = peers("a", 1);
    assert!(peers.record_heartbeat(heartbeat("a", 2, 5), MS(0)));
    assert!(!peers.record_heartbeat(heartbeat("a", 2, 5), MS(10)));
    assert!(!peers.record_heartbeat(heartbeat("a", 2, 4), MS(20)));
}

#[test]
fn a_vm_that_leaves_no_longer_counts() {
    let mut peers = peers("a", 1);
    peers.record_heartbeat(heartbeat("a", 2, 5), MS(0));
    assert_eq!(peers.fleet_size(), 2);
    peers.record_heartbeat(
        Heartbeat {
            is_leaving: true,
            ..heartbeat("a", 2, 6)
        },
        MS(10),
    );
    assert_eq!(peers.fleet_size(), 1);
}

#[test]
fn a_zone_counts_with_all_its_vms_while_it_is_silent() {
    let mut peers = peers("a", 1);
    peers.record_heartbeat(zone_heartbeat("b", 9, 1, 4), MS(0));
    assert_eq!(
        (peers.fleet_size(), peers.fresh_peers(MS(100)).count()),
        (5, 1)
    );
    assert_eq!(
        (peers.fleet_size(), peers.fresh_peers(MS(5_000)).count()),
        (5, 0)
    );
    peers.sweep(MS(60_000));
    assert_eq!(peers.fleet_size(), 1);
}

#[test]
fn vms_of_a_zone_that_was_never_heard_count_one_by_one() {
    let mut peers = peers("a", 1);
    peers.add_address(address(8), "b".into(), MS(0));
    peers.add_address(address(9), "b".into(), MS(0));
    assert_eq!(peers.fleet_size(), 3);
    peers.record_heartbeat(zone_heartbeat("b", 9, 1, 2), MS(10));
    assert_eq!(peers.fleet_size(), 3);
}

#[test]
fn another_speaker_is_heard_once_the_first_is_silent() {
    let mut peers = peers("a", 1);
    assert!(peers.record_heartbeat(zone_heartbeat("b", 8, 10, 3), MS(0)));
    assert!(!peers.record_heartbeat(zone_heartbeat("b", 9, 1, 3), MS(100)));
    assert!(peers.record_heartbeat(zone_heartbeat("b", 9, 2, 3), MS(500)));
}

#[test]
fn one_vm_of_a_zone_speaks_and_the_others_know() {
    let count = 5;
    let representatives = (1..=count).filter(|own_number| {
        let mut peers = peers("a", *own_number);
        (1..=count).for_each(|other| {
            peers.record_heartbeat(heartbeat("a", other, 1), MS(0));
        });
        peers.is_zone_representative(MS(10))
    });
    assert_eq!(representatives.count(), 1);
}

#[test]
fn all_vms_of_a_zone_agree_who_keeps_an_account() {
    let owners: Vec<String> = (1..=5)
        .map(|own_number| {
            let mut peers = peers("a", own_number);
            (1..=5).for_each(|other| {
                peers.record_heartbeat(heartbeat("a", other, 1), MS(0));
            });
            let owner = peers.account_owner("teifi", MS(10));
            owner.map_or(format!("vm-a-{own_number}"), |peer| {
                peer.heartbeat.vm.clone()
            })
        })
        .collect();
    assert!(owners.iter().all(|owner| *owner == owners[0]), "{owners:?}");
}

#[test]
fn a_vm_alone_keeps_its_accounts_and_follows_the_store() {
    let mut peers = peers("a", 1);
    peers.record_heartbeat(heartbeat("a", 2, 1), MS(0));
    let later = MS(3_000);
    assert!(peers.account_owner("teifi", later).is_none());
    assert!(peers.store_relay(later).is_none() && peers.is_zone_representative(later));
}

#[test]
fn nobody_relays_who_does_not_follow_the_store() {
    let relay_count = |watches_store| {
        let found = (1..=4).filter(|own_number| {
            let mut peers = peers("a", *own_number);
            (1..=4).for_each(|other| {
                peers.record_heartbeat(
                    Heartbeat {
                        watches_store,
                        ..heartbeat("a", other, 1)
                    },
                    MS(0),
                );
            });
            peers.store_relay(MS(10)).is_some()
        });
        found.count()
    };
    assert_eq!((relay_count(true), relay_count(false)), (3, 0));
}

#[test]
fn a_zone_is_told_through_its_speaker_and_a_drawn_vm() {
    let mut peers = peers("a", 1);
    (5..9).for_each(|number| peers.add_address(address(number), "b".into(), MS(0)));
    peers.record_heartbeat(zone_heartbeat("b", 5, 1, 4), MS(0));
    let addresses = peers.other_zone_addresses(2);
    assert_eq!(addresses, [address(5), address(7)]);
    assert_eq!(peers.other_zone_addresses(0), [address(5)]);
}

#[test]
fn a_beat_from_another_zones_vm_tells_only_where_it_is() {
    let mut peers = peers("a", 1);
    assert!(!peers.record_heartbeat(heartbeat("b", 9, 1), MS(0)));
    assert_eq!(peers.fresh_peers(MS(1)).count(), 0);
    assert_eq!(peers.other_zone_addresses(0), [address(9)]);
}

fn load(requests: u32) -> CompactLoad {
    let load = UpstreamLoad {
        requests,
        prefill_tokens: 640,
        memory_tokens: 1_280,
    };
    CompactLoad::new("engine-1", load)
}

/// The sums of the zone contain the load that this VM has reported itself.
#[test]
fn the_own_load_is_not_counted_twice() {
    let mut peers = Peers::new(
        PeersSettings {
            own_cpu_percent: 12,
            ..PeersSettings::default()
        },
        "vm-a-1".into(),
        "a".into(),
    );
    peers.record_heartbeat(heartbeat("a", 2, 1), MS(0));
    let sum = Heartbeat {
        loads: vec![load(5)],
        ..zone_heartbeat("a", 2, 2, 2)
    };
    assert!(peers.record_heartbeat(sum, MS(10)));
    let mut view = PeerView::default();
    let reported = [load(2)];
    assert!(view.refresh(&peers, &reported, MS(20)));
    assert_eq!(view.load(load(0).engine).requests, 3);
}

/// One report may be due to the path of the VM that sent it, several are not.
#[test]
fn several_vms_condemn_an_engine_and_one_does_not() {
    let reports = |zone: &str, number, vms| Heartbeat {
        unreachable_engines: vec![(7, vms)],
        ..zone_heartbeat(zone, number, 1, 3)
    };
    let mut peers = peers("a", 1);
    let mut view = PeerView::default();
    peers.record_heartbeat(reports("b", 9, 1), MS(0));
    view.refresh(&peers, &[], MS(10));
    assert!(!view.is_reported_unreachable(7));
    view.record_heartbeat();
    peers.record_heartbeat(reports("c", 8, 1), MS(20));
    view.refresh(&peers, &[], MS(30));
    assert!(view.is_reported_unreachable(7));
    assert!(!view.is_reported_unreachable(8));
}

/// VMs that a zone has lost contact to keep their parts of a rate in all zones.
#[test]
fn vms_that_are_cut_off_in_another_zone_keep_their_part() {
    let mut peers = peers("a", 1);
    let sum = Heartbeat {
        scope: HeartbeatScope::Zone {
            vms: 2,
            silent_vms: 1,
        },
        ..heartbeat("b", 9, 1)
    };
    peers.record_heartbeat(sum, MS(0));
    let groups = peers.account_groups("teifi", false, MS(100));
    let others: usize = groups.others.iter().map(|group| group.vms).sum();
    let unknown = groups
        .others
        .iter()
        .filter(|group| group.demand_per_s.is_none());
    assert_eq!((groups.own_vms, others), (1, 3));
    assert_eq!(unknown.map(|group| group.vms).sum::<usize>(), 1);
}

/// VMs of a build before and after a change read each other's heartbeats only if the layout of the
/// lease remains.
#[test]
fn the_lease_in_a_heartbeat_has_no_idle_time() {
    let record = LeaseRecord {
        holder: Some(LeaseHolder {
            vm: "vm".into(),
            incarnation: 2,
        }),
        fencing_number: 3,
        renewal_count: 4,
        idle_ms: Some(5),
    };
    let lease = HeldLease::new(1, record.clone());
    let bytes = postcard::to_stdvec(&lease).unwrap();
    assert_eq!(bytes, [1, 1, 2, b'v', b'm', 2, 3, 4]);
    let object = lease.into_object();
    assert_eq!(object.version, 1);
    assert_eq!(
        object.record,
        Some(LeaseRecord {
            idle_ms: None,
            ..record
        })
    );
}

/// Guards against zones that forget each other's VMs between two reads of the list in the store.
#[test]
fn the_vms_of_another_zone_are_known_while_their_representative_hears_them() {
    let (mut representative, mut other) = (peers("a", 1), peers("b", 100));
    let vms: Vec<u8> = (2..=50).collect();
    let mut told = 0;
    for second in 0..60 {
        let now = MS(second * 1_000);
        for vm in &vms {
            // One of them is gone from here on.
            if *vm != 7 || second < 20 {
                representative.record_heartbeat(heartbeat("a", *vm, second + 1), now);
            }
        }
        if second % 4 == 0 {
            let sum = Heartbeat {
                known_vms: representative.heard_in_zone(12, told, now),
                ..zone_heartbeat("a", 1, second + 1, 50)
            };
            told += 1;
            other.record_heartbeat(sum, now);
        }
        representative.sweep(now);
        other.sweep(now);
    }
    let known: Vec<SocketAddr> = other
        .fleet_addresses(address(100))
        .map(|(address, _)| address)
        .collect();
    let missing: Vec<_> = vms
        .iter()
        .filter(|vm| !known.contains(&address(**vm)))
        .collect();
    assert_eq!(missing, [&7]);
}
