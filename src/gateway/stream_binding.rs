//! Binds streams to the software that began them.

use std::sync::Arc;

use super::admit::REQUEST_TIMEOUT_DEFAULT;
use super::event_log::LogEvent;
use super::placement::DispatchedRequest;
use super::request::{AdmittedRequest, UPSTREAM_RETRY_AFTER};
use super::response::retryable_refusal;
use super::stream_origin::{RouteTarget, StreamKey, StreamOrigin, UnknownOrigin, stream_key};
use crate::error::{Code, Refusal};

impl AdmittedRequest {
    /// Binds a stream that the caller takes up to what began it.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if that is not certain, or the route leads elsewhere now.
    pub(super) async fn bind_taken_up(&mut self) -> Result<(), Refusal> {
        let (gateway, route, head) = (&self.gateway, &self.route, &self.head);
        let target = self.target();
        let found = match (&head.resumes, head.last_event_id) {
            _ if !route.is_resumable => return Ok(()),
            (None, None) => return Ok(()),
            (Some(_), _) => {
                gateway
                    .find_origin(&self.id, self.stream_key(), target)
                    .await
            }
            (None, Some(_)) => gateway.only_seen_origin(target),
        };
        let origin = found.map_err(|unknown| {
            let message = "it is not known which software began the stream";
            match unknown {
                UnknownOrigin::Everywhere => Refusal::new(Code::StreamOriginUnknown, message),
                UnknownOrigin::Here => {
                    retryable_refusal(Code::StreamOriginUnknown, message, UPSTREAM_RETRY_AFTER)
                }
            }
        })?;
        let event = LogEvent::TakenUp {
            service: &origin.service,
            software: origin.software.as_deref(),
        };
        gateway.event_log.log_request(&self.id, &event);
        let mut services = route.services.iter();
        if !services.any(|(service, _)| *service == origin.service) {
            let message = "the route no longer leads to the service that began the stream";
            return Err(Refusal::new(Code::StreamOriginUnknown, message));
        }
        self.bind(origin);
        Ok(())
    }

    /// Binds a stream to the upstream whose first event has come, before the caller receives it.
    pub(super) async fn bind_begun(&mut self, dispatched: &DispatchedRequest) {
        if !self.route.is_resumable {
            return;
        }
        let gateway = self.gateway.clone();
        if self.placement_request.origin.is_none() {
            self.bind(gateway.begun_origin(dispatched));
        }
        if let Some(origin) = self.placement_request.origin.clone() {
            let timeout = self.head.timeout.unwrap_or(REQUEST_TIMEOUT_DEFAULT);
            gateway
                .keep_origin(self.stream_key(), &origin, self.target(), timeout)
                .await;
        }
    }

    fn target(&self) -> RouteTarget<'_> {
        RouteTarget {
            route: &self.route,
            path: self.uri.path(),
        }
    }

    fn bind(&mut self, origin: StreamOrigin) {
        let request = &mut self.placement_request;
        if let Some(table) = self
            .gateway
            .table()
            .filter(|_| request.service != origin.service)
        {
            request.wait_objective = table.shortest_objective(&origin.service, &self.route);
            request.service.clone_from(&origin.service);
        }
        request.origin = Some(Arc::new(origin));
    }

    /// Returns the key of the attempt of the caller that brought the first event, which may be this
    /// one.
    fn stream_key(&self) -> StreamKey {
        let first = self.head.resumes.as_ref().unwrap_or(&self.id);
        let customer = self.customer.as_ref().map(|customer| customer.id.as_str());
        stream_key(first, customer)
    }
}
