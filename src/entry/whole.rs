//! Completions answered in one piece.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::attempt::{EngineCall, Opened};
use super::reply;
use crate::error::Refusal;
use crate::ids::Tokens;
use crate::limit::Reservation;
use crate::outcome::Failure;
use crate::route::BYTES_PER_TOKEN;

/// Largest answer in one piece, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;

#[derive(Debug)]
#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Usage {
    prompt_tokens: Tokens,
    #[serde(default)]
    completion_tokens: Tokens,
}

/// Runs a completion and returns its whole answer.
pub(super) async fn answer(
    mut call: EngineCall,
    mut reservation: Reservation,
) -> Result<Response<Body>, Refusal> {
    loop {
        let Opened { response, run } = call.open(0).await?;
        let left = call.deadline.saturating_sub(call.app.clock.now());
        let idle = call.app.settings.upstream.idle_timeout.min(left);
        let read = read_whole(response.into_body(), idle).await;
        let failure = match read.and_then(|body| Ok((cost_tokens(&call, &body)?, body))) {
            Ok((tokens, body)) => {
                run.finish();
                reservation.consume(tokens);
                call.app.metrics.tokens(&call.customer_id, tokens);
                return Ok(reply::json(StatusCode::OK, body));
            }
            Err(failure) => failure,
        };
        call.fail(failure, run)?;
    }
}

/// Reads an answer to its end; its length is checked by the HTTP library.
pub(super) async fn read_whole(mut body: Incoming, idle: Duration) -> Result<Bytes, Failure> {
    let mut collected = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(collected.freeze()),
            Ok(Some(Err(_))) => return Err(Failure::BodyBroken),
            Err(_) => return Err(Failure::BodyTimeout),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > ANSWER_MAX_BYTES {
            return Err(Failure::BodyTooLarge);
        }
        collected.extend_from_slice(&data);
    }
}

/// Returns what an answer costs, by its own account or else by its length.
fn cost_tokens(call: &EngineCall, body: &[u8]) -> Result<Tokens, Failure> {
    let answer: Answer = serde_json::from_slice(body).map_err(|_| Failure::BodyMalformed)?;
    Ok(match answer.usage {
        Some(usage) => usage.prompt_tokens.saturating_add(usage.completion_tokens),
        None => call.completion.prompt_tokens + (body.len() / BYTES_PER_TOKEN) as Tokens,
    })
}
