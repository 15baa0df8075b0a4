//! Properties of a request that determine its upstream.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::cache_group::CacheGroup;
use crate::gateway::crash_guard::{RequestContent, Suspect};
use crate::gateway::model::ServiceId;
use crate::gateway::prompt::{Prompt, hash_part};
use crate::gateway::stream_origin::StreamOrigin;
use crate::gateway::upstream_registry::Upstream;
use crate::ids::UpstreamId;

/// Highest number that is drawn; only a share of 1,000 per mille exceeds it.
pub(in crate::gateway) const ROLLOUT_DRAW_MAX: u16 = 999;

/// Properties of a request that determine its upstream.
#[derive(Debug, Clone)]
pub(in crate::gateway) struct PlacementRequest {
    pub(in crate::gateway) service: ServiceId,
    pub(in crate::gateway) prompt: Option<Arc<Prompt>>,
    /// What the request may crash an engine with: copies of itself, and parts of its prompt that
    /// other prompts may share.
    pub(in crate::gateway) suspects: Arc<[Suspect]>,
    /// Customers that share cached prompts with the one of the request.
    pub(in crate::gateway) cache_group: CacheGroup,
    /// Target time to the first event.
    pub(in crate::gateway) objective: Duration,
    /// Objective that limits the work queued before the request: the shortest among its own route
    /// and routes that are at least as urgent.
    pub(in crate::gateway) wait_objective: Duration,
    /// Whether the request has run before and may not run again after the next attempt.
    pub(in crate::gateway) is_final_run: bool,
    /// Whether the request may be sent to one upstream only, so that a rejection is its end.
    pub(in crate::gateway) is_only_attempt: bool,
    /// Upstreams that the request was sent to before.
    pub(in crate::gateway) tried_upstreams: Vec<UpstreamId>,
    /// What began the stream that the request goes on with; other upstreams are not eligible.
    pub(in crate::gateway) origin: Option<Arc<StreamOrigin>>,
    /// Upstream that the request is sent to if it is eligible.
    pub(in crate::gateway) preferred_upstream: Option<UpstreamId>,
    /// Number drawn for the request, up to [`ROLLOUT_DRAW_MAX`]; the target of a rollout may get it
    /// if the share granted is higher. Drawn once, as a request that waits is placed repeatedly.
    pub(in crate::gateway) rollout_draw: u16,
}

impl PlacementRequest {
    /// Returns the request with a part of the room that it may use at engines.
    pub(in crate::gateway) fn with_room(&self, fraction: f64) -> Cow<'_, Self> {
        if fraction >= 1.0 {
            return Cow::Borrowed(self);
        }
        Cow::Owned(Self {
            wait_objective: self.wait_objective.mul_f64(fraction),
            ..self.clone()
        })
    }

    /// Returns whether an upstream may run the request: it has not been tried, and has begun the
    /// stream or runs the same software.
    pub(in crate::gateway) fn permits(&self, upstream: &Upstream) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.is_continued_by(&upstream.entry))
            && !self.tried_upstreams.contains(&upstream.instance.id)
    }
}

/// Returns what a request may crash an engine with.
pub(in crate::gateway) fn suspects(
    content: &RequestContent<'_>,
    prompt: Option<&Prompt>,
) -> Arc<[Suspect]> {
    let request = Suspect::Request(content.fingerprint());
    let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
    let parts = parts.map(|part| Suspect::Part(hash_part(&part.id)));
    std::iter::once(request).chain(parts).collect()
}
