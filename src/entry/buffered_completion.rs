//! Runs completions whose response is sent as a whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::attempt::{AcceptedResponse, EngineCall};
use super::responses;
use crate::error::Refusal;
use crate::ids::Tokens;
use crate::limit::Reservation;
use crate::outcome::AttemptFailure;
use crate::route::BYTES_PER_TOKEN;

/// Maximum size of a response that is read as a whole.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

#[derive(Debug)]
#[derive(Deserialize)]
struct CompletionResponse {
    usage: Option<Usage>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Usage {
    prompt_tokens: Tokens,
    #[serde(default)]
    completion_tokens: Tokens,
}

/// Runs a completion and returns its whole response.
///
/// # Errors
///
/// Returns the refusal for the caller when no further attempt is allowed.
pub(super) async fn respond(
    mut call: EngineCall,
    mut reservation: Reservation,
) -> Result<Response<Body>, Refusal> {
    loop {
        let AcceptedResponse { response, run } = call.open(0).await?;
        let time_left = call.deadline.saturating_sub(call.app.clock.now());
        let idle_timeout = call.app.settings.upstream.idle_timeout.min(time_left);
        let body_result = read_to_end(response.into_body(), idle_timeout).await;
        let failure =
            match body_result.and_then(|body| Ok((completion_cost_tokens(&call, &body)?, body))) {
                Ok((tokens, body)) => {
                    run.finish();
                    reservation.consume(tokens);
                    call.app.metrics.record_tokens(&call.customer_id, tokens);
                    return Ok(responses::json_response(StatusCode::OK, body));
                }
                Err(failure) => failure,
            };
        call.record_failure(failure, run)?;
    }
}

/// Reads a response body to its end; the HTTP library checks its length.
///
/// # Errors
///
/// Returns [`AttemptFailure::BodyBroken`], [`AttemptFailure::BodyTimeout`] if no data arrives for
/// `idle_timeout`, or [`AttemptFailure::BodyTooLarge`].
pub(super) async fn read_to_end(
    mut body: Incoming,
    idle_timeout: Duration,
) -> Result<Bytes, AttemptFailure> {
    let mut collected = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(collected.freeze()),
            Ok(Some(Err(_))) => return Err(AttemptFailure::BodyBroken),
            Err(_) => return Err(AttemptFailure::BodyTimeout),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > RESPONSE_MAX_BYTES {
            return Err(AttemptFailure::BodyTooLarge);
        }
        collected.extend_from_slice(&data);
    }
}

/// Returns the cost of a response by its `usage` field, or estimated from its length without one.
fn completion_cost_tokens(call: &EngineCall, body: &[u8]) -> Result<Tokens, AttemptFailure> {
    let completion: CompletionResponse =
        serde_json::from_slice(body).map_err(|_| AttemptFailure::BodyMalformed)?;
    Ok(match completion.usage {
        Some(usage) => usage.prompt_tokens.saturating_add(usage.completion_tokens),
        None => call.completion.prompt_tokens + (body.len() / BYTES_PER_TOKEN) as Tokens,
    })
}
