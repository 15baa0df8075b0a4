//! Exchange of heartbeats between VMs.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::brittle_upstream::{VM_MARK, ZONE_MARK, send_all_brittle_services, send_brittle_news};
use super::crash_guard::gossip::{send_all_records, send_crash_news};
use super::datagram::{DATAGRAM_MAX_BYTES, Message, send_to_all};
use super::event_log::LogEvent;
use super::heartbeat::{CompactLoad, Heartbeat, HeartbeatScope, StoreRevisions};
use super::leaving_news::send_leaving_news;
use super::name_hash::hash_name;
use super::state::{Gateway, GatewayState};
use super::stream_origin::request_history;
use super::upstream_limit::permit_exchange::{send_all_limits, send_limit_news};
use super::zone_roles::HeartbeatTargets;
use crate::clock::Instant;

/// Interval between two heartbeats; placement works well with loads that are 200 ms old.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two heartbeats, for heartbeats that are sent early.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Number of VMs of a zone for which its representative sends early heartbeats that often; with
/// more of them the interval is longer.
const EARLY_HEARTBEAT_VMS: u32 = 24;
/// One in this many heartbeats lists the addresses of known VMs.
const KNOWN_VMS_EVERY_HEARTBEATS: u64 = 10;
/// One in this many sums of a zone lists addresses of its VMs. All VMs of a zone are listed before
/// other zones forget them.
const ZONE_VMS_EVERY_HEARTBEATS: u64 = 20;
/// Maximum number of addresses in one heartbeat.
const KNOWN_VMS_MAX: usize = 12;
/// Maximum number of newly cached prompt prefixes in one heartbeat.
const CACHED_PREFIXES_PER_HEARTBEAT_MAX: usize = 24;
/// Number of heartbeats that announce that this VM shuts down.
const LEAVING_HEARTBEATS: u64 = 2;
/// Expired idle connections are closed, and the owners of accounts determined, with one in this
/// many heartbeats.
const SWEEP_EVERY_HEARTBEATS: u64 = 5;
/// A VM that has not seen the origins of streams for long asks others with one in this many
/// heartbeats.
const HISTORY_EVERY_HEARTBEATS: u64 = 2;

/// Sends heartbeats until dropped.
pub(super) async fn send_heartbeats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        gateway.tick();
        if sequence % SWEEP_EVERY_HEARTBEATS == 0 {
            gateway.pool.sweep();
            gateway.record_account_owners();
        }
        if sequence % HISTORY_EVERY_HEARTBEATS == 0 {
            request_history(&gateway, &socket);
        }
        let receivers = send_heartbeat(&gateway, &socket, sequence, false);
        send_crash_news(&gateway, &socket, sequence);
        send_limit_news(&gateway, &socket, sequence);
        send_brittle_news(&gateway, &socket, sequence);
        send_leaving_news(&gateway, &socket, sequence);
        sequence += 1;
        let interval_min = HEARTBEAT_INTERVAL_MIN * (1 + receivers as u32 / EARLY_HEARTBEAT_VMS);
        // The next heartbeat has been announced for the end of the regular interval.
        let interval_min = interval_min.min(HEARTBEAT_INTERVAL);
        tokio::time::sleep(interval_min).await;
        let rest = HEARTBEAT_INTERVAL.saturating_sub(interval_min);
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
                handle_heartbeat(&gateway, &socket, *heartbeat, false);
            }
            Ok(Message::Forwarded(heartbeat)) => {
                handle_heartbeat(&gateway, &socket, *heartbeat, true);
            }
            Ok(Message::ChargeRequest(request)) => gateway.handle_charge(request, from),
            Ok(Message::ChargeResponse(response)) => gateway.complete_charge(response),
            Ok(Message::CrashNews(news)) => gateway.apply_crash_news(&news),
            Ok(Message::TrialRequest { id, suspect, round }) => {
                gateway.handle_trial_request(id, suspect, round, from);
            }
            Ok(Message::TrialReply { id, is_permitted }) => {
                gateway.pending_trials.complete(id, is_permitted);
            }
            Ok(Message::TrialReturn { suspect, round }) => gateway.return_trial(suspect, round),
            Ok(Message::LimitNews(news)) => gateway.apply_limit_news(&news),
            Ok(Message::PermitCall(call)) => gateway.handle_permit_call(call, from),
            Ok(Message::PermitReply(reply)) => gateway.pending_permits.complete(reply.id, reply),
            Ok(Message::PermitSpent(process)) => gateway.handle_permit_spent(process),
            Ok(Message::LeavingNews(processes)) => gateway.apply_leaving_news(&processes),
            Ok(Message::OriginRecord(record)) => gateway.handle_origin_record(&record, from),
            Ok(Message::OriginKept { id, is_kept }) => {
                gateway.pending_origin_records.complete(id, is_kept);
            }
            Ok(Message::OriginLookup(lookup)) => gateway.handle_origin_lookup(lookup, from),
            Ok(Message::OriginAnswer { id, answer }) => {
                gateway.pending_origin_lookups.complete(id, answer);
            }
            Ok(Message::BrittleNews(news)) => gateway.apply_brittle_news(&news),
            Ok(Message::SendCall(call)) => gateway.handle_send_call(call, from),
            Ok(Message::SendReply(reply)) => gateway.handle_send_reply(reply, from),
            Ok(Message::SendReport(report)) => gateway.handle_send_report(report),
            Ok(Message::HistoryRequest) => gateway.handle_history_request(from),
            Ok(Message::HistoryReply(reply)) => gateway.apply_history(*reply),
            Ok(Message::RolloutReport(report)) => gateway.handle_rollout_report(*report),
            Ok(Message::RolloutGrant(grant)) => gateway.handle_rollout_grant(grant, from),
            Ok(Message::RolloutConclusion {
                service,
                target,
                is_done,
            }) => gateway.handle_rollout_conclusion(&service, &target, is_done),
            Ok(Message::LoadNews(news)) => gateway.apply_load_news(&news),
            Err(error) => {
                let reason = format!("datagram cannot be decoded: {error}");
                gateway.event_log.log(&LogEvent::BeatFailed { reason });
            }
        }
    }
}

