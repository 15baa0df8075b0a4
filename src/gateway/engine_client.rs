//! Client for the control calls of engines: reports and orders to load weights.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};

use super::platform_api::{EngineReport, Order, OrderReply};
use super::pool::connect;
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;

/// Maximum size of a report.
const REPORT_MAX_BYTES: usize = 1024 * 1024;

/// Reason why a call returned no usable response.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// The request was not sent.
    NotSent(String),
    /// The request may have arrived, but no usable response was received.
    NoResponse(String),
}

impl std::fmt::Display for CallFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "request not sent: {reason}"),
            Self::NoResponse(reason) => write!(f, "no usable response: {reason}"),
        }
    }
}

/// Fetches an engine's report.
///
/// # Errors
///
/// Returns [`CallFailure::NotSent`] if the request was not sent, else [`CallFailure::NoResponse`].
pub(super) async fn fetch_report(
    gateway: &Gateway,
    instance: &UpstreamInstance,
    timeout: Duration,
) -> Result<EngineReport, CallFailure> {
    gateway.metrics.count_report();
    let request = gateway.platform.dialect.report_request(&instance.id);
    let (status, body) = exchange(gateway, instance, request, timeout).await?;
    match status {
        200 => gateway
            .platform
            .dialect
            .parse_report(&body)
            .map_err(CallFailure::NoResponse),
        status => Err(CallFailure::NoResponse(format!(
            "expected status 200, got {status}"
        ))),
    }
}

/// Sends an order to an engine.
///
/// # Errors
///
/// Returns [`CallFailure::NotSent`] if the order was not sent. After [`CallFailure::NoResponse`]
/// the engine may have accepted it.
pub(super) async fn send_order(
    gateway: &Gateway,
    instance: &UpstreamInstance,
    order: &Order,
    timeout: Duration,
) -> Result<OrderReply, CallFailure> {
    let request = gateway.platform.dialect.order_request(order);
    let (status, _) = exchange(gateway, instance, request, timeout).await?;
    let reply = gateway.platform.dialect.parse_order_reply(status);
    reply.ok_or_else(|| CallFailure::NoResponse(format!("unexpected status {status}")))
}

async fn exchange(
    gateway: &Gateway,
    instance: &UpstreamInstance,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(u16, Bytes), CallFailure> {
    let engine = gateway
        .state()
        .upstreams
        .get(&instance.id)
        .map(|engine| engine.entry.address);
    let address =
        engine.ok_or_else(|| CallFailure::NotSent("the engine is no longer listed".into()))?;
    let call = async {
        let mut connection = connect(address)
            .await
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        gateway.record_unpermitted_call(instance);
        let no_response =
            |error: &dyn std::fmt::Display| CallFailure::NoResponse(error.to_string());
        let response = connection
            .request(request)
            .await
            .map_err(|error| no_response(&error))?;
        let head = gateway
            .platform
            .dialect
            .read_response_head(response.headers());
        gateway.record_announcements(instance, response.status(), &head, None);
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), REPORT_MAX_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| no_response(&error))?;
        Ok((status, body.to_bytes()))
    };
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(CallFailure::NoResponse(
            "no response within the timeout".into(),
        )),
    }
}
