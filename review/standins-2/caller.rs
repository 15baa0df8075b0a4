//! Callers of streams, and the configuration that lets them in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Request, find, send};
use crate::json::Json;

/// Time budget of a caller, as that of a `grade-note`.
pub const BUDGET: Duration = Duration::from_millis(12_000);

/// Configuration with a route of streams that may be resumed, and one of plain requests that may not be
/// repeated.
pub fn config(version: u64) -> Json {
    Json::parse(&format!(
        r#"{{"Version":{version},
        "Routes":[{{"Name":"note","Host":"depot.example","PathPrefix":"/note/","Kind":"streaming",
            "TimeoutMs":12000,"GoalMs":600,"GapTargetMs":250,"Priority":1,"Service":"notes","Attempts":2,
            "Public":false,"Sticky":true,"Resumable":true}},
            {{"Name":"book","Host":"depot.example","PathPrefix":"/book/","Kind":"non_idempotent",
            "TimeoutMs":3000,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":1,
            "Public":false,"Sticky":false,"Resumable":false}}],
        "Services":[{{"Name":"desk","HealthPath":"/health","MaxConns":240,"Protocol":"h1","Tls":false}},
            {{"Name":"notes","HealthPath":"/health","MaxConns":240,"Protocol":"h1","Tls":false,
            "Engine":{{"Slots":64,"KvCapacity":10000000,"KvTokenBytes":1000,"LinkMbps":1000.0,
                "MaxInflight":4,"Models":[{{"Name":"m"}}]}}}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":10000,"IdleTimeoutMs":15000}},
        "Tenants":[{{"Name":"teifi","ApiKeys":["key-teifi"],"Unit":"token_stream","UncachedTokens":200,
            "Isolated":false,"RatePerS":10000000,"Burst":10000000}}]}}"#
    ))
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    /// Status of the answer; 0 if the connection could not be opened or closed without an answer.
    pub status: u16,
    pub retry_after_s: f64,
    /// Events that arrived: id and the software that made it.
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
}

/// Caller of one stream.
#[derive(Debug, Clone)]
pub struct Stream {
    pub number: usize,
    pub begun_at: Instant,
    pub attempts: Vec<Attempt>,
}

impl Stream {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            begun_at: Instant::now(),
            attempts: Vec::new(),
        }
    }

    /// Returns the id of the last event that arrived.
    pub fn last_event(&self) -> Option<u64> {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        events.map(|(id, _)| *id).last()
    }

    pub fn is_complete(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|attempt| attempt.is_complete)
    }

    pub fn left(&self) -> Duration {
        BUDGET.saturating_sub(self.begun_at.elapsed())
    }

    /// Returns the software versions whose events the caller holds.
    pub fn software(&self) -> Vec<String> {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        let mut software: Vec<String> = events.map(|(_, software)| software.clone()).collect();
        software.sort();
        software.dedup();
        software
    }

    /// Sends the next attempt, which takes the stream up if events have arrived, and reads the answer
    /// to its end, or until `leave_after` some events.
    pub fn attempt(&mut self, address: SocketAddr, leave_after: Option<usize>) {
        let id = format!("r{:03}-{}", self.number, self.attempts.len());
        let left = self.left();
        let mut headers = vec![
            ("Host", "depot.example".to_owned()),
            ("Request-Id", id.clone()),
            ("Model", "m".to_owned()),
            ("Token-Count", "1460,80".to_owned()),
            (
                "Prefix-Hash",
                format!("{:x}:1000,c{:x}:460", self.number, self.number),
            ),
            ("Deadline-Ms", left.as_millis().to_string()),
            ("Authorization", "Bearer key-teifi".to_owned()),
        ];
        if let Some(last) = self.last_event() {
            let mut attempts = self.attempts.iter();
            let first = attempts.find(|attempt| !attempt.events.is_empty());
            let first = first.map_or(String::new(), |attempt| attempt.id.clone());
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", first));
        }
        let request = Request {
            method: "POST".into(),
            target: "/note/a".into(),
            headers: headers
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
            body: b"sheet".to_vec(),
        };
        let mut attempt = Attempt {
            id,
            sent_at: Instant::now(),
            status: 0,
            retry_after_s: 0.0,
            events: Vec::new(),
            is_complete: false,
        };
        if let Ok(mut response) = send(address, &request, left) {
            attempt.status = response.status;
            let retry_after = find(&response.headers, "retry-after");
            attempt.retry_after_s = retry_after.parse().unwrap_or(0.0);
            let mut text = String::new();
            let end = loop {
                match response.next_part() {
                    Ok(Some(part)) => text.push_str(&String::from_utf8_lossy(&part)),
                    end => break end.is_ok(),
                }
                while let Some((event, rest)) = text.split_once("\n\n") {
                    attempt.events.extend(parse_event(event));
                    text = rest.to_owned();
                }
                if leave_after.is_some_and(|count| attempt.events.len() >= count) {
                    break false;
                }
            };
            attempt.is_complete = end && response.status == 200;
        }
        self.attempts.push(attempt);
    }
}

fn parse_event(event: &str) -> Option<(u64, String)> {
    let id = event.lines().find_map(|line| line.strip_prefix("id: "))?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some((id.parse().ok()?, data.to_owned()))
}
