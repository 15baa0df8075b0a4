//! What upstreams announce in their responses: that they leave, when to return, and their
//! limits.

use std::time::Duration;

use http::StatusCode;
use rand::Rng;

use super::event_log::LogEvent;
use super::placement::PlacementRequest;
use super::platform_api::ResponseHead;
use super::process_hash::hash_process;
use super::state::{Gateway, GatewayState};
use super::upstream_registry::{Upstream, UpstreamInstance};
use crate::clock::Instant;
use crate::error::Code;

/// Maximum time added to the delay that callers are told while all upstreams of a service want no
/// requests, so that the callers do not return together.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

impl Gateway {
    /// Records what a response says of its upstream beyond the request; `ended_request` is the
    /// number of the request if the response ends it.
    pub(super) fn record_announcements(
        &self,
        instance: &UpstreamInstance,
        status: StatusCode,
        head: &ResponseHead,
        ended_request: Option<u64>,
    ) {
        // Sent by whatever listens at the address instead of the upstream.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let now = self.now();
        let mut state = self.state();
        let Some(upstream) = state.upstreams.instance_mut(instance) else {
            return;
        };
        let is_news = head.is_leaving && upstream.is_ready();
        if is_news {
            upstream.record_leaving();
        }
        let hold_off = head
            .retry_after
            .filter(|time| status == StatusCode::SERVICE_UNAVAILABLE && !time.is_zero());
        if let Some(time) = hold_off {
            upstream.record_hold_off(time, now);
        }
        let service = upstream.entry.service.clone();
        state.upstream_paths.record_response(&service, now);
        let brittle_change =
            state
                .brittle_services
                .record_response(&service, head.rejections_max, now);
        let has_news = state.brittle_services.has_news();
        let process = hash_process(instance);
        let limits = &mut state.upstream_limits;
        let limit_change = limits.record_response(process, head.limit, now);
        if is_news {
            state.leaving_outbox.push(process);
        }
        let is_load_unreadable =
            head.has_load() && state.record_server_load(instance, status, head, ended_request, now);
        let has_load_news = !state.load_outbox.is_empty();
        drop(state);
        let upstream = &instance.id;
        if has_load_news {
            self.load_news_due.notify_one();
        }
        if is_load_unreadable {
            self.event_log.log(&LogEvent::ServerLoadUnreadable {
                code: Code::HeaderInvalid.number(),
                upstream,
                value: head.unreadable_load.as_deref().unwrap_or_default(),
            });
        }
        if is_news {
            self.event_log.log(&LogEvent::UpstreamLeaving { upstream });
            self.heartbeat_due.notify_one();
        }
        if let Some(change) = brittle_change {
            self.record_brittle_change(change);
        }
        if has_news {
            self.heartbeat_due.notify_one();
        }
        if let Some(time) = hold_off {
            let for_ms = time.as_millis() as u64;
            self.event_log
                .log(&LogEvent::UpstreamHeldOff { upstream, for_ms });
        }
        if limit_change.is_some() {
            self.record_limit_changes(limit_change.as_slice());
            self.heartbeat_due.notify_one();
        }
    }
}

impl GatewayState {
    /// Returns the time before which none of the upstreams of a request accepts it; `None` if one
    /// may accept it now or there is none.
    pub(super) fn earliest_return(
        &self,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<Instant> {
        let returns: Option<Vec<Instant>> = self
            .permitted(request, now)
            .map(|upstream| self.unavailable_until(upstream, now))
            .collect();
        returns?.into_iter().min()
    }

    /// Returns the time before which an upstream accepts no request of this VM; `None` if it may
    /// accept one now.
    pub(super) fn unavailable_until(&self, upstream: &Upstream, now: Instant) -> Option<Instant> {
        let limits = Some(&self.upstream_limits).filter(|limits| !limits.is_empty());
        let permit_at =
            limits.and_then(|limits| limits.waits_until(hash_process(&upstream.instance), now));
        upstream.held_off_until(now).max(permit_at)
    }
}

/// Returns the delay after which a caller is to return, if its upstreams accept requests from `at`.
pub(super) fn spread_return(at: Instant, now: Instant) -> Duration {
    at.saturating_sub(now) + rand::rng().random_range(Duration::ZERO..=RETURN_SPREAD)
}
