//! Exchange of records of streams between VMs.
//!
//! Messages grow with the streams that begin while several software versions serve, and with those
//! that callers take up; neither with the number of VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use super::STREAM_LIFETIME;
use super::keepers::{KEEPERS, rank_keepers};
use super::lookup::{KeeperAnswer, LookupResult, conclude};
use super::messages::{OriginLookup, OriginRecord};
use super::moves::RouteTarget;
use super::origin::{StreamKey, StreamOrigin};
use crate::clock::Instant;
use crate::gateway::datagram::{Message, send};
use crate::gateway::event_log::LogEvent;
use crate::gateway::model::Route;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::table::RoutingTable;

/// Time after which a message to a keeper counts as lost; the reply takes a few milliseconds.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(30);
/// Maximum number of rounds of messages about one stream.
const ROUNDS_MAX: usize = 4;
/// Number of VMs that are asked for a record, and among which its keepers are.
const CANDIDATES: usize = 2 * KEEPERS;

impl Gateway {
    /// Returns the origin of a stream whose first event has come from an upstream.
    pub(in crate::gateway) fn begun_origin(&self, dispatched: &DispatchedRequest) -> StreamOrigin {
        let state = self.state();
        // The process that was listed may have been replaced before the connection was opened.
        let listed = state.upstreams.get(&dispatched.instance.id);
        let is_replaced = listed.is_some_and(|listed| listed.instance != dispatched.instance);
        StreamOrigin {
            service: dispatched.service.clone(),
            software: dispatched.software.clone().filter(|_| !is_replaced),
        }
    }

    /// Lets other VMs keep the origin of a stream of a route, unless it is certain at all VMs.
    ///
    /// The caller may come back for `timeout`. Returns after the record is kept, or after a few
    /// attempts: a stream is not withheld because no other VM can be reached.
    pub(in crate::gateway) async fn keep_origin(
        &self,
        key: StreamKey,
        origin: &StreamOrigin,
        target: RouteTarget<'_>,
        timeout: Duration,
    ) {
        let now = self.now();
        let mut candidates: VecDeque<SocketAddr> = {
            let mut state = self.state();
            state.observe_software(&origin.service, now);
            let origins = &state.stream_origins;
            let only = origins.history.only_origin(target, now);
            // VMs that start together may not have heard from one that has seen all.
            let is_known_to_all = origins.has_run_for(STREAM_LIFETIME, now);
            if only.as_ref() == Some(origin) && is_known_to_all && timeout <= STREAM_LIFETIME {
                return;
            }
            let records = &mut state.stream_origins.records;
            records.insert(key, origin, timeout, now);
            state.keeper_candidates(key, self.settings.peer_address, now)
        };
        let keepers = KEEPERS.min(candidates.len());
        let mut missing = keepers;
        for _ in 0..ROUNDS_MAX {
            let asked: Vec<_> = (0..missing)
                .filter_map(|_| candidates.pop_front())
                .collect();
            let replies = asked
                .iter()
                .map(|address| self.ask_to_keep(*address, key, origin, timeout));
            let replies = join_all(replies).await;
            for (address, is_kept) in asked.into_iter().zip(replies) {
                match is_kept {
                    true => missing -= 1,
                    false => candidates.push_back(address),
                }
            }
            if missing == 0 {
                break;
            }
        }
        self.metrics.count_origin_record(match missing {
            0 => "kept",
            missing if missing < keepers => "partly_kept",
            _ => "not_kept",
        });
    }

    /// Returns the origin of a stream that a caller takes up.
    ///
    /// # Errors
    ///
    /// Returns whether another VM may know more.
    pub(in crate::gateway) async fn find_origin(
        &self,
        request_id: &str,
        key: StreamKey,
        target: RouteTarget<'_>,
    ) -> Result<StreamOrigin, UnknownOrigin> {
        let (result, answers) = match self.own_record(key) {
            Some(origin) => (LookupResult::Found(origin), Vec::new()),
            None => {
                let answers = self.look_up(key).await;
                (conclude(&answers), answers)
            }
        };
        let now = self.now();
        let (source, origin) = match result {
            LookupResult::Found(origin) => ("record", Ok(origin)),
            LookupResult::NotRecorded { within } => {
                let mut state = self.state();
                state.observe_all_software(now);
                let history = &state.stream_origins.history;
                let origin = history.unrecorded_origin(target, now, within);
                let unknown = match history.has_seen_all(now) {
                    true => UnknownOrigin::Everywhere,
                    false => UnknownOrigin::Here,
                };
                ("only_version", origin.ok_or(unknown))
            }
            LookupResult::Unknown => ("unknown", Err(UnknownOrigin::Here)),
        };
        self.metrics.count_origin_lookup(match origin {
            Ok(_) => source,
            Err(_) => "unknown",
        });
        if origin.is_err() {
            self.log_unknown_origin(request_id, target, &answers);
        }
        origin
    }

