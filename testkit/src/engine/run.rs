//! One run of an engine and the answer it sends.

use std::sync::Arc;

use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::sync::watch;

use super::call::Call;
use super::slots::Slot;
use super::state::{Started, State};
use super::stream::streamed;
use crate::answer::Answer;
use crate::http::{Reply, json};

/// Run that holds its slot; dropping it before its end counts as cancelled.
pub(crate) struct Run {
    pub(crate) call: Call,
    pub(crate) slot: Option<Slot>,
    pub(crate) is_started: bool,
    pub(crate) is_finished: bool,
    pub(crate) engine: Arc<State>,
    cancelled: watch::Receiver<bool>,
}

impl Run {
    pub(crate) fn new(engine: Arc<State>, call: Call, cancelled: watch::Receiver<bool>) -> Self {
        Self {
            call,
            slot: None,
            is_started: false,
            is_finished: false,
            engine,
            cancelled,
        }
    }

    /// Waits until the run is cancelled by its id.
    pub(crate) async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        if cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.slot = None;
        let is_cut_short = self.is_started && !self.is_finished;
        self.engine.ended(&self.call.request_id, is_cut_short);
    }
}

/// Creates the answer to a run, with the id and text of `told`.
pub(crate) async fn answer(run: Run, told: Call, started: &Started) -> Option<Reply> {
    let mut reply = match run.call.is_streamed {
        true => streamed(run, &told),
        false => whole(run, &told).await?,
    };
    let headers = reply.headers_mut();
    let numbers = [
        ("x-engine-incarnation", started.incarnation),
        ("x-cached-tokens", started.cached_tokens),
    ];
    for (name, number) in numbers {
        headers.insert(name, number.into());
    }
    let texts = [
        ("x-request-id", &told.request_id),
        ("x-weight-version", &started.weight_version),
    ];
    for (name, text) in texts {
        headers.insert(name, HeaderValue::from_str(text).ok()?);
    }
    Some(reply)
}

async fn whole(mut run: Run, told: &Call) -> Option<Reply> {
    let tokens = run.call.tokens.end;
    let decode = run.engine.settings.token_interval * tokens as u32;
    if !decode.is_zero() {
        tokio::select! {
            () = tokio::time::sleep(decode) => {}
            () = run.cancelled() => return None,
        }
    }
    run.is_finished = true;
    let text = Answer::new(&told.prompt).text(tokens);
    let (object, choice) = match told.is_chat {
        true => {
            let message = json!({ "role": "assistant", "content": text });
            let choice = json!({ "index": 0, "message": message, "finish_reason": "length" });
            ("chat.completion", choice)
        }
        false => {
            let choice = json!({ "index": 0, "text": text, "finish_reason": "length" });
            ("text_completion", choice)
        }
    };
    let body = json!({
        "id": told.answer_id(),
        "object": object,
        "created": 0,
        "model": told.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": told.prompt_tokens(),
            "completion_tokens": tokens,
            "total_tokens": told.prompt_tokens() + tokens,
        },
    });
    Some(json(StatusCode::OK, &body))
}
