//! Sends and receives beats, and keeps this VM's record in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;

use super::hub::Hub;
use super::journal::Event;
use super::model::Member;
use super::peers::{Beat, EngineLoad, short_name};

/// Time between two beats; sums that are a fifth of a second old still steer well.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two beats, where something is due at once.
const BEAT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Beats after which one tells the addresses of all known VMs.
const KNOWN_EVERY: u64 = 10;
/// Addresses told in one beat.
const KNOWN_MAX: usize = 24;
/// Chains told in one beat.
const HOLDINGS_MAX: usize = 60;
/// Largest datagram that is surely not split on the way.
const BEAT_MAX_BYTES: usize = 1_400;
/// Beats sent to tell that this VM leaves.
const LEAVING_BEATS: usize = 2;
/// Time between two looks at the list of VMs in the store.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two tries to register.
const REGISTER_RETRY: Duration = Duration::from_millis(800);
/// Time between two looks for unused connections that are over their time.
const SWEEP_BEATS: u64 = 5;

/// Sends beats until dropped.
pub(super) async fn send_beats(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        hub.tick();
        if sequence % SWEEP_BEATS == 0 {
            hub.pool.sweep();
        }
        send(&hub, &socket, sequence, false).await;
        sequence += 1;
        tokio::time::sleep(BEAT_INTERVAL_MIN).await;
        let rest = BEAT_INTERVAL.saturating_sub(BEAT_INTERVAL_MIN);
        // A beat that is due at once is no failure of the timer.
        let _ = tokio::time::timeout(rest, hub.beat_due.notified()).await;
    }
}

/// Tells the peers that this VM leaves.
pub(super) async fn send_leaving(hub: &Hub, socket: &UdpSocket) {
    for repeat in 0..LEAVING_BEATS {
        send(
            hub,
            socket,
            u64::MAX - (LEAVING_BEATS - repeat) as u64,
            true,
        )
        .await;
    }
}

/// Takes beats in until dropped.
pub(super) async fn receive_beats(hub: Arc<Hub>, socket: Arc<UdpSocket>) -> std::io::Result<()> {
    let mut buffer = vec![0; BEAT_MAX_BYTES * 2];
    loop {
        let (length, _) = socket.recv_from(&mut buffer).await?;
        let beat = match postcard::from_bytes::<Beat>(&buffer[..length]) {
            Ok(beat) => beat,
            Err(error) => {
                let reason = format!("unreadable: {error}");
                hub.journal.state(&Event::BeatFailed { reason });
                continue;
            }
        };
        let has_lease = beat.lease.is_some();
        if hub.heard(beat) {
            hub.peers_ahead.notify_one();
        }
        if has_lease {
            hub.lease_heard.notify_one();
        }
        hub.pump();
    }
}

/// Keeps this VM's record in the store, and learns of others from theirs, until dropped.
pub(super) async fn keep_member(hub: Arc<Hub>) {
    let member = Member {
        vm: hub.settings.vm.clone(),
        peer_address: hub.settings.peer_address,
        availability_zone: hub.settings.availability_zone.clone(),
    };
    while let Err(failure) = hub.platform.store.register(member.clone()).await {
        let reason = failure.to_string();
        hub.journal.state(&Event::MembershipCallFailed {
            call: "register",
            reason,
        });
        tokio::time::sleep(jittered(REGISTER_RETRY)).await;
    }
    loop {
        let wait = match hub.platform.store.members().await {
            Ok(members) => {
                let now = hub.now();
                let mut core = hub.core();
                for member in members.iter().filter(|member| member.vm != hub.settings.vm) {
                    core.peers.list(member.peer_address, now);
                }
                MEMBERS_INTERVAL
            }
            Err(failure) => {
                let reason = failure.to_string();
                hub.journal.state(&Event::MembershipCallFailed {
                    call: "members",
                    reason,
                });
                REGISTER_RETRY
            }
        };
        tokio::time::sleep(jittered(wait)).await;
    }
}

fn jittered(time: Duration) -> Duration {
    rand::rng().random_range(time / 2..=time)
}

async fn send(hub: &Hub, socket: &UdpSocket, sequence: u64, is_leaving: bool) {
    let (beat, addresses) = beat(hub, sequence, is_leaving);
    let bytes = match postcard::to_stdvec(&beat) {
        Ok(bytes) if bytes.len() <= BEAT_MAX_BYTES => bytes,
        Ok(bytes) => {
            let reason = format!("{} bytes do not fit", bytes.len());
            return hub.journal.state(&Event::BeatFailed { reason });
        }
        Err(error) => {
            let reason = error.to_string();
            return hub.journal.state(&Event::BeatFailed { reason });
        }
    };
    for address in addresses {
        // A peer that is down is found by its silence, and the next beat replaces this one.
        let _ = socket.try_send_to(&bytes, address);
    }
}

fn beat(hub: &Hub, sequence: u64, is_leaving: bool) -> (Beat, Vec<SocketAddr>) {
    let revisions = hub.revisions();
    let now = hub.now();
    let settings = &hub.settings;
    let mut core = hub.core();
    let mut addresses = core.peers.addresses(settings.peer_address);
    if core.peers.is_empty() {
        addresses.extend(&settings.peer_seeds);
        addresses.retain(|address| *address != settings.peer_address);
        addresses.sort_unstable();
        addresses.dedup();
    }
    let busy = core.fleet.iter().filter(|engine| engine.own.requests > 0);
    let loads = busy
        .map(|engine| EngineLoad::new(&engine.instance.id, engine.own))
        .collect();
    let demands = core.allowances.demands(now);
    let demands = demands
        .into_iter()
        .map(|(id, units)| (short_name(&id), units as u32));
    let known = match sequence % KNOWN_EVERY {
        0 => addresses.iter().copied().take(KNOWN_MAX).collect(),
        _ => Vec::new(),
    };
    let read = core.holdings.take_untold(HOLDINGS_MAX);
    let beat = Beat {
        vm: settings.vm.clone(),
        incarnation: hub.incarnation,
        sequence,
        address: settings.peer_address,
        availability_zone: settings.availability_zone.clone(),
        is_leaving,
        revisions,
        loads,
        demands: demands.collect(),
        lease: core.lease.clone(),
        rolling: core.rolling.iter().map(|id| short_name(id)).collect(),
        weights: core.own_word_on_weights(),
        read,
        known,
    };
    (beat, addresses)
}