    /// Logs what this VM and the ones that were asked know of a stream that is refused.
    fn log_unknown_origin(
        &self,
        request_id: &str,
        target: RouteTarget<'_>,
        answers: &[Option<KeeperAnswer>],
    ) {
        let now = self.now();
        let state = self.state();
        let history = &state.stream_origins.history;
        let kept_since = answers.iter().flatten().map(|answer| answer.kept_since);
        let event = LogEvent::OriginUnknown {
            asked_vms: answers.len(),
            answering_vms: answers.iter().flatten().count(),
            kept_ms_min: kept_since.min().map(|time| time.as_millis() as u64),
            seen_ms: history.seen_for(now).as_millis() as u64,
            seen_versions: history.recent_versions(target.route, now),
            is_moved: history.has_moved(target, now),
        };
        drop(state);
        self.event_log.log_request(request_id, &event);
    }

    /// Returns the origin of a stream that a caller takes up without naming it, if this VM has seen
    /// only one.
    pub(in crate::gateway) fn only_seen_origin(
        &self,
        target: RouteTarget<'_>,
    ) -> Result<StreamOrigin, UnknownOrigin> {
        let now = self.now();
        let mut state = self.state();
        for (service, _) in &target.route.services {
            state.observe_software(service, now);
        }
        let history = &state.stream_origins.history;
        let origin = history.only_seen_origin(target, now);
        drop(state);
        self.metrics.count_origin_lookup(match origin {
            Some(_) => "only_version",
            None => "unknown",
        });
        origin.ok_or(UnknownOrigin::Everywhere)
    }

    /// Keeps the origin of a stream for another VM and confirms it.
    pub(in crate::gateway) fn handle_origin_record(&self, record: &OriginRecord, from: SocketAddr) {
        let kept_for = Duration::from_millis(record.kept_ms.into());
        let now = self.now();
        let is_kept =
            self.state()
                .stream_origins
                .records
                .insert(record.key, &record.origin, kept_for, now);
        if let Some(socket) = self.peer_socket.get() {
            // If the reply is lost, the sender asks another VM.
            let id = record.id;
            send(socket, &Message::OriginKept { id, is_kept }, from);
        }
    }

    /// Answers another VM's request for the origin of a stream.
    pub(in crate::gateway) fn handle_origin_lookup(&self, lookup: OriginLookup, from: SocketAddr) {
        let answer = self.state().stream_origins.answer(lookup.key, self.now());
        if let Some(socket) = self.peer_socket.get() {
            let id = lookup.id;
            // If the reply is lost, this VM counts as silent.
            send(socket, &Message::OriginAnswer { id, answer }, from);
        }
    }

    async fn ask_to_keep(
        &self,
        address: SocketAddr,
        key: StreamKey,
        origin: &StreamOrigin,
        timeout: Duration,
    ) -> bool {
        let Some(socket) = self.peer_socket.get() else {
            return false;
        };
        let (id, reply) = self.pending_origin_records.register();
        let record = OriginRecord {
            id,
            key,
            origin: origin.clone(),
            kept_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
        };
        let wait = match send(socket, &Message::OriginRecord(record), address) {
            true => KEEPER_TIMEOUT,
            false => Duration::ZERO,
        };
        let is_kept = self.pending_origin_records.wait(id, reply, wait).await;
        let now = self.now();
        let origins = &mut self.state().stream_origins;
        origins.record_reply(address, is_kept.is_some(), now);
        is_kept.unwrap_or(false)
    }

