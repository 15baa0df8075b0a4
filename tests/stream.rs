//! Streams that arrive complete and in order, whatever their engines do.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use celerylever_testkit::{EngineSettings, Faults};
use fleet::{Answer, Fleet, FleetSettings, KEY, chat, expected_stream, request, whole};
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rstest::rstest;
use serde_json::{Value, json};

const PATH: &str = "/v1/chat/completions";
const TOKENS: u64 = 40;
/// Longest wait for a state, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(20);
const SHORT_TIMEOUTS: &str =
    "bound_ms = 600\n[upstream]\nidle_timeout_ms = 300\nfirst_byte_timeout_ms = 400\n";

async fn fleet(engines: usize, repeatable: bool) -> Fleet {
    Fleet::start(FleetSettings {
        engines,
        repeatable,
        engine: EngineSettings {
            token_interval: Duration::from_millis(5),
            ..EngineSettings::default()
        },
        extra: SHORT_TIMEOUTS.to_owned(),
        ..Default::default()
    })
    .await
}

async fn open(fleet: &Fleet, body: &Value) -> Response<Incoming> {
    let callers = fleet.entries[0].callers;
    let request = request(callers, Method::POST, PATH, Some(KEY), body.to_string());
    fleet.client.request(request).await.unwrap()
}

/// Reads some bytes of a stream.
async fn read_some(response: &mut Response<Incoming>) -> Vec<u8> {
    let frame = response.body_mut().frame().await.unwrap().unwrap();
    frame.into_data().unwrap().to_vec()
}

/// Reads the rest of a stream.
async fn rest(first: Vec<u8>, response: Response<Incoming>) -> Answer {
    let mut answer = whole(response).await;
    answer.text = String::from_utf8(first).unwrap() + &answer.text;
    answer
}

fn assert_whole(answer: &Answer, body: &Value) {
    let id = answer.headers["x-request-id"].to_str().unwrap();
    assert_eq!(answer.text, expected_stream(body, id));
}

/// Returns code and outcome of the error event that ends a stream.
fn error_event(answer: &Answer) -> (u64, String) {
    let (_, event) = answer.text.split_once("event: error\ndata: ").unwrap();
    let error: Value = serde_json::from_str(event).unwrap();
    let ran = error["error"]["ran"].as_str().unwrap();
    (error["error"]["code"].as_u64().unwrap(), ran.to_owned())
}

fn total_runs(fleet: &Fleet) -> u64 {
    fleet
        .engines
        .iter()
        .map(|engine| engine.totals().runs)
        .sum()
}

#[rstest]
#[case::cut(Faults { break_stream_after: Some(7), ..Faults::default() })]
#[case::truncated_chunk(Faults { truncate_chunk: Some(9), ..Faults::default() })]
#[case::missing_position(Faults { skip_position: Some(11), ..Faults::default() })]
#[case::duplicate_position(Faults { duplicate_position: Some(5), ..Faults::default() })]
#[case::swapped_answer(Faults { swap_answers: true, ..Faults::default() })]
#[case::reset_after_write(Faults { lose_answers: 1, ..Faults::default() })]
#[case::refusing(Faults { refuse: true, ..Faults::default() })]
#[case::frozen_before_the_head(Faults { freeze: true, ..Faults::default() })]
#[case::cut_and_missing(Faults {
    break_stream_after: Some(20), skip_position: Some(11), ..Faults::default()
})]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_whole_despite(#[case] faults: Faults, #[values(1, 2)] faulty: usize) {
    let fleet = fleet(3, true).await;
    for engine in &fleet.engines[..faulty] {
        engine.faults().set(faults.clone());
    }
    let body = chat("Grade load 17.", TOKENS, true);
    assert_whole(&whole(open(&fleet, &body).await).await, &body);
}

#[derive(Debug, Clone, Copy)]
enum Death {
    Crash,
    Freeze,
    SilentConnections,
}

