//! Passes a request to another VM and returns its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::helpers::KnownVm;
use super::paths::PathState;
use super::relayed_body::RelayedBody;
use crate::caller_memory::{HeldBytes, OutgoingBody};
use crate::clock::Instant;
use crate::entry::{RequestGuard, strip_hop_by_hop};
use crate::error::{Code, Refusal};
use crate::gateway::event_log::LogEvent;
use crate::gateway::pool::{Connection, SendFailure};
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_registry::UpstreamInstance;
use crate::ids::RequestId;

/// Header of a request that a VM passes on, and of the response to it.
pub(in crate::gateway) const FORWARD_HEADER: HeaderName =
    HeaderName::from_static("celerylever-forward");
/// Maximum number of VMs that are asked for one request.
const HELPERS_MAX: usize = 3;
/// Maximum number of requests of other VMs in flight, a fraction of what this VM takes from its own
/// callers, who come first.
const HELPED_REQUESTS_MAX: usize = 450;
/// Timeout of a connection to another VM, which takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after the deadline in which the helper's own refusal may arrive.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Remaining time below which no VM is asked.
const TIME_LEFT_MIN: Duration = Duration::from_millis(10);

/// What a VM that was asked for help has done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum HelpReply {
    /// It has handled the request, and the response is the result.
    Handled,
    /// It has not handled the request: it is cut too, stops, starts, or has enough to do.
    Unable,
}

impl HelpReply {
    fn as_str(self) -> &'static str {
        match self {
            Self::Handled => "handled",
            Self::Unable => "unable",
        }
    }

    fn parse(value: &HeaderValue) -> Option<Self> {
        let replies = [Self::Handled, Self::Unable];
        replies.into_iter().find(|reply| value == reply.as_str())
    }
}

/// States in a response whether this VM has handled a request that another one has passed on.
pub(in crate::gateway) fn mark_reply(headers: &mut HeaderMap, reply: HelpReply) {
    headers.insert(FORWARD_HEADER, HeaderValue::from_static(reply.as_str()));
}

/// Request as its caller sent it.
#[derive(Debug, Clone)]
pub(in crate::gateway) struct ForwardedRequest {
    pub(in crate::gateway) id: RequestId,
    pub(in crate::gateway) method: http::Method,
    pub(in crate::gateway) target: String,
    pub(in crate::gateway) headers: HeaderMap,
    pub(in crate::gateway) body: HeldBytes,
    pub(in crate::gateway) deadline: Instant,
}

/// Why a VM that was asked has not handled a request.
enum HelpFailure {
    /// It has not handled the request and never will.
    NotHandled,
    /// It may have handled the request.
    Unknown(String),
    /// The deadline has passed.
    Timeout,
}

impl Gateway {
    /// Passes a request to another VM; returns `None` if none can help, and the request has run
    /// nowhere.
    pub(in crate::gateway) async fn forward(
        self: &Arc<Self>,
        request: &ForwardedRequest,
        request_guard: &Arc<RequestGuard>,
    ) -> Option<Result<Response<Body>, Refusal>> {
        let mut tried = Vec::new();
        while tried.len() < HELPERS_MAX {
            let now = self.now();
            if request.deadline.saturating_sub(now) < TIME_LEFT_MIN {
                break;
            }
            let Some(address) = self.state().choose_helper(self, &tried, now) else {
                break;
            };
            tried.push(address);
            let outcome = self.ask_for_help(address, request).await;
            let outcome_name = match &outcome {
                Ok(_) => "handled",
                Err(HelpFailure::NotHandled) => "unable",
                Err(HelpFailure::Unknown(_)) => "unknown",
                Err(HelpFailure::Timeout) => "timeout",
            };
            self.metrics.count_forward(outcome_name);
            let event = LogEvent::Forwarded {
                helper: address.to_string(),
                outcome: outcome_name,
            };
            self.event_log.log_request(&request.id, &event);
            let refusal = match outcome {
                Ok((response, connection, helper)) => {
                    let now = self.now();
                    self.state().helpers.record_helped(address, now);
                    let (mut parts, body) = response.into_parts();
                    strip_hop_by_hop(&mut parts.headers);
                    parts.headers.remove(FORWARD_HEADER);
                    let relayed = RelayedBody {
                        gateway: self.clone(),
                        id: request.id.clone(),
                        body,
                        connection,
                        helper,
                        deadline: request.deadline,
                        request_guard: request_guard.clone(),
                    };
                    return Some(Ok(Response::from_parts(parts, relayed.into_body())));
                }
                Err(HelpFailure::NotHandled) => continue,
                Err(HelpFailure::Unknown(reason)) => Refusal::new(Code::UpstreamUnknown, reason),
                Err(HelpFailure::Timeout) => {
                    let message = "no response of the VM that was asked before the deadline";
                    Refusal::new(Code::UpstreamTimeout, message)
                }
            };
            return Some(Err(refusal));
        }
        let now = self.now();
        self.state().helpers.record_no_help(now);
        None
    }

