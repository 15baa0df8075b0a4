//! Exchange of permits, and of what responses state, between VMs.
//!
//! A request to a brittle upstream costs a call, its reply and two reports to one VM, however many
//! VMs there are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;

use super::keeper::SendKeeper;
use super::ledger::{SendDecision, SendOutcome, SendRequest};
use super::messages::{SendCall, SendReply, SendReport};
use super::permit::SendPermit;
use super::services::hash_service;
use crate::clock::Instant;
use crate::gateway::datagram::{Message, send, send_to_all};
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::process_hash::hash_process;
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_limit::{LimitChange, LimitNews};

/// Time after which a call counts as lost; the reply takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a keeper that has not replied, or does not keep the ledger, is asked again.
const NO_KEEPER_WAIT: Duration = Duration::from_millis(200);

/// Sends the news of brittle services that wait, with a heartbeat.
pub(in crate::gateway) fn send_brittle_news(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.brittle_services.has_news() {
        return;
    }
    let news = state.brittle_services.next_news(now);
    let own_address = gateway.settings.peer_address;
    let addresses = state.peers.news_receivers(own_address, sequence, now);
    drop(state);
    if !news.is_empty() {
        send_to_all(gateway, socket, &Message::BrittleNews(news), &addresses);
    }
}

/// Sends all brittle services to a VM that has started.
pub(in crate::gateway) fn send_all_brittle_services(
    gateway: &Gateway,
    socket: &UdpSocket,
    address: SocketAddr,
) {
    let messages = gateway.state().brittle_services.all_news(gateway.now());
    for news in messages {
        send_to_all(gateway, socket, &Message::BrittleNews(news), &[address]);
    }
}

impl Gateway {
    /// Applies what another VM tells of brittle services.
    pub(in crate::gateway) fn apply_brittle_news(&self, news: &[LimitNews]) {
        let now = self.now();
        let mut state = self.state();
        let forwards = state.peers.is_zone_representative(now);
        let changes = state.brittle_services.apply(news, forwards, now);
        let has_news = state.brittle_services.has_news();
        drop(state);
        if has_news {
            self.heartbeat_due.notify_one();
        }
        for change in changes {
            self.record_brittle_change(change);
        }
    }

    /// Logs that a service has become brittle, or no longer is.
    pub(in crate::gateway) fn record_brittle_change(&self, change: LimitChange) {
        let table = self.table();
        let services = table.iter().flat_map(|table| table.service_ids());
        let service = services
            .into_iter()
            .find(|service| hash_service(service) == change.process);
        self.event_log.log(&LogEvent::ServiceBrittle {
            service,
            rejections_max_per_s: change.rate.map(|rate| rate.per_s()),
        });
    }

    /// Obtains the permit that a request needs if its upstream is brittle; returns whether it may
    /// be sent.
    pub(in crate::gateway) async fn obtain_send_permit(
        self: &Arc<Self>,
        dispatched: &mut DispatchedRequest,
        deadline: Instant,
    ) -> bool {
        let asked_at = self.now();
        let process = hash_process(&dispatched.instance);
        let (request, keeper) = {
            let mut state = self.state();
            let Some(rejections_max) = state.brittle_services.rejections_max(&dispatched.service)
            else {
                return true;
            };
            let request = SendRequest {
                process,
                rejections_max,
                reachable_part: 1.0,
                slots: dispatched.slots,
                timeout: deadline.saturating_sub(asked_at),
                phase: rand::rng().random_range(0.0..1.0),
            };
            let keeper = state.send_keeper(process, asked_at);
            // Until the reply, no other request of this VM asks.
            state.set_permit_wait(dispatched, asked_at + REPLY_TIMEOUT);
            (request, keeper)
        };
        let (decision, address) = match keeper {
            SendKeeper::Nobody => return true,
            SendKeeper::ThisVm => (Some(self.state().decide_send(request, asked_at)), None),
            SendKeeper::Vm(address) => (self.ask_keeper(&request, address).await, Some(address)),
        };
        let now = self.now();
        let decision = decision.unwrap_or(SendDecision {
            permit: None,
            wait: NO_KEEPER_WAIT,
        });
        self.state()
            .set_permit_wait(dispatched, now + decision.wait);
        let Some(id) = decision.permit else {
            self.metrics.count_permit("refused");
            self.place_queued_after(decision.wait);
            return false;
        };
        self.metrics.count_permit("granted");
        let permit = SendPermit::new(self, address, process, id, asked_at);
        dispatched.send_permit = Some(permit);
        self.place_queued();
        true
    }

