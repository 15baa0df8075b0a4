//! Check of an answer against what the engine must say.

use serde_json::Value;

use crate::answer::Answer;

/// How one request ended.
pub(crate) enum Outcome {
    Right,
    Refused(u64),
    Broken(u64),
    Cut,
    Wrong,
}

/// Checks an answer against what the engine must say.
pub(crate) struct Checker {
    answer: Answer,
    answer_tokens: u64,
    position: u64,
    is_done: bool,
    buffer: Vec<u8>,
}

impl Checker {
    pub(crate) fn new(answer: Answer, answer_tokens: u64) -> Self {
        Self {
            answer,
            answer_tokens,
            position: 0,
            is_done: false,
            buffer: Vec::new(),
        }
    }

    /// Takes some of the body.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Checks the events that have arrived whole and returns what is wrong with them.
    pub(crate) fn check_events(&mut self) -> Option<Outcome> {
        let end = self.buffer.windows(2).rposition(|pair| pair == b"\n\n")?;
        let rest = self.buffer.split_off(end + 2);
        let events = std::mem::replace(&mut self.buffer, rest);
        let events = String::from_utf8_lossy(&events);
        events
            .split_terminator("\n\n")
            .find_map(|event| self.check_event(event))
    }

    /// Returns the outcome of a stream that ended without a fault.
    pub(crate) fn stream_end(&self) -> Outcome {
        match self.is_done {
            true => Outcome::Right,
            false => Outcome::Cut,
        }
    }

    fn check_event(&mut self, event: &str) -> Option<Outcome> {
        let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ")?;
        if field("event: ") == Some("error") {
            return Some(Outcome::Broken(error_code(data.as_bytes()).unwrap_or(0)));
        }
        if self.is_done {
            return Some(Outcome::Wrong);
        }
        if data == "[DONE]" {
            self.is_done = self.position == self.answer_tokens;
            return (!self.is_done).then_some(Outcome::Wrong);
        }
        let id = field("id: ").map(str::parse);
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        let is_right = token == Some(&self.answer.token(self.position))
            && id.is_none_or(|id| id == Ok(self.position));
        self.position += 1;
        (!is_right).then_some(Outcome::Wrong)
    }

    /// Returns the outcome of a whole answer.
    pub(crate) fn check_whole(&self) -> Outcome {
        let body: Value = serde_json::from_slice(&self.buffer).unwrap_or_default();
        let text = body["choices"][0]["message"]["content"].as_str();
        match text {
            Some(text) if text == self.answer.text(self.answer_tokens) => Outcome::Right,
            Some(_) => Outcome::Wrong,
            None => Outcome::Cut,
        }
    }
}

/// Returns the number in an error's body.
pub(crate) fn error_code(body: &[u8]) -> Option<u64> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["error"]["code"].as_u64()
}