async fn strike(fleet: &Fleet, engine: usize, death: Death) {
    let engine = &fleet.engines[engine];
    match death {
        Death::Crash => engine.stop().await,
        Death::Freeze => engine.faults().update(|faults| faults.freeze = true),
        Death::SilentConnections => engine
            .faults()
            .update(|faults| faults.silence_open_connections = true),
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_its_engine(
    #[values(Death::Crash, Death::Freeze, Death::SilentConnections)] death: Death,
) {
    let fleet = fleet(2, true).await;
    let body = chat("Grade load 17.", TOKENS, true);
    let mut response = open(&fleet, &body).await;
    let first = read_some(&mut response).await;
    strike(&fleet, 0, death).await;
    assert_whole(&rest(first, response).await, &body);
}

/// The tokens used are told once before the end, also of a stream that two engines worked on.
#[rstest]
#[case::whole(None)]
#[case::resumed(Some(Death::Crash))]
#[tokio::test(flavor = "multi_thread")]
async fn usage_is_told_before_the_end_where_it_is_asked_for(#[case] death: Option<Death>) {
    let fleet = fleet(2, true).await;
    let mut body = chat("Grade load 17.", TOKENS, true);
    let mut plain = open(&fleet, &body).await;
    let first = read_some(&mut plain).await;
    assert!(!rest(first, plain).await.text.contains("usage"));
    body["stream_options"] = json!({"include_usage": true});
    let mut response = open(&fleet, &body).await;
    let first = read_some(&mut response).await;
    if let Some(death) = death {
        strike(&fleet, 0, death).await;
    }
    let answer = rest(first, response).await;
    let id = answer.headers["x-request-id"].to_str().unwrap();
    let without = expected_stream(&body, id);
    let (tokens, done) = without.split_at(without.rfind("data: [DONE]").unwrap());
    let told = answer.text.strip_prefix(tokens).unwrap();
    let told = told.strip_suffix(done).unwrap();
    let told: Value = serde_json::from_str(told.strip_prefix("data: ").unwrap()).unwrap();
    assert_eq!(told["choices"], json!([]));
    let usage = &told["usage"];
    assert_eq!(usage["completion_tokens"], TOKENS);
    assert_eq!(
        usage["total_tokens"].as_u64(),
        usage["prompt_tokens"]
            .as_u64()
            .map(|prompt| prompt + TOKENS)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_more_deaths_than_there_are_attempts() {
    let fleet = fleet(2, true).await;
    let body = chat("Grade load 17.", 400, true);
    let mut response = open(&fleet, &body).await;
    let mut text = read_some(&mut response).await;
    for round in 0..8 {
        strike(&fleet, round % 2, Death::Crash).await;
        let seen = text.len();
        while text.len() < seen + 2_000 {
            text.extend(read_some(&mut response).await);
        }
        fleet.engines[round % 2].restart().await.unwrap();
    }
    assert_whole(&rest(text, response).await, &body);
}

/// Streams whose heads were sent are resumed also before their first token.
#[tokio::test(flavor = "multi_thread")]
async fn empty_budget_ends_no_open_stream() {
    let engine = EngineSettings {
        token_interval: Duration::from_millis(200),
        ..EngineSettings::default()
    };
    let fleet = Fleet::start(FleetSettings {
        engine,
        ..Default::default()
    })
    .await;
    let refuse = |refuse| {
        for engine in &fleet.engines {
            engine.faults().update(|faults| faults.refuse = refuse);
        }
    };
    refuse(true);
    let mut is_empty = false;
    for _ in 0..30 {
        let answer = fleet.post(PATH, Some(KEY), &chat("x", 0, false)).await;
        is_empty |= answer.status == 503 && answer.refusal().0 == 3009;
    }
    assert!(is_empty);
    refuse(false);
    let body = chat("Grade load 17.", 3, true);
    let opened = (0..6).map(|_| open(&fleet, &body));
    let responses = futures_util::future::join_all(opened).await;
    strike(&fleet, 0, Death::Crash).await;
    for response in responses {
        assert_whole(&whole(response).await, &body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_connection_tells_a_dead_path_from_a_dead_engine() {
    let fleet = fleet(1, true).await;
    let body = chat("Grade load 17.", TOKENS, true);
    let mut response = open(&fleet, &body).await;
    let first = read_some(&mut response).await;
    strike(&fleet, 0, Death::SilentConnections).await;
    assert_whole(&rest(first, response).await, &body);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_pooled_connections_are_not_used_again() {
    let fleet = fleet(1, true).await;
    let body = chat("Grade load 17.", 2, false);
    let streams: Vec<_> = (0..8).map(|_| fleet.post(PATH, Some(KEY), &body)).collect();
    futures_util::future::join_all(streams).await;
    strike(&fleet, 0, Death::SilentConnections).await;
    for _ in 0..8 {
        assert_eq!(fleet.post(PATH, Some(KEY), &body).await.status, 200);
    }
    let metrics = fleet
        .get(fleet.entries[0].operators, "/metrics", None)
        .await;
    let metrics = metrics.unwrap().text;
    let retries = metrics
        .lines()
        .find(|line| line.contains("retries_total{"))
        .unwrap_or(&metrics);
    assert!(retries.ends_with(" 1"), "{retries}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_any_engine_left_ends_with_an_error_event() {
    let fleet = fleet(2, true).await;
    let body = chat("Grade load 17.", TOKENS, true);
    let mut response = open(&fleet, &body).await;
    let first = read_some(&mut response).await;
    strike(&fleet, 0, Death::Crash).await;
    strike(&fleet, 1, Death::Crash).await;
    let answer = rest(first, response).await;
    assert_eq!(error_event(&answer), (3005, "unknown".into()));
    let id = answer.headers["x-request-id"].to_str().unwrap();
    let (delivered, _) = answer.text.split_once("event: error").unwrap();
    assert!(expected_stream(&body, id).starts_with(delivered));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_may_not_be_repeated_runs_once() {
    let fleet = fleet(2, false).await;
    let cut = Faults {
        break_stream_after: Some(7),
        ..Faults::default()
    };
    for engine in &fleet.engines {
        engine.faults().set(cut.clone());
    }
    let body = chat("Grade load 17.", TOKENS, true);
    let answer = whole(open(&fleet, &body).await).await;
    assert_eq!(error_event(&answer), (3005, "unknown".into()));
    assert_eq!(total_runs(&fleet), 1);
}

#[rstest]
#[case::lost_answer(Faults { lose_answers: 1, ..Faults::default() }, false, 3003, "unknown", 1)]
#[case::frozen(Faults { freeze: true, ..Faults::default() }, false, 3004, "unknown", 0)]
#[case::refused(Faults { refuse: true, ..Faults::default() }, false, 3006, "not_run", 0)]
#[case::swapped(Faults { swap_answers: true, ..Faults::default() }, false, 3008, "unknown", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_that_failed_is_told_truthfully(
    #[case] faults: Faults,
    #[case] repeatable: bool,
    #[case] code: u64,
    #[case] ran: &str,
    #[case] runs: u64,
) {
    let fleet = fleet(1, repeatable).await;
    fleet.engines[0].faults().set(faults);
    let answer = fleet.post(PATH, Some(KEY), &chat("x", 2, false)).await;
    let (told_code, _, told_ran) = answer.refusal();
    assert_eq!((told_code, told_ran.as_str()), (code, ran));
    assert_eq!(answer.headers.contains_key("retry-after"), ran == "not_run");
    assert_eq!(total_runs(&fleet), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_a_lost_answer_is_not_told_as_not_run() {
    let fleet = fleet(2, true).await;
    let lose = Faults {
        lose_answers: 10,
        ..Faults::default()
    };
    let refuse = Faults {
        refuse: true,
        ..Faults::default()
    };
    fleet.engines[0].faults().set(lose);
    fleet.engines[1].faults().set(refuse);
    let answer = fleet.post(PATH, Some(KEY), &chat("x", 2, false)).await;
    assert_eq!(answer.refusal().2, "unknown");
    assert!(total_runs(&fleet) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_leaving_cancels_the_run_and_returns_its_tokens() {
    let fleet = Fleet::start(FleetSettings {
        engines: 1,
        rate_tokens_per_s: 1,
        burst_tokens: 200_000,
        engine: EngineSettings {
            token_interval: Duration::from_millis(5),
            ..EngineSettings::default()
        },
        ..Default::default()
    })
    .await;
    let body = chat(&"x".repeat(40_000), 99_000, true);
    let mut response = open(&fleet, &body).await;
    read_some(&mut response).await;
    drop(response);
    let cancelled = async {
        while fleet.engines[0].totals().cancelled == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, cancelled).await.unwrap();
    assert_eq!(open(&fleet, &body).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn run_behind_a_silent_path_is_cancelled_by_its_id() {
    let fleet = fleet(1, true).await;
    let body = chat("Grade load 17.", 10_000, true);
    let mut response = open(&fleet, &body).await;
    read_some(&mut response).await;
    strike(&fleet, 0, Death::SilentConnections).await;
    drop(response);
    let cancelled = async {
        while fleet.engines[0].totals().cancelled == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, cancelled).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_past_the_drain_bound_ends_with_an_error_event() {
    let mut fleet = fleet(1, true).await;
    let body = chat("Grade load 17.", 4_000, true);
    let mut response = open(&fleet, &body).await;
    let first = read_some(&mut response).await;
    fleet.entries[0].signal("TERM");
    let answer = rest(first, response).await;
    assert_eq!(error_event(&answer), (3005, "unknown".into()));
    let status = fleet.entries[0].process.wait().unwrap();
    assert_eq!(status.code(), Some(0));
}