    /// Handles the call of another VM and sends the reply.
    pub(in crate::gateway) fn handle_send_call(&self, call: SendCall, from: SocketAddr) {
        let now = self.now();
        let mut state = self.state();
        // The sender may not hear the VM that keeps the ledger, and another one must not keep it too.
        let decision = match state.send_keeper(call.process, now) {
            SendKeeper::ThisVm => {
                let request = SendRequest {
                    process: call.process,
                    rejections_max: call.rejections_max,
                    reachable_part: 1.0,
                    slots: call.slots,
                    timeout: Duration::from_millis(call.timeout_ms.into()),
                    phase: rand::rng().random_range(0.0..1.0),
                };
                state.decide_send(request, now)
            }
            SendKeeper::Vm(_) | SendKeeper::Nobody => SendDecision {
                permit: None,
                wait: NO_KEEPER_WAIT,
            },
        };
        drop(state);
        let reply = SendReply {
            id: call.id,
            process: call.process,
            permit: decision.permit,
            wait_ms: decision.wait.as_millis() as u32,
        };
        if let Some(socket) = self.peer_socket.get() {
            // If the reply is lost, the permit counts as open until its request could have arrived.
            send(socket, &Message::SendReply(reply), from);
        }
    }

    /// Delivers the reply to a call, or returns a permit for which nobody waits any more.
    pub(in crate::gateway) fn handle_send_reply(&self, reply: SendReply, from: SocketAddr) {
        let unclaimed = self.pending_sends.try_complete(reply.id, reply);
        if let Some(permit) = unclaimed.and_then(|reply| reply.permit) {
            let report = SendReport {
                process: reply.process,
                permit,
                outcome: SendOutcome::Unsent,
            };
            self.report_send(report, Some(from));
        }
    }

    /// Handles a report of what became of a permitted request.
    pub(in crate::gateway) fn handle_send_report(&self, report: SendReport) {
        let now = self.now();
        let ledgers = &mut self.state().send_ledgers;
        ledgers.record_outcome(report.process, report.permit, report.outcome, now);
    }

    /// Reports to the keeper what became of a permitted request.
    pub(super) fn report_send(&self, report: SendReport, keeper: Option<SocketAddr>) {
        match (keeper, self.peer_socket.get()) {
            (None, _) => self.handle_send_report(report),
            // A lost report makes the request count as one that may be rejected for longer.
            (Some(address), Some(socket)) => {
                send(socket, &Message::SendReport(report), address);
            }
            (Some(_), None) => {}
        }
    }

    async fn ask_keeper(&self, request: &SendRequest, address: SocketAddr) -> Option<SendDecision> {
        let socket = self.peer_socket.get()?;
        let (id, reply) = self.pending_sends.register();
        let call = SendCall {
            id,
            process: request.process,
            rejections_max: request.rejections_max,
            slots: request.slots,
            timeout_ms: u32::try_from(request.timeout.as_millis()).unwrap_or(u32::MAX),
        };
        let timeout = match send(socket, &Message::SendCall(call), address) {
            true => REPLY_TIMEOUT,
            false => Duration::ZERO,
        };
        let reply = self.pending_sends.wait(id, reply, timeout).await?;
        Some(SendDecision {
            permit: reply.permit,
            wait: Duration::from_millis(reply.wait_ms.into()),
        })
    }
}

impl GatewayState {
    /// Returns the VM that keeps the ledger of an upstream's process.
    pub(in crate::gateway) fn send_keeper(&mut self, process: u64, now: Instant) -> SendKeeper {
        let view = self.peers.keeper_view(now);
        self.keeper_terms.observe(view, now);
        self.keeper_terms.keeper(process)
    }

    fn decide_send(&mut self, request: SendRequest, now: Instant) -> SendDecision {
        if !self.peers.is_complete(now) {
            return SendDecision {
                permit: None,
                wait: NO_KEEPER_WAIT,
            };
        }
        let request = SendRequest {
            reachable_part: self.peers.reachable_part(now),
            ..request
        };
        let opens_at = self.keeper_terms.opens_at(request.process);
        self.send_ledgers.decide(&request, opens_at, now)
    }

    fn set_permit_wait(&mut self, dispatched: &DispatchedRequest, until: Instant) {
        if let Some(upstream) = self.upstreams.instance_mut(&dispatched.instance) {
            upstream.set_permit_wait(until);
        }
    }
}
