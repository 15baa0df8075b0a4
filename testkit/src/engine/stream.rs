//! Streamed answer of a run, with the faults that strike it.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::json;
use tokio::time::Instant;

use super::call::Call;
use super::run::Run;
use crate::answer::Answer;
use crate::fault::StreamFaults;
use crate::http::{Reply, closed};

/// Tokens sent as one piece of the body where no time passes between them.
const TOKENS_PER_FRAME: u64 = 32;
/// Time for what was sent to leave before a connection is cut.
const CUT_DELAY: Duration = Duration::from_millis(10);

/// Creates the streamed answer to a run, with the id and text of `told`.
pub(crate) fn streamed(run: Run, told: &Call) -> Reply {
    let tokens = run.call.tokens.clone();
    let state = StreamState {
        events: EventWriter::new(told, tokens.end),
        faults: run.engine.faults.take_stream_faults(tokens.clone()),
        position: tokens.start,
        next_at: Instant::now(),
        end: None,
        run,
    };
    let frames = stream::unfold(state, next_frame);
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    let event_stream = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert("content-type", event_stream);
    reply
}

struct StreamState {
    run: Run,
    events: EventWriter,
    faults: StreamFaults,
    position: u64,
    next_at: Instant,
    end: Option<End>,
}

#[derive(Clone, Copy)]
enum End {
    Quiet,
    Cut,
}

async fn next_frame(mut state: StreamState) -> Option<(io::Result<Frame<Bytes>>, StreamState)> {
    match state.end {
        Some(End::Quiet) => return None,
        Some(End::Cut) => {
            tokio::time::sleep(CUT_DELAY).await;
            state.end = Some(End::Quiet);
            return Some((Err(closed()), state));
        }
        None => {}
    }
    let interval = state.run.engine.settings.token_interval;
    state.next_at += interval;
    let due = async {
        if !interval.is_zero() {
            tokio::time::sleep_until(state.next_at).await;
        }
        state.run.engine.faults.thawed().await;
    };
    tokio::select! {
        biased;
        () = state.run.cancelled() => {
            state.end = Some(End::Quiet);
            return Some((Err(closed()), state));
        }
        () = due => {}
    }
    let count = if interval.is_zero() {
        TOKENS_PER_FRAME
    } else {
        1
    };
    let frame = state.write(count);
    Some((Ok(Frame::data(frame.into())), state))
}

impl StreamState {
    /// Writes some events, and the end where it is reached.
    fn write(&mut self, count: u64) -> String {
        let mut out = String::new();
        let stop = (self.position + count).min(self.run.call.tokens.end);
        while self.position < stop {
            let position = self.position;
            if self.faults.break_after == Some(position - self.run.call.tokens.start) {
                self.finish(End::Cut);
                return out;
            }
            let start = out.len();
            if self.faults.skip != Some(position) {
                self.events.write(&mut out, position);
            }
            if self.faults.duplicate == Some(position) {
                self.events.write(&mut out, position);
            }
            if self.faults.truncate == Some(position) {
                out.truncate((start + out.len()) / 2);
                self.finish(End::Quiet);
                return out;
            }
            self.position += 1;
        }
        if self.position >= self.run.call.tokens.end {
            out.push_str("data: [DONE]\n\n");
            self.finish(End::Quiet);
        }
        out
    }

    fn finish(&mut self, end: End) {
        self.run.is_finished = true;
        self.end = Some(end);
    }
}

/// Writes tokens as server-sent events.
struct EventWriter {
    answer: Answer,
    head: String,
    is_chat: bool,
    end: u64,
}

impl EventWriter {
    fn new(call: &Call, end: u64) -> Self {
        let object = match call.is_chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        let id = json!(call.answer_id());
        let model = json!(call.model);
        Self {
            answer: Answer::new(&call.prompt),
            head: format!(r#"{{"id":{id},"object":"{object}","created":0,"model":{model},"#),
            is_chat: call.is_chat,
            end,
        }
    }

    fn write(&self, out: &mut String, position: u64) {
        let token = self.answer.token(position);
        let head = &self.head;
        let finish_reason = match position + 1 == self.end {
            true => r#""length""#,
            false => "null",
        };
        let contents = match (self.is_chat, position) {
            (true, 0) => format!(r#""delta":{{"role":"assistant","content":"{token}"}}"#),
            (true, _) => format!(r#""delta":{{"content":"{token}"}}"#),
            (false, _) => format!(r#""text":"{token}""#),
        };
        let _ = write!(
            out,
            "id: {position}\ndata: {head}\"choices\":[{{\"index\":0,{contents},\
             \"finish_reason\":{finish_reason}}}]}}\n\n"
        );
    }
}
