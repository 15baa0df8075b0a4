//! Sends and receives beats, and keeps this VM's record in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::beat::{Beat, EngineLoad, Revisions, Scope, short_name};
use super::charge::{Charge, Charged};
use super::hub::{Core, Hub};
use super::journal::Event;
use super::model::Member;
use crate::clock::Instant;

/// Time between two beats; sums that are a fifth of a second old still steer well.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two beats, where something is due at once.
const BEAT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Beats after which one tells the addresses of all known VMs.
const KNOWN_EVERY: u64 = 10;
/// Addresses told in one beat.
const KNOWN_MAX: usize = 12;
/// Chains told in one beat.
const HOLDINGS_MAX: usize = 24;
/// Largest datagram that is surely not split on the way.
const DATAGRAM_MAX_BYTES: usize = 1_400;
/// Beats sent to tell that this VM leaves.
const LEAVING_BEATS: u64 = 2;
/// Time between two looks at the list of VMs in the store.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(20);
/// Time to the second look, after which all VMs of a common start are registered.
const MEMBERS_SOON: Duration = Duration::from_millis(2_000);
/// Time between two tries to register.
const REGISTER_RETRY: Duration = Duration::from_millis(800);
/// Time between two looks for unused connections that are over their time.
const SWEEP_BEATS: u64 = 5;

/// Datagram between VMs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// Beat of its sender.
    Beat(Box<Beat>),
    /// Beat of another zone, passed on within this one.
    Forwarded(Box<Beat>),
    /// Charge of a customer's account that the receiver keeps.
    Charge(Charge),
    /// Answer to a charge.
    Charged(Charged),
}

/// Sends beats until dropped.
pub(super) async fn send_beats(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        hub.tick();
        if sequence % SWEEP_BEATS == 0 {
            hub.pool.sweep();
        }
        send_beat(&hub, &socket, sequence, false);
        sequence += 1;
        tokio::time::sleep(BEAT_INTERVAL_MIN).await;
        let rest = BEAT_INTERVAL.saturating_sub(BEAT_INTERVAL_MIN);
        // A beat that is due at once is no failure of the timer.
        let _ = tokio::time::timeout(rest, hub.beat_due.notified()).await;
    }
}

/// Tells the peers that this VM leaves.
pub(super) fn send_leaving(hub: &Hub, socket: &UdpSocket) {
    for repeat in 0..LEAVING_BEATS {
        send_beat(hub, socket, u64::MAX - (LEAVING_BEATS - repeat), true);
    }
}

/// Takes datagrams in until dropped.
pub(super) async fn receive(hub: Arc<Hub>, socket: Arc<UdpSocket>) -> std::io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES * 2];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await?;
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::Beat(beat)) => {
                forward(&hub, &socket, &beat);
                take_beat(&hub, *beat);
            }
            Ok(Message::Forwarded(beat)) => take_beat(&hub, *beat),
            Ok(Message::Charge(charge)) => hub.charged_by(charge, from),
            Ok(Message::Charged(charged)) => hub.charge_answered(charged),
            Err(error) => {
                let reason = format!("unreadable: {error}");
                hub.journal.state(&Event::BeatFailed { reason });
            }
        }
    }
}

/// Passes the beat of another zone on within this one.
fn forward(hub: &Hub, socket: &UdpSocket, beat: &Beat) {
    let is_other = beat.availability_zone != hub.settings.availability_zone;
    if is_other && matches!(beat.scope, Scope::Zone { .. }) {
        let addresses = hub.core().peers.zone_addresses(hub.settings.peer_address);
        let message = Message::Forwarded(Box::new(beat.clone()));
        send_all(hub, socket, &message, &addresses);
    }
}

