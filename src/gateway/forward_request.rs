//! Decision whether another VM is to handle a request.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;

use super::peer_forward::{ForwardedRequest, PathState};
use super::request::AdmittedRequest;
use crate::entry::RequestGuard;
use crate::error::Refusal;

impl AdmittedRequest {
    /// Lets another VM handle the request if this one is cut from the service's upstreams; returns
    /// `None` if this VM is to handle it.
    pub(super) async fn forward_if_cut(
        &self,
        request_guard: &Arc<RequestGuard>,
    ) -> Option<Result<Response<Body>, Refusal>> {
        let gateway = &self.gateway;
        let is_cut = match gateway.path_state(&self.placement_request.service) {
            PathState::Open => false,
            // An open connection may be found.
            PathState::ClosedToNew => self.progress.unreachable_upstreams > 0,
            PathState::Cut => true,
        };
        if !is_cut || self.progress.may_have_run || !self.may_ask_for_help() {
            return None;
        }
        if let Err(refusal) = self.check_time_before_stop() {
            return Some(Err(refusal));
        }
        let target = self.uri.path_and_query();
        let request = ForwardedRequest {
            id: self.id.clone(),
            method: self.method.clone(),
            target: target.map_or("/", |target| target.as_str()).to_owned(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            deadline: self.deadline,
        };
        gateway.forward(&request, request_guard).await
    }

    /// Returns whether another VM may be asked to handle the request.
    pub(super) fn may_ask_for_help(&self) -> bool {
        !self.is_forwarded && self.gateway.may_ask_for_help()
    }
}