fn handle_heartbeat(
    gateway: &Arc<Gateway>,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    is_forwarded: bool,
) {
    let has_lease = heartbeat.lease.is_some();
    let is_other_zone = heartbeat.availability_zone != gateway.settings.availability_zone;
    let is_sum = matches!(heartbeat.scope, HeartbeatScope::Zone { .. });
    let forwarded = (is_other_zone && is_sum).then(|| heartbeat.clone());
    let sender = heartbeat.address;
    let news = gateway.apply_heartbeat(heartbeat);
    if news.is_new_process {
        introduce(gateway, socket, sender);
    }
    if let Some(heartbeat) = forwarded.filter(|_| news.is_newer) {
        forward_in_zone(gateway, socket, heartbeat, is_forwarded);
    }
    if news.is_ahead {
        gateway.catch_up_due.notify_one();
    }
    if has_lease {
        gateway.lease_received.notify_one();
    }
    gateway.place_queued_after_heartbeat();
}

/// Sends a heartbeat to a VM that has started, if this VM is a hub: it needs a relay at once.
fn introduce(gateway: &Gateway, socket: &UdpSocket, address: SocketAddr) {
    let revisions = gateway.revisions();
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.peers.is_complete(now) || !state.peers.is_hub(now) {
        return;
    }
    let sequence = state.last_heartbeat;
    let heartbeat = vm_heartbeat(gateway, &mut state, revisions, sequence, false);
    drop(state);
    let message = Message::Heartbeat(Box::new(heartbeat));
    send_to_all(gateway, socket, &message, &[address]);
    send_all_records(gateway, socket, address);
    send_all_limits(gateway, socket, address);
    send_all_brittle_services(gateway, socket, address);
}

/// Forwards the sums of another zone within this zone: the representative to all VMs, another VM to
/// the representative.
fn forward_in_zone(
    gateway: &Gateway,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    is_forwarded: bool,
) {
    let now = gateway.now();
    let state = gateway.state();
    let addresses = match state.peers.representative(now) {
        None => state.peers.zone_addresses(gateway.settings.peer_address),
        Some(_) if is_forwarded => Vec::new(),
        Some(representative) => vec![representative.heartbeat.address],
    };
    drop(state);
    let message = Message::Forwarded(Box::new(heartbeat));
    send_to_all(gateway, socket, &message, &addresses);
}