    fn own_record(&self, key: StreamKey) -> Option<StreamOrigin> {
        let now = self.now();
        self.state().stream_origins.origin(key, now)
    }

    /// Asks the VMs that may keep the record of a stream, repeatedly those that do not answer.
    async fn look_up(&self, key: StreamKey) -> Vec<Option<KeeperAnswer>> {
        let own_address = self.settings.peer_address;
        let candidates: Vec<SocketAddr> = {
            let ranked = self.state().ranked_keepers(key, own_address);
            ranked.into_iter().take(CANDIDATES).collect()
        };
        let mut answers: Vec<Option<KeeperAnswer>> = vec![None; candidates.len()];
        for _ in 0..ROUNDS_MAX {
            let asked = candidates.iter().zip(&answers);
            let asked = asked.map(|(address, answer)| async move {
                match answer {
                    Some(answer) => Some(answer.clone()),
                    None if *address == own_address => Some(self.own_answer(key)),
                    None => self.ask_for_origin(*address, key).await,
                }
            });
            answers = join_all(asked).await;
            match conclude(&answers) {
                LookupResult::Found(_) => break,
                LookupResult::NotRecorded { within } if within >= STREAM_LIFETIME => break,
                _ if !answers.contains(&None) => break,
                _ => {}
            }
        }
        answers
    }

    fn own_answer(&self, key: StreamKey) -> KeeperAnswer {
        let now = self.now();
        self.state().stream_origins.answer(key, now)
    }

    async fn ask_for_origin(&self, address: SocketAddr, key: StreamKey) -> Option<KeeperAnswer> {
        let socket = self.peer_socket.get()?;
        let (id, reply) = self.pending_origin_lookups.register();
        let lookup = OriginLookup { id, key };
        let wait = match send(socket, &Message::OriginLookup(lookup), address) {
            true => KEEPER_TIMEOUT,
            false => Duration::ZERO,
        };
        self.pending_origin_lookups.wait(id, reply, wait).await
    }

    /// Records which paths lead to other services in a new configuration: those of routes that have
    /// changed, that are new and take paths from another one, or that are no more.
    pub(in crate::gateway) fn record_moved_routes(&self, old: &RoutingTable, new: &RoutingTable) {
        let now = self.now();
        let mut state = self.state();
        let moves = &mut state.stream_origins.history;
        for route in new.routes().chain(old.routes()) {
            let (host, path_prefix) = (&route.host, &route.path_prefix);
            let earlier = old.route(host, path_prefix);
            let later = new.route(host, path_prefix);
            let services = |route: Option<&Arc<Route>>| route.map(|route| route.services.clone());
            if earlier.is_some() && services(earlier) != services(later) {
                moves.record_move(host, path_prefix, earlier.map(Arc::as_ref), now);
            }
        }
    }
}

/// VMs that may know the origin of a stream that this one does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum UnknownOrigin {
    /// No VM knows it.
    Everywhere,
    /// Another VM may know more, or this one soon.
    Here,
}

impl GatewayState {
    /// Records the software of all upstreams.
    pub(super) fn observe_all_software(&mut self, now: Instant) {
        self.stream_origins.observe(self.upstreams.iter(), now);
    }

    /// Records the software of a service's upstreams.
    fn observe_software(&mut self, service: &str, now: Instant) {
        let upstreams = self.upstreams.iter();
        let upstreams = upstreams.filter(|upstream| upstream.entry.service == service);
        self.stream_origins.observe(upstreams, now);
    }

    /// Returns the VMs in the order in which they keep the record of a stream.
    fn ranked_keepers(&self, key: StreamKey, own_address: SocketAddr) -> Vec<SocketAddr> {
        rank_keepers(key, self.peers.fleet_addresses(own_address))
    }

    /// Returns the other VMs that may keep the record of a stream.
    fn keeper_candidates(
        &self,
        key: StreamKey,
        own_address: SocketAddr,
        now: Instant,
    ) -> VecDeque<SocketAddr> {
        let mut candidates = self.ranked_keepers(key, own_address);
        candidates.retain(|address| *address != own_address);
        candidates.truncate(CANDIDATES);
        candidates.retain(|address| !self.stream_origins.is_silent(*address, now));
        candidates.into()
    }
}
