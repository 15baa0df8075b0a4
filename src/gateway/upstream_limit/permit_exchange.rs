//! Exchange of limits and permits between VMs.
//!
//! A VM asks for a permit once per time that it was told to wait, and only for a request that it
//! has, so that messages grow with requests and not with the number of VMs and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::accounts::{PermitDecision, PermitRequest, account_name};
use super::limits::LimitChange;
use super::news::{LimitNews, PermitCall, PermitReply};
use crate::clock::Instant;
use crate::gateway::datagram::{Message, send, send_to_all};
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::process_hash::{ProcessHash, hash_process};
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_registry::UpstreamInstance;

/// Timeout of a request for a permit; within a zone the reply takes less than a millisecond.
pub(super) const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time from the request for a permit after which it is not used: this process was paused.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Time after which a permit is requested again if no VM keeps the account.
const NO_KEEPER_WAIT: Duration = Duration::from_millis(200);

/// Sends the news that wait, with a heartbeat.
pub(in crate::gateway) fn send_limit_news(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.upstream_limits.has_news() {
        return;
    }
    let news = state.upstream_limits.next_news(now);
    let own_address = gateway.settings.peer_address;
    let addresses = state.peers.news_receivers(own_address, sequence, now);
    drop(state);
    if !news.is_empty() {
        send_to_all(gateway, socket, &Message::LimitNews(news), &addresses);
    }
}

/// Sends all limits to a VM that has started.
pub(in crate::gateway) fn send_all_limits(
    gateway: &Gateway,
    socket: &UdpSocket,
    address: SocketAddr,
) {
    let messages = gateway.state().upstream_limits.all_news(gateway.now());
    for news in messages {
        send_to_all(gateway, socket, &Message::LimitNews(news), &[address]);
    }
}

impl Gateway {
    /// Applies what another VM tells of limits.
    pub(in crate::gateway) fn apply_limit_news(&self, news: &[LimitNews]) {
        let now = self.now();
        let mut state = self.state();
        let forwards = state.peers.is_zone_representative(now);
        let changes = state.upstream_limits.apply(news, forwards, now);
        let has_news = state.upstream_limits.has_news();
        drop(state);
        if has_news {
            self.heartbeat_due.notify_one();
        }
        self.record_limit_changes(&changes);
    }

    /// Logs changes of limits and counts the limited upstreams.
    pub(in crate::gateway) fn record_limit_changes(&self, changes: &[LimitChange]) {
        if changes.is_empty() {
            return;
        }
        let state = self.state();
        let limited = state.upstream_limits.limited_count();
        let named: Vec<_> = changes
            .iter()
            .map(|change| (state.upstream_id(change.process), change.rate))
            .collect();
        drop(state);
        self.metrics.record_limited_upstreams(limited as u64);
        for (upstream, rate) in named {
            self.event_log.log(&LogEvent::UpstreamLimit {
                upstream: upstream.as_deref(),
                limit_per_s: rate.map(super::RequestRate::per_s),
            });
        }
    }

    /// Obtains the permit that a request needs if its upstream names a limit; returns whether it
    /// may be sent.
    pub(in crate::gateway) async fn obtain_permit(
        self: &Arc<Self>,
        dispatched: &DispatchedRequest,
    ) -> bool {
        if !dispatched.needs_permit {
            return true;
        }
        let process = hash_process(&dispatched.instance);
        let asked_at = self.now();
        let decision = self.request_permit(process, asked_at).await;
        let now = self.now();
        let is_recent = now.saturating_sub(asked_at) < PERMIT_VALIDITY;
        let outcome = match decision {
            Some(decision) if decision.is_granted && is_recent => "granted",
            Some(_) => "refused",
            None => "unanswered",
        };
        self.metrics.count_permit(outcome);
        let wait = decision.map_or(NO_KEEPER_WAIT, |decision| decision.wait);
        self.state().upstream_limits.set_wait(process, now + wait);
        self.place_queued_after(wait);
        outcome == "granted"
    }

