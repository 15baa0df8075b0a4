//! One request of the load.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use super::checker::{Checker, Outcome, error_code};
use super::tally::Tally;
use super::{LoadCustomer, LoadSettings};
use crate::answer::{Answer, prompt_text, prompt_tokens};
use crate::fault::lock;

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// One request and the answer that is right for it.
pub(crate) struct Exchange {
    request: Request<Full<Bytes>>,
    answer: Answer,
    answer_tokens: u64,
    prompt_tokens: u64,
    is_streamed: bool,
}

impl Exchange {
    pub(crate) fn new(
        settings: &LoadSettings,
        customer: &LoadCustomer,
        random: &mut StdRng,
        at: Duration,
    ) -> Self {
        let shift = match settings.shift_every.as_nanos() {
            0 => 0,
            every => (at.as_nanos() / every) as u64,
        };
        let mut path = customer.name.clone();
        let mut content = String::new();
        for (level, tokens) in settings.levels_tokens.iter().enumerate() {
            if level > 0 {
                let hot = random.random_range(0..settings.hot_prefixes.max(1));
                path = format!("{path}/{}", hot + shift * settings.hot_prefixes);
            }
            content.push_str(&filler(&path, *tokens));
        }
        content.push_str(&format!(" question {:08x}", random.random::<u32>()));
        let body = json!({
            "model": customer.model,
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": settings.answer_tokens,
            "stream": settings.streamed,
        });
        let prompt = prompt_text(&body).unwrap_or_default();
        let entry = settings.entries[random.random_range(0..settings.entries.len())];
        let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = uri(entry);
        *request.headers_mut() = headers(&customer.key);
        Self {
            request,
            answer: Answer::new(&prompt),
            answer_tokens: settings.answer_tokens,
            prompt_tokens: prompt_tokens(&prompt),
            is_streamed: settings.streamed,
        }
    }

    pub(crate) async fn run(self, client: HttpClient, timeout: Duration, tally: &Mutex<Tally>) {
        let exchange = self.exchange(client, tally);
        let outcome = tokio::time::timeout(timeout, exchange).await;
        lock(tally).end(&outcome.unwrap_or(Outcome::Cut));
    }

    async fn exchange(self, client: HttpClient, tally: &Mutex<Tally>) -> Outcome {
        let start = Instant::now();
        let Ok(response) = client.request(self.request).await else {
            return Outcome::Cut;
        };
        let (head, mut body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Outcome::Refused(refusal_code(head.status, body).await);
        }
        let mut checker = Checker::new(self.answer, self.answer_tokens);
        let mut first_token = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map(|frame| frame.into_data().unwrap_or_default()) else {
                return Outcome::Cut;
            };
            first_token.get_or_insert_with(|| start.elapsed());
            checker.push(&data);
            let fault = match self.is_streamed {
                true => checker.check_events(),
                false => None,
            };
            if let Some(outcome) = fault {
                return outcome;
            }
        }
        let outcome = match self.is_streamed {
            true => checker.stream_end(),
            false => checker.check_whole(),
        };
        if let Outcome::Right = outcome {
            let first_token = first_token.unwrap_or_default();
            lock(tally).note(first_token, self.prompt_tokens, &head.headers);
        }
        outcome
    }
}

fn filler(path: &str, tokens: usize) -> String {
    let unit = Answer::new(path).text(16);
    unit.chars().cycle().take(tokens * 4).collect()
}

fn uri(entry: SocketAddr) -> http::Uri {
    let text = format!("http://{entry}/v1/chat/completions");
    text.parse().unwrap_or_default()
}

fn headers(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(bearer) = format!("Bearer {key}").parse() {
        headers.insert("authorization", bearer);
    }
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("application/json"),
    );
    headers
}

async fn refusal_code(status: StatusCode, body: Incoming) -> u64 {
    let body = body.collect().await.map(|body| body.to_bytes());
    error_code(&body.unwrap_or_default()).unwrap_or(status.as_u16().into())
}
