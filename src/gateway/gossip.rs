//! Exchange of heartbeats between VMs, and registration of this VM in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::charge::{ChargeRequest, ChargeResponse};
use super::event_log::LogEvent;
use super::heartbeat::{CompactLoad, Heartbeat, HeartbeatScope, StoreRevisions, hash_name};
use super::model::Member;
use super::state::{Gateway, GatewayState};
use crate::clock::Instant;

/// Interval between two heartbeats; placement works well with loads that are 200 ms old.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two heartbeats, for heartbeats that are sent early.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// One in this many heartbeats lists the addresses of known VMs.
const KNOWN_VMS_EVERY_HEARTBEATS: u64 = 10;
/// Maximum number of addresses in one heartbeat.
const KNOWN_VMS_MAX: usize = 12;
/// Maximum number of newly cached prompt prefixes in one heartbeat.
const CACHED_PREFIXES_PER_HEARTBEAT_MAX: usize = 24;
/// Maximum size of a datagram; below the usual MTU, so that it is not fragmented.
const DATAGRAM_MAX_BYTES: usize = 1_400;
/// Number of heartbeats that announce that this VM shuts down.
const LEAVING_HEARTBEATS: u64 = 2;
/// Maximum interval between two reads of the list of VMs in the store.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Time from the first to the second read of the list, by which VMs that started together have
/// registered.
const FIRST_MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(2_000);
/// Maximum delay before a failed membership call to the store is repeated.
const STORE_RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// Expired idle connections are closed with one in this many heartbeats.
const POOL_SWEEP_EVERY_HEARTBEATS: u64 = 5;

/// Datagram exchanged between VMs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// Heartbeat of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Heartbeat of another zone, forwarded within this zone.
    Forwarded(Box<Heartbeat>),
    /// Request to charge the account of a customer that the receiver owns.
    ChargeRequest(ChargeRequest),
    /// Response to a charge request.
    ChargeResponse(ChargeResponse),
}

/// Sends heartbeats until dropped.
pub(super) async fn send_heartbeats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        gateway.tick();
        if sequence % POOL_SWEEP_EVERY_HEARTBEATS == 0 {
            gateway.pool.sweep();
        }
        send_heartbeat(&gateway, &socket, sequence, false);
        sequence += 1;
        tokio::time::sleep(HEARTBEAT_INTERVAL_MIN).await;
        let rest = HEARTBEAT_INTERVAL.saturating_sub(HEARTBEAT_INTERVAL_MIN);
        // Either outcome leads to the next heartbeat: the interval has passed, or one is due early.
        let _ = tokio::time::timeout(rest, gateway.heartbeat_due.notified()).await;
    }
}

/// Announces to the peers that this VM shuts down.
pub(super) fn announce_leaving(gateway: &Gateway, socket: &UdpSocket) {
    for repeat in 0..LEAVING_HEARTBEATS {
        send_heartbeat(
            gateway,
            socket,
            u64::MAX - (LEAVING_HEARTBEATS - repeat),
            true,
        );
    }
}

/// Receives and handles datagrams until dropped.
///
/// # Errors
///
/// Returns the error of the socket.
pub(super) async fn receive_datagrams(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES * 2];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await?;
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::Heartbeat(heartbeat)) => {
                forward_in_zone(&gateway, &socket, &heartbeat);
                handle_heartbeat(&gateway, *heartbeat);
            }
            Ok(Message::Forwarded(heartbeat)) => handle_heartbeat(&gateway, *heartbeat),
            Ok(Message::ChargeRequest(request)) => gateway.handle_charge(request, from),
            Ok(Message::ChargeResponse(response)) => gateway.complete_charge(response),
            Err(error) => {
                let reason = format!("datagram cannot be decoded: {error}");
                gateway.event_log.log(&LogEvent::BeatFailed { reason });
            }
        }
    }
}

/// Forwards the heartbeat of another zone's representative to the VMs of this zone.
fn forward_in_zone(gateway: &Gateway, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let is_other = heartbeat.availability_zone != gateway.settings.availability_zone;
    if is_other && matches!(heartbeat.scope, HeartbeatScope::Zone { .. }) {
        let addresses = gateway
            .state()
            .peers
            .zone_addresses(gateway.settings.peer_address);
        let message = Message::Forwarded(Box::new(heartbeat.clone()));
        send_to_all(gateway, socket, &message, &addresses);
    }
}

fn handle_heartbeat(gateway: &Arc<Gateway>, heartbeat: Heartbeat) {
    let has_lease = heartbeat.lease.is_some();
    if gateway.apply_heartbeat(heartbeat) {
        gateway.catch_up_due.notify_one();
    }
    if has_lease {
        gateway.lease_received.notify_one();
    }
    gateway.place_queued();
}

/// Registers this VM in the store and reads the list of VMs at intervals, until dropped.
pub(super) async fn maintain_membership(gateway: Arc<Gateway>) {
    let member = Member {
        vm: gateway.settings.vm.clone(),
        peer_address: gateway.settings.peer_address,
        availability_zone: gateway.settings.availability_zone.clone(),
    };
    while let Err(failure) = gateway.platform.store.register(member.clone()).await {
        let reason = failure.to_string();
        gateway.event_log.log(&LogEvent::MembershipCallFailed {
            call: "register",
            reason,
        });
        tokio::time::sleep(with_jitter(STORE_RETRY_DELAY_MAX)).await;
    }
    let mut interval = FIRST_MEMBER_LIST_INTERVAL;
    loop {
        let wait = match gateway.platform.store.members().await {
            Ok(members) => {
                apply_members(&gateway, members);
                std::mem::replace(&mut interval, MEMBER_LIST_INTERVAL)
            }
            Err(failure) => {
                let reason = failure.to_string();
                gateway.event_log.log(&LogEvent::MembershipCallFailed {
                    call: "members",
                    reason,
                });
                STORE_RETRY_DELAY_MAX
            }
        };
        tokio::time::sleep(with_jitter(wait)).await;
    }
}

