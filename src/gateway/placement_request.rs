//! Properties of a request that determine its upstream.

use std::sync::Arc;
use std::time::Duration;

use super::cache_group::CacheGroup;
use super::crash_guard::{RequestContent, Suspect};
use super::model::ServiceId;
use super::prompt::{Prompt, hash_part};
use super::stream_origin::StreamOrigin;
use super::upstream_registry::Upstream;
use crate::ids::UpstreamId;

/// Properties of a request that determine its upstream.
#[derive(Debug, Clone)]
pub(super) struct PlacementRequest {
    pub(super) service: ServiceId,
    pub(super) prompt: Option<Arc<Prompt>>,
    /// What the request may crash an engine with: copies of itself, and parts of its prompt that
    /// other prompts may share.
    pub(super) suspects: Arc<[Suspect]>,
    /// Customers that share cached prompts with the one of the request.
    pub(super) cache_group: CacheGroup,
    /// Target time to the first event.
    pub(super) objective: Duration,
    /// Objective that limits the work queued before the request: the shortest among its own route
    /// and routes that are at least as urgent.
    pub(super) wait_objective: Duration,
    /// Whether the request has run before and may not run again after the next attempt.
    pub(super) is_final_run: bool,
    /// Upstreams that the request was sent to before.
    pub(super) tried_upstreams: Vec<UpstreamId>,
    /// What began the stream that the request goes on with; other upstreams are not eligible.
    pub(super) origin: Option<Arc<StreamOrigin>>,
    /// Upstream that the request is sent to if it is eligible.
    pub(super) preferred_upstream: Option<UpstreamId>,
}

impl PlacementRequest {
    /// Returns whether an upstream may run the request: it has not been tried, and has begun the
    /// stream or runs the same software.
    pub(super) fn permits(&self, upstream: &Upstream) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.is_continued_by(&upstream.entry))
            && !self.tried_upstreams.contains(&upstream.instance.id)
    }
}

/// Returns what a request may crash an engine with.
pub(super) fn suspects(content: &RequestContent<'_>, prompt: Option<&Prompt>) -> Arc<[Suspect]> {
    let request = Suspect::Request(content.fingerprint());
    let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
    let parts = parts.map(|part| Suspect::Part(hash_part(&part.id)));
    std::iter::once(request).chain(parts).collect()
}