    async fn ask_for_help(
        &self,
        address: SocketAddr,
        request: &ForwardedRequest,
    ) -> Result<(Response<Incoming>, Connection, UpstreamInstance), HelpFailure> {
        let helper = UpstreamInstance {
            id: format!("vm {address}"),
            born_ms: 0,
        };
        let unreachable = || {
            let now = self.now();
            self.state().helpers.record_unreachable(address, now);
            HelpFailure::NotHandled
        };
        let connect = self.pool.connection(&helper, address);
        let connection = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Err(unreachable()),
        };
        let left = request.deadline.saturating_sub(self.now());
        let message = self.forwarded_message(request, left);
        let message = message.map_err(|error| HelpFailure::Unknown(error.to_string()))?;
        let send = self.pool.send(connection, &helper, address, message);
        let sent = tokio::time::timeout(left + LATE_RESPONSE_TIME, send).await;
        let (response, connection) = match sent {
            Ok(Ok(received)) => received,
            Ok(Err(SendFailure::NotSent(_))) => return Err(unreachable()),
            Ok(Err(SendFailure::Broken(reason))) => return Err(HelpFailure::Unknown(reason)),
            Err(_) => return Err(HelpFailure::Timeout),
        };
        let reply = response.headers().get(FORWARD_HEADER);
        let reply = reply.and_then(HelpReply::parse);
        let reply = match response.status() {
            // A build that does not know such requests has not handled this one.
            StatusCode::NOT_FOUND => reply.or(Some(HelpReply::Unable)),
            _ => reply,
        };
        match reply {
            Some(HelpReply::Handled) => Ok((response, connection, helper)),
            None => {
                let reason = "the VM that was asked does not say whether it handled the request";
                Err(HelpFailure::Unknown(reason.into()))
            }
            Some(HelpReply::Unable) => {
                let now = self.now();
                self.state().helpers.record_unable(address, now);
                Err(HelpFailure::NotHandled)
            }
        }
    }

    fn forwarded_message(
        &self,
        request: &ForwardedRequest,
        left: Duration,
    ) -> Result<Request<OutgoingBody>, http::Error> {
        let mut message = Request::builder()
            .method(request.method.clone())
            .uri(&request.target)
            .body(request.body.clone().into())?;
        let headers = message.headers_mut();
        *headers = request.headers.clone();
        headers.insert(FORWARD_HEADER, HeaderValue::from_static("1"));
        self.platform.dialect.set_timeout(headers, left);
        Ok(message)
    }

    /// Returns whether this VM can handle a request of another one, if it has not enough to do.
    pub(in crate::gateway) fn can_help(&self, headers: &HeaderMap, uri: &http::Uri) -> bool {
        let Some(table) = self.table().filter(|_| !self.drain.is_started()) else {
            return false;
        };
        let host = headers.get(http::header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        // A request that this VM would refuse is refused like one of its own callers.
        let route = table.route(host, uri.path());
        route.is_none_or(|route| {
            let mut services = route.services.iter();
            services.any(|(service, _)| self.path_state(service) == PathState::Open)
        })
    }

    /// Returns whether this VM may handle one more request of another VM, which counts as long as
    /// the result is kept.
    pub(in crate::gateway) fn accept_forwarded(self: &Arc<Self>) -> Option<HelpedRequest> {
        let helped = HelpedRequest {
            gateway: self.clone(),
        };
        let earlier = self.helped_requests.fetch_add(1, Ordering::Relaxed);
        (earlier < HELPED_REQUESTS_MAX).then_some(helped)
    }
}

/// Request of another VM in flight.
#[derive(Debug)]
pub(in crate::gateway) struct HelpedRequest {
    gateway: Arc<Gateway>,
}

impl Drop for HelpedRequest {
    fn drop(&mut self) {
        self.gateway.helped_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl GatewayState {
    fn choose_helper(
        &self,
        gateway: &Gateway,
        tried: &[SocketAddr],
        now: Instant,
    ) -> Option<SocketAddr> {
        let own_address = gateway.settings.peer_address;
        let own_zone = &gateway.settings.availability_zone;
        let others = self.peers.fleet_addresses(own_address);
        let others = others.filter(|(address, _)| *address != own_address);
        let vms = others.map(|(address, zone)| KnownVm {
            address,
            is_same_zone: zone == *own_zone,
        });
        self.helpers.choose(vms, tried, now, &mut rand::rng())
    }
}