fn take_beat(hub: &Arc<Hub>, beat: Beat) {
    let has_lease = beat.lease.is_some();
    if hub.heard(beat) {
        hub.peers_ahead.notify_one();
    }
    if has_lease {
        hub.lease_heard.notify_one();
    }
    hub.place_queued();
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
    let mut interval = MEMBERS_SOON;
    loop {
        let wait = match hub.platform.store.members().await {
            Ok(members) => {
                take_members(&hub, members);
                std::mem::replace(&mut interval, MEMBERS_INTERVAL)
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

fn take_members(hub: &Hub, members: Vec<Result<Member, String>>) {
    let now = hub.now();
    for member in members {
        match member {
            Ok(member) if member.vm == hub.settings.vm => {}
            Ok(member) => {
                let (address, zone) = (member.peer_address, member.availability_zone);
                hub.core().peers.add_address(address, zone, now);
            }
            Err(reason) => {
                let call = "members";
                hub.journal
                    .state(&Event::MembershipCallFailed { call, reason });
            }
        }
    }
}

fn jittered(time: Duration) -> Duration {
    rand::rng().random_range(time / 2..=time)
}

fn send_beat(hub: &Hub, socket: &UdpSocket, sequence: u64, is_leaving: bool) {
    let revisions = hub.revisions();
    let now = hub.now();
    let me = hub.settings.peer_address;
    let mut core = hub.core();
    let own = own_beat(hub, &mut core, revisions, sequence, is_leaving);
    let mut in_zone = core.peers.zone_addresses(me);
    if in_zone.is_empty() && core.peers.other_zones().next().is_none() {
        in_zone.extend(
            hub.settings
                .peer_seeds
                .iter()
                .filter(|address| **address != me),
        );
    }
    let zone = core.peers.is_zone_representative(now).then(|| {
        let beat = zone_beat(&mut core, &own, now);
        (beat, core.peers.other_zone_addresses(sequence as usize))
    });
    drop(core);
    send_all(hub, socket, &Message::Beat(Box::new(own)), &in_zone);
    if let Some((beat, contacts)) = zone {
        send_all(hub, socket, &Message::Beat(Box::new(beat)), &contacts);
    }
}

fn own_beat(
    hub: &Hub,
    core: &mut Core,
    revisions: Revisions,
    sequence: u64,
    is_leaving: bool,
) -> Beat {
    let settings = &hub.settings;
    let busy = core
        .fleet
        .iter()
        .filter(|engine| engine.own_load.requests > 0);
    let loads = busy
        .map(|engine| EngineLoad::new(&engine.instance.id, engine.own_load))
        .collect();
    let demands = core.allowances.demands(hub.now()).into_iter();
    let known = match sequence % KNOWN_EVERY {
        0 => core.peers.known_addresses(KNOWN_MAX),
        _ => Vec::new(),
    };
    Beat {
        scope: Scope::Vm,
        vm: settings.vm.clone(),
        incarnation: hub.incarnation,
        sequence,
        address: settings.peer_address,
        availability_zone: settings.availability_zone.clone(),
        is_leaving,
        follows_store: core.follows_store() && !is_leaving,
        revisions,
        loads,
        demands: demands
            .map(|(id, units)| (short_name(&id), units as u32))
            .collect(),
        lease: core.lease.clone(),
        rolling: core.rolling.iter().map(|id| short_name(id)).collect(),
        weights: core.unlisted_weights(),
        read: core.holdings.take_unannounced(HOLDINGS_MAX),
        known,
    }
}

/// Sums up what the VMs of this zone tell.
fn zone_beat(core: &mut Core, own: &Beat, now: Instant) -> Beat {
    let mut beat = Beat {
        known: Vec::new(),
        read: core.holdings.take_unannounced_to_zones(HOLDINGS_MAX),
        ..own.clone()
    };
    let mut vms = 1;
    for peer in core.peers.fresh_in_zone(now) {
        vms += 1;
        add(&mut beat, &peer.beat);
    }
    beat.scope = Scope::Zone { vms };
    beat
}

fn add(sum: &mut Beat, other: &Beat) {
    sum.revisions = sum.revisions.max(other.revisions);
    for load in &other.loads {
        match sum
            .loads
            .iter_mut()
            .find(|known| known.engine == load.engine)
        {
            Some(known) => *known = known.plus(load),
            None => sum.loads.push(*load),
        }
    }
    for (customer, units) in &other.demands {
        match sum.demands.iter_mut().find(|(known, _)| known == customer) {
            Some((_, known)) => *known += units,
            None => sum.demands.push((*customer, *units)),
        }
    }
    if other.lease.is_some() {
        sum.lease.clone_from(&other.lease);
    }
    if !other.rolling.is_empty() {
        sum.rolling.clone_from(&other.rolling);
    }
    if !other.weights.is_empty() {
        sum.weights.clone_from(&other.weights);
    }
}

fn send_all(hub: &Hub, socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => bytes,
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
        let _ = socket.try_send_to(&bytes, *address);
    }
}
