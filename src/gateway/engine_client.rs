//! Calls to engines about their weights.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};

use super::platform_api::{EngineReport, Order, OrderReply};
use super::pool::connect;
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;

/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest report.
const REPORT_MAX_BYTES: usize = 1024 * 1024;

/// Why a call gave nothing.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// Nothing was sent.
    NotSent(String),
    /// It may have arrived.
    NoAnswer(String),
}

impl std::fmt::Display for CallFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

/// Reads an engine's report.
pub(super) async fn fetch_report(
    gateway: &Gateway,
    instance: &UpstreamInstance,
) -> Result<EngineReport, CallFailure> {
    let request = gateway.platform.dialect.report_request(&instance.id);
    let (status, body) = exchange(gateway, instance, request).await?;
    match status {
        200 => gateway
            .platform
            .dialect
            .parse_report(&body)
            .map_err(CallFailure::NoAnswer),
        status => Err(CallFailure::NoAnswer(format!("status {status}"))),
    }
}

/// Gives an order.
pub(super) async fn send_order(
    gateway: &Gateway,
    instance: &UpstreamInstance,
    order: &Order,
) -> Result<OrderReply, CallFailure> {
    let request = gateway.platform.dialect.order_request(order);
    let (status, _) = exchange(gateway, instance, request).await?;
    let reply = gateway.platform.dialect.parse_order_reply(status);
    reply.ok_or_else(|| CallFailure::NoAnswer(format!("status {status}")))
}

async fn exchange(
    gateway: &Gateway,
    instance: &UpstreamInstance,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), CallFailure> {
    let engine = gateway
        .state()
        .fleet
        .get(&instance.id)
        .map(|engine| engine.entry.address);
    let address = engine.ok_or_else(|| CallFailure::NotSent("the engine is gone".into()))?;
    let call = async {
        let mut connection = connect(address)
            .await
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let no_answer = |error: &dyn std::fmt::Display| CallFailure::NoAnswer(error.to_string());
        let response = connection
            .request(request)
            .await
            .map_err(|error| no_answer(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), REPORT_MAX_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| no_answer(&error))?;
        Ok((status, body.to_bytes()))
    };
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(CallFailure::NoAnswer("no answer in time".into())),
    }
}