fn apply_members(gateway: &Gateway, members: Vec<Result<Member, String>>) {
    let now = gateway.now();
    for member in members {
        match member {
            Ok(member) if member.vm == gateway.settings.vm => {}
            Ok(member) => {
                let (address, zone) = (member.peer_address, member.availability_zone);
                gateway.state().peers.add_address(address, zone, now);
            }
            Err(reason) => {
                let call = "members";
                gateway
                    .event_log
                    .log(&LogEvent::MembershipCallFailed { call, reason });
            }
        }
    }
}

/// Returns a random time from half of `time` to `time`.
fn with_jitter(time: Duration) -> Duration {
    rand::rng().random_range(time / 2..=time)
}

fn send_heartbeat(gateway: &Gateway, socket: &UdpSocket, sequence: u64, is_leaving: bool) {
    let revisions = gateway.revisions();
    let now = gateway.now();
    let own_address = gateway.settings.peer_address;
    let mut state = gateway.state();
    let own = vm_heartbeat(gateway, &mut state, revisions, sequence, is_leaving);
    let mut in_zone = state.peers.zone_addresses(own_address);
    if in_zone.is_empty() && state.peers.other_zones().next().is_none() {
        in_zone.extend(
            gateway
                .settings
                .peer_seeds
                .iter()
                .filter(|address| **address != own_address),
        );
    }
    let zone = state.peers.is_zone_representative(now).then(|| {
        let heartbeat = zone_heartbeat(&mut state, &own, now);
        (
            heartbeat,
            state.peers.other_zone_addresses(sequence as usize),
        )
    });
    drop(state);
    send_to_all(
        gateway,
        socket,
        &Message::Heartbeat(Box::new(own)),
        &in_zone,
    );
    if let Some((heartbeat, contacts)) = zone {
        send_to_all(
            gateway,
            socket,
            &Message::Heartbeat(Box::new(heartbeat)),
            &contacts,
        );
    }
}

fn vm_heartbeat(
    gateway: &Gateway,
    state: &mut GatewayState,
    revisions: StoreRevisions,
    sequence: u64,
    is_leaving: bool,
) -> Heartbeat {
    let settings = &gateway.settings;
    let busy = state
        .upstreams
        .iter()
        .filter(|upstream| upstream.own_load.requests > 0);
    let loads = busy
        .map(|upstream| CompactLoad::new(&upstream.instance.id, upstream.own_load))
        .collect();
    let demands = state.allowances.demands(gateway.now()).into_iter();
    let known_vms = match sequence % KNOWN_VMS_EVERY_HEARTBEATS {
        0 => state.peers.known_addresses(KNOWN_VMS_MAX),
        _ => Vec::new(),
    };
    Heartbeat {
        scope: HeartbeatScope::Vm,
        vm: settings.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        address: settings.peer_address,
        availability_zone: settings.availability_zone.clone(),
        is_leaving,
        watches_store: state.watches_store() && !is_leaving,
        revisions,
        loads,
        demands: demands
            .map(|(id, units)| (hash_name(&id), units as u32))
            .collect(),
        lease: state.lease.clone(),
        engines_in_rollout: state
            .engines_in_rollout
            .iter()
            .map(|id| hash_name(id))
            .collect(),
        unlisted_weights: state.unlisted_weights(),
        new_cached_prefixes: state
            .prefix_cache_index
            .take_unannounced(CACHED_PREFIXES_PER_HEARTBEAT_MAX),
        known_vms,
    }
}

/// Aggregates the latest heartbeats of the VMs of this zone.
fn zone_heartbeat(state: &mut GatewayState, own: &Heartbeat, now: Instant) -> Heartbeat {
    let mut heartbeat = Heartbeat {
        known_vms: Vec::new(),
        new_cached_prefixes: state
            .prefix_cache_index
            .take_unannounced_to_zones(CACHED_PREFIXES_PER_HEARTBEAT_MAX),
        ..own.clone()
    };
    let mut vms = 1;
    for peer in state.peers.fresh_in_zone(now) {
        vms += 1;
        merge_heartbeat(&mut heartbeat, &peer.heartbeat);
    }
    heartbeat.scope = HeartbeatScope::Zone { vms };
    heartbeat
}

/// Merges the state of another VM into an aggregate of its zone.
fn merge_heartbeat(sum: &mut Heartbeat, other: &Heartbeat) {
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
    if !other.engines_in_rollout.is_empty() {
        sum.engines_in_rollout.clone_from(&other.engines_in_rollout);
    }
    if !other.unlisted_weights.is_empty() {
        sum.unlisted_weights.clone_from(&other.unlisted_weights);
    }
}

fn send_to_all(gateway: &Gateway, socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => bytes,
        Ok(bytes) => {
            let reason = format!(
                "message has {} bytes, which exceeds the maximum datagram size",
                bytes.len()
            );
            return gateway.event_log.log(&LogEvent::BeatFailed { reason });
        }
        Err(error) => {
            let reason = error.to_string();
            return gateway.event_log.log(&LogEvent::BeatFailed { reason });
        }
    };
    for address in addresses {
        // Errors are ignored: the next heartbeat replaces this one, and a peer that is down is
        // detected by its missing heartbeats.
        let _ = socket.try_send_to(&bytes, *address);
    }
}
