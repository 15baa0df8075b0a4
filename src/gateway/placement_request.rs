//! Properties of a request that determine its upstream.

use std::sync::Arc;
use std::time::Duration;

use super::crash_guard::Fingerprint;
use super::model::ServiceId;
use super::prompt::{PartHash, Prompt};
use crate::ids::UpstreamId;

/// Properties of a request that determine its upstream.
#[derive(Debug, Clone)]
pub(super) struct PlacementRequest {
    pub(super) service: ServiceId,
    pub(super) prompt: Option<Arc<Prompt>>,
    /// Parts of the prompt that other prompts may share.
    pub(super) shared_parts: Arc<[PartHash]>,
    /// Equal for copies of the request.
    pub(super) fingerprint: Fingerprint,
    /// Customer whose cached prompts are not shared with other customers.
    pub(super) isolated_customer: Option<String>,
    /// Target time to the first event.
    pub(super) objective: Duration,
    /// Objective that limits the work queued before the request: the shortest among its own route
    /// and routes that are at least as urgent.
    pub(super) wait_objective: Duration,
    /// Whether the request has run before and may not run again after the next attempt.
    pub(super) is_final_run: bool,
    /// Upstreams that the request was sent to before.
    pub(super) tried_upstreams: Vec<UpstreamId>,
}