    /// Records a call to an upstream that needs no permit but counts toward its limit.
    pub(in crate::gateway) fn record_unpermitted_call(&self, instance: &UpstreamInstance) {
        let process = hash_process(instance);
        let now = self.now();
        let mut state = self.state();
        if state.upstream_limits.rate(process).is_none() {
            return;
        }
        match state.permit_keeper(process, now) {
            None => state.permit_accounts.record_call(process, now),
            Some(address) => {
                drop(state);
                if let Some(socket) = self.peer_socket.get() {
                    // If the message is lost, the account permits one request too early.
                    send(socket, &Message::PermitSpent(process), address);
                }
            }
        }
    }

    /// Handles the request of another VM of the zone for a permit and sends the reply.
    pub(in crate::gateway) fn handle_permit_call(&self, call: PermitCall, from: SocketAddr) {
        self.apply_limit_news(&[call.limit]);
        let (process, now) = (call.limit.process, self.now());
        let mut state = self.state();
        // The sender may not hear the VM that keeps the account, and another one must not keep it too.
        let decision = match state.permit_keeper(process, now) {
            None => state.decide_permit(process, call.is_held_back, now),
            Some(_) => PermitDecision {
                is_granted: false,
                wait: NO_KEEPER_WAIT,
            },
        };
        drop(state);
        let reply = PermitReply {
            id: call.id,
            is_granted: decision.is_granted,
            wait_ms: decision.wait.as_millis() as u32,
        };
        if let Some(socket) = self.peer_socket.get() {
            // If the reply is lost, the permit is not used.
            send(socket, &Message::PermitReply(reply), from);
        }
    }

    /// Handles the notice of a call that counts toward an upstream's limit.
    pub(in crate::gateway) fn handle_permit_spent(&self, process: ProcessHash) {
        let now = self.now();
        self.state().permit_accounts.record_call(process, now);
    }

    async fn request_permit(&self, process: ProcessHash, now: Instant) -> Option<PermitDecision> {
        let (address, call, reply) = {
            let mut state = self.state();
            let is_held_back = state.upstream_limits.take_held_back(process);
            let Some(address) = state.permit_keeper(process, now) else {
                return Some(state.decide_permit(process, is_held_back, now));
            };
            let limit = state.upstream_limits.news(process, now)?;
            let (id, reply) = self.pending_permits.register();
            let call = PermitCall {
                id,
                limit,
                is_held_back,
            };
            (address, call, reply)
        };
        let socket = self.peer_socket.get()?;
        let timeout = match send(socket, &Message::PermitCall(call), address) {
            true => PERMIT_TIMEOUT,
            false => Duration::ZERO,
        };
        let reply = self.pending_permits.wait(call.id, reply, timeout).await?;
        Some(PermitDecision {
            is_granted: reply.is_granted,
            wait: Duration::from_millis(reply.wait_ms.into()),
        })
    }

    /// Places queued requests when an upstream may be available again; the request that waits for
    /// it joins them in the meantime.
    pub(in crate::gateway) fn place_queued_after(self: &Arc<Self>, wait: Duration) {
        let gateway = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if gateway.state().has_queued() {
                gateway.place_queued();
            }
        });
    }
}

impl GatewayState {
    /// Returns the VM of the zone that keeps an upstream's account; `None` if it is this VM.
    fn permit_keeper(&self, process: ProcessHash, now: Instant) -> Option<SocketAddr> {
        let keeper = self.peers.account_owner(&account_name(process), now)?;
        Some(keeper.heartbeat.address)
    }

    fn decide_permit(
        &mut self,
        process: ProcessHash,
        is_held_back: bool,
        now: Instant,
    ) -> PermitDecision {
        let Some(rate) = self.upstream_limits.rate(process) else {
            return PermitDecision {
                is_granted: true,
                wait: Duration::ZERO,
            };
        };
        if !self.peers.is_complete(now) {
            return PermitDecision {
                is_granted: false,
                wait: NO_KEEPER_WAIT,
            };
        }
        let groups = self
            .peers
            .account_groups(&account_name(process), false, now);
        let request = PermitRequest {
            process,
            rate,
            own_vms: groups.own_vms,
            others: &groups.others,
            is_held_back,
        };
        self.permit_accounts.decide(&request, now)
    }

    fn upstream_id(&self, process: ProcessHash) -> Option<String> {
        let mut upstreams = self.upstreams.iter();
        let upstream = upstreams.find(|upstream| hash_process(&upstream.instance) == process);
        upstream.map(|upstream| upstream.instance.id.clone())
    }
}