/// Sends a heartbeat to the VMs of this zone and, from its representative, the sums of the zone to
/// its VMs and the other zones; returns the number of receivers.
fn send_heartbeat(gateway: &Gateway, socket: &UdpSocket, sequence: u64, is_leaving: bool) -> usize {
    let revisions = gateway.revisions();
    let now = gateway.now();
    let own_address = gateway.settings.peer_address;
    let mut state = gateway.state();
    let mut own = vm_heartbeat(gateway, &mut state, revisions, sequence, is_leaving);
    own.new_cached_prefixes = state
        .prefix_cache_index
        .take_unannounced(CACHED_PREFIXES_PER_HEARTBEAT_MAX);
    state.reported_loads.clone_from(&own.loads);
    state.last_heartbeat = sequence;
    let in_zone = state.peers.zone_addresses(own_address);
    let mut targets = match is_leaving {
        true => HeartbeatTargets {
            every_round: in_zone.clone(),
            ..HeartbeatTargets::default()
        },
        false => state.peers.heartbeat_targets(own_address, sequence, now),
    };
    if in_zone.is_empty() && state.peers.other_zones().next().is_none() {
        let seeds = gateway.settings.peer_seeds.iter();
        targets
            .every_round
            .extend(seeds.filter(|address| **address != own_address));
    }
    let zone = state.peers.is_zone_representative(now).then(|| {
        let heartbeat = zone_heartbeat(&mut state, &own, now);
        let mut receivers = state.peers.other_zone_addresses(sequence as usize);
        // In a small zone every VM hears all others directly.
        if targets.rounds > 1 {
            receivers.extend(&in_zone);
        }
        (heartbeat, receivers)
    });
    drop(state);
    let interval = HEARTBEAT_INTERVAL.as_millis() as u16;
    // The sums of the representative show in each round that it is alive.
    let rounds = if zone.is_some() { 1 } else { targets.rounds };
    let to_others = Heartbeat {
        next_in_ms: interval.saturating_mul(rounds as u16),
        ..own.clone()
    };
    let message = |heartbeat| Message::Heartbeat(Box::new(heartbeat));
    send_to_all(gateway, socket, &message(own), &targets.every_round);
    send_to_all(gateway, socket, &message(to_others), &targets.this_round);
    let mut receivers = targets.every_round.len() + targets.this_round.len();
    if let Some((heartbeat, addresses)) = zone {
        send_to_all(gateway, socket, &message(heartbeat), &addresses);
        receivers += addresses.len();
    }
    receivers
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
    let now = gateway.now();
    let demands = state.allowances.demands(now).into_iter();
    let known_vms = match sequence % KNOWN_VMS_EVERY_HEARTBEATS {
        0 => state.peers.known_addresses(KNOWN_VMS_MAX),
        _ => Vec::new(),
    };
    let assumed_in_rollout = state
        .upstreams
        .iter()
        .filter(|upstream| upstream.is_order_announced(now))
        .map(|upstream| upstream.name_hash);
    Heartbeat {
        incarnation: gateway.incarnation,
        sequence,
        cpu_percent: state.peers.own_cpu_percent(),
        next_in_ms: HEARTBEAT_INTERVAL.as_millis() as u16,
        is_leaving,
        watches_store: state.watches_store() && !is_leaving,
        revisions,
        loads,
        demands: demands
            .map(|(id, units)| (hash_name(&id), units as u32))
            .chain(state.permit_accounts.demands(now))
            .chain([(hash_name(VM_MARK), 1)])
            .collect(),
        lease: state.lease.clone(),
        engines_in_rollout: state
            .engines_in_rollout
            .iter()
            .map(|id| hash_name(id))
            .chain(assumed_in_rollout)
            .collect(),
        unlisted_weights: state.unlisted_weights(),
        unreachable_engines: state.unreachable_engines(now),
        known_vms,
        ..Heartbeat::new(
            settings.vm.clone(),
            settings.availability_zone.clone(),
            settings.peer_address,
        )
    }
}

/// Aggregates the latest heartbeats of the VMs of this zone.
fn zone_heartbeat(state: &mut GatewayState, own: &Heartbeat, now: Instant) -> Heartbeat {
    let mut heartbeat = Heartbeat {
        known_vms: match own.sequence % ZONE_VMS_EVERY_HEARTBEATS {
            0 => {
                let part = own.sequence / ZONE_VMS_EVERY_HEARTBEATS;
                state.peers.heard_in_zone(KNOWN_VMS_MAX, part as usize, now)
            }
            _ => Vec::new(),
        },
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
    // Of the weights reported for an engine, the newest.
    let unlisted_weights = &mut heartbeat.unlisted_weights;
    unlisted_weights.sort_unstable_by_key(|(engine, weights)| (*engine, Reverse(*weights)));
    unlisted_weights.dedup_by_key(|(engine, _)| *engine);
    heartbeat.demands.push((hash_name(ZONE_MARK), 1));
    heartbeat.scope = HeartbeatScope::Zone {
        vms,
        silent_vms: state.peers.stale_in_zone(now) as u16,
    };
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
    for (engine, vms) in &other.unreachable_engines {
        let sums = &mut sum.unreachable_engines;
        match sums.iter_mut().find(|(known, _)| known == engine) {
            Some((_, known)) => *known = known.saturating_add(*vms),
            None => sums.push((*engine, *vms)),
        }
    }
    if other.lease.is_some() {
        sum.lease.clone_from(&other.lease);
    }
    for engine in &other.engines_in_rollout {
        if !sum.engines_in_rollout.contains(engine) {
            sum.engines_in_rollout.push(*engine);
        }
    }
    sum.unlisted_weights.extend(&other.unlisted_weights);
}
