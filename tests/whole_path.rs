//! A caller's request through a real entry process and back.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/fleet.rs"]
mod fleet;

use celerylever_testkit::{Answer as Expected, EngineSettings};
use fleet::{Fleet, FleetSettings, KEY, OTHER_KEY, chat, expected_stream, request, whole};
use http::Method;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_arrives_byte_for_byte() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let body = chat("Grade load 17.", 5, true);
    let answer = fleet.post("/v1/chat/completions", Some(KEY), &body).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    let id = answer.headers["x-request-id"].to_str().unwrap();
    assert_eq!(answer.text, expected_stream(&body, id));
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_arrives_whole() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let body = json!({"model": "grade-note", "max_tokens": 3, "prompt": "Grade load 17."});
    let answer = fleet.post("/v1/completions", Some(KEY), &body).await;
    assert_eq!(answer.status, 200);
    let text = Expected::new("Grade load 17.").text(3);
    assert_eq!(answer.json()["choices"][0]["text"], json!(text));
    assert_eq!(answer.json()["usage"]["total_tokens"], json!(7));
}

#[rstest]
#[case::missing_key(None, 1001, "key_missing", 401)]
#[case::unknown_key(Some("wrong"), 1002, "key_unknown", 401)]
#[case::model_of_another_customer(Some(OTHER_KEY), 1103, "model_unknown", 404)]
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_reaches_no_upstream(
    #[case] key: Option<&str>,
    #[case] code: u64,
    #[case] name: &str,
    #[case] status: u16,
) {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let answer = fleet
        .post("/v1/chat/completions", key, &chat("x", 1, false))
        .await;
    assert_eq!(answer.status, status);
    assert_eq!(
        answer.refusal(),
        (code, name.to_owned(), "not_run".to_owned())
    );
    assert_eq!(fleet.upstream_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn model_of_another_customer_looks_like_no_model() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let mut texts = Vec::new();
    for model in ["booking", "absent"] {
        let body = json!({"model": model, "prompt": "x"});
        let answer = fleet.post("/v1/completions", Some(KEY), &body).await;
        texts.push((answer.status, answer.text));
    }
    assert_eq!(texts[0].0, 404);
    assert_eq!(texts[0], texts[1]);
}

#[rstest]
#[case::not_json("{", 400, 1101)]
#[case::no_model("{}", 400, 1101)]
#[case::no_prompt(r#"{"model":"grade-note"}"#, 400, 1101)]
#[case::invalid_utf8("\u{0}", 400, 1101)]
#[case::answer_too_long(
    r#"{"model":"grade-note","prompt":"x","max_tokens":100001}"#,
    400,
    1101
)]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_body_is_refused(
    #[case] body: &'static str,
    #[case] status: u16,
    #[case] code: u64,
) {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let address = fleet.entries[0].callers;
    let request = request(address, Method::POST, "/v1/completions", Some(KEY), body);
    let answer = whole(fleet.client.request(request).await.unwrap()).await;
    assert_eq!((answer.status, answer.refusal().0), (status, code));
    assert_eq!(fleet.upstream_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_refused_with_the_limit() {
    let extra = String::from("[limits]\nbody_max_bytes = 4096\n");
    let fleet = Fleet::start(FleetSettings {
        extra,
        ..Default::default()
    })
    .await;
    let body = chat(&"x".repeat(5000), 1, false);
    let answer = fleet.post("/v1/chat/completions", Some(KEY), &body).await;
    assert_eq!(answer.status, 413);
    assert_eq!(
        answer.json()["error"]["message"],
        json!("body: larger than the limit of 4096 bytes")
    );
    assert_eq!(fleet.upstream_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_never_see_the_callers_key() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet
        .post("/v1/chat/completions", Some(KEY), &chat("x", 1, true))
        .await;
    fleet
        .post("/slots/book", Some(KEY), &json!({"slot": 1}))
        .await;
    fleet.post("/open/hours", Some(KEY), &json!({})).await;
    let mut seen = fleet.service.requests();
    seen.extend(fleet.engines.iter().flat_map(|engine| engine.requests()));
    assert_eq!(seen.len(), 3);
    for request in seen {
        let text = format!("{} {} {:?}", request.path, request.query, request.headers);
        assert!(!text.contains(KEY), "{text}");
        assert!(!String::from_utf8_lossy(&request.body).contains(KEY));
    }
}

#[rstest]
#[case::query("/slots/book?token=depots-key-0123456789", "{}")]
#[case::encoded_query("/slots/book?token=depots%2Dkey-0123456789", "{}")]
#[case::body("/slots/book", "{\"key\":\"depots-key-0123456789\"}")]
#[tokio::test(flavor = "multi_thread")]
async fn key_outside_its_header_is_refused(#[case] path: &str, #[case] body: &'static str) {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let request = request(
        fleet.entries[0].callers,
        Method::POST,
        path,
        Some(KEY),
        body,
    );
    let answer = whole(fleet.client.request(request).await.unwrap()).await;
    assert_eq!((answer.status, answer.refusal().0), (400, 1109));
    assert_eq!(fleet.upstream_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_the_customers_own() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let address = fleet.entries[0].callers;
    let answer = fleet.get(address, "/v1/models", Some(KEY)).await.unwrap();
    let expected = json!({"object": "list", "data": [
        {"id": "grade-note", "object": "model", "created": 0, "owned_by": "celerylever"},
    ]});
    assert_eq!(answer.json(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_by_code_and_customer() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet
        .post(
            "/v1/completions",
            Some(KEY),
            &json!({"model": "absent", "prompt": "x"}),
        )
        .await;
    let metrics = fleet
        .get(fleet.entries[0].operators, "/metrics", None)
        .await
        .unwrap();
    let line = metrics
        .text
        .lines()
        .find(|line| line.contains("model_unknown") && line.contains("depots"));
    assert!(
        line.is_some_and(|line| line.ends_with(" 1")),
        "{}",
        metrics.text
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_under_load_cuts_no_stream() {
    let engine = EngineSettings {
        token_interval: Duration::from_millis(10),
        ..EngineSettings::default()
    };
    let mut fleet = Fleet::start(FleetSettings {
        engine,
        ..Default::default()
    })
    .await;
    let mut streams = Vec::new();
    for index in 0..40 {
        let body = chat(&format!("load {index}"), 60, true);
        let callers = fleet.entries[0].callers;
        let path = "/v1/chat/completions";
        let request = request(callers, Method::POST, path, Some(KEY), body.to_string());
        let response = fleet.client.request(request).await.unwrap();
        let id = response.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let expected = expected_stream(&body, &id);
        streams.push((tokio::spawn(whole(response)), expected));
    }
    fleet.entries[0].signal("TERM");
    for (stream, expected) in streams {
        assert_eq!(stream.await.unwrap().text, expected);
    }
    let status = fleet.entries[0].process.wait().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_entry_is_not_ready_and_still_answers() {
    let extra = String::from("");
    let fleet = Fleet::start(FleetSettings {
        extra,
        ..Default::default()
    })
    .await;
    fleet.entries[0].signal("TERM");
    let entry = &fleet.entries[0];
    let answer = loop {
        let answer = fleet.get(entry.operators, "/readyz", None).await.unwrap();
        if answer.status == 503 {
            break answer;
        }
    };
    assert_eq!(answer.text, "draining\n");
}
