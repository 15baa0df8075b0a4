//! Hostile input on real entries: bounded, and answered with a number where HTTP lets it.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use celerylever::entry::{ConnectionAction, ConnectionPhase, ConnectionTimeouts};
use fleet::{Fleet, FleetSettings, KEY, chat};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SEED: u64 = 6;
/// Longest wait for an answer or a close, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(30);
const IDLE_CONNECTIONS: usize = 2_000;
/// Memory that idle and slow callers may take, in kB.
const MEMORY_MAX_KB: u64 = 256 * 1_024;

async fn fleet(extra: &str) -> Fleet {
    Fleet::start(FleetSettings {
        engines: 1,
        extra: extra.to_owned(),
        ..Default::default()
    })
    .await
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.entries[0].callers).await.unwrap()
}

/// Reads until the entry closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            text.extend_from_slice(&buffer[..count]);
        }
    };
    tokio::time::timeout(WATCHDOG, read).await.unwrap();
    String::from_utf8(text).unwrap()
}

/// Sends raw bytes and reads until the entry closes the connection.
async fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = connect(fleet).await;
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

/// Returns status and number of the only answer.
fn numbered(answer: &str) -> (u16, u64) {
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    let status = answer[9..12].parse().unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let body: Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["error"]["ran"], "not_run");
    (status, body["error"]["code"].as_u64().unwrap())
}

/// Returns a request with more headers and a body.
fn post(headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

#[rstest]
#[case::two_lengths(post("content-length: 2\r\ncontent-length: 3\r\n", "{} "))]
#[case::bad_length(post("content-length: +2\r\n", "{}"))]
#[case::huge_length(post("content-length: 99999999999999999999999\r\n", "{}"))]
#[case::folded_header(post("x-a: b\r\n c: d\r\ncontent-length: 2\r\n", "{}"))]
#[case::space_before_colon(post("content-length : 2\r\n", "{}"))]
#[case::null_in_header(post("x-a: \0\r\ncontent-length: 2\r\n", "{}"))]
#[case::unknown_coding(post("transfer-encoding: gzip\r\n", "{}"))]
#[case::no_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n".to_vec())]
#[case::no_target(b"GET  HTTP/1.1\r\nhost: x\r\n\r\n".to_vec())]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_head_is_answered_with_a_number(#[case] bytes: Vec<u8>) {
    let fleet = fleet("").await;
    assert_eq!(numbered(&exchange(&fleet, &bytes).await), (400, 1111));
    assert_eq!(fleet.upstream_requests(), 0);
}

/// Shapes that two parsers could split differently: never two requests, never a second answer.
#[rstest]
#[case::length_and_chunked("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::chunked_and_length("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
#[case::chunked_twice("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n")]
#[case::chunked_not_last("transfer-encoding: chunked, identity\r\n")]
#[case::hidden_chunked("transfer-encoding: xchunked\r\ncontent-length: 4\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn smuggled_request_reaches_no_upstream(#[case] headers: &str) {
    let fleet = fleet("").await;
    let smuggled = format!(
        "0\r\n\r\nPOST /open/smuggled HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\
         authorization: Bearer {KEY}\r\n\r\n"
    );
    let bytes = post(headers, &smuggled);
    let kept_alive = String::from_utf8(bytes)
        .unwrap()
        .replace("connection: close\r\n", "");
    let answer = exchange(&fleet, kept_alive.as_bytes()).await;
    assert_eq!(numbered(&answer).0, 400);
    assert_eq!(fleet.upstream_requests(), 0);
}

#[rstest]
#[case::one_long_header(format!("x-a: {}\r\n", "a".repeat(1_000_000)))]
#[case::many_headers((0..5_000).map(|n| format!("x-{n}: a\r\n")).collect())]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_head_is_refused(#[case] headers: String) {
    let fleet = fleet("").await;
    let answer = exchange(&fleet, &post(&headers, "")).await;
    assert!(
        answer.is_empty() || numbered(&answer) == (431, 1112),
        "{answer}"
    );
    assert_eq!(
        fleet
            .post("/v1/completions", Some(KEY), &chat("x", 1, false))
            .await
            .status,
        400
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_head_is_ended_however_it_drips() {
    let fleet = fleet("[limits]\nconnection_idle_ms = 1000\n").await;
    let mut stream = connect(&fleet).await;
    let (mut reader, mut writer) = stream.split();
    let drip = async {
        let _ = writer.write_all(b"GET / HTTP/1.1\r\n").await;
        while writer.write_all(b"x-a: b\r\n").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let mut answer = vec![0; 4_096];
    let count = tokio::select! {
        read = reader.read(&mut answer) => read.unwrap(),
        () = drip => panic!("the answer comes before the close"),
        () = tokio::time::sleep(WATCHDOG) => panic!("the head is bounded"),
    };
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert_eq!(numbered(&answer), (408, 1110));
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_closed() {
    let fleet = fleet("[limits]\nconnection_idle_ms = 1000\n").await;
    assert_eq!(exchange(&fleet, b"").await, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_chunked_body_is_refused_at_the_limit() {
    let fleet = fleet("[limits]\nbody_max_bytes = 65536\n").await;
    let mut stream = connect(&fleet).await;
    let head = post("transfer-encoding: chunked\r\n", "");
    stream.write_all(&head).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let endless = async {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        while writer.write_all(chunk.as_bytes()).await.is_ok() {}
        std::future::pending::<()>().await
    };
    let mut answer = vec![0; 4_096];
    let count = tokio::select! {
        read = reader.read(&mut answer) => read.unwrap(),
        () = endless => 0,
        () = tokio::time::sleep(WATCHDOG) => panic!("the body is bounded"),
    };
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert_eq!(numbered(&answer), (413, 1102));
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_refused() {
    let fleet = fleet("[limits]\nbody_timeout_ms = 300\n").await;
    let answer = exchange(&fleet, &post("content-length: 100\r\n", "{")).await;
    assert_eq!(numbered(&answer), (408, 1108));
}

#[rstest]
#[case::in_body(b"{\"model\":\"grade-note\",\"prompt\":\"\xff\xfe\"}")]
#[case::surrogate(b"{\"model\":\"grade-note\",\"prompt\":\"\\ud800\"}")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_utf8_is_refused(#[case] body: &[u8]) {
    let fleet = fleet("").await;
    let mut bytes = post(&format!("content-length: {}\r\n", body.len()), "");
    bytes.extend_from_slice(body);
    assert_eq!(numbered(&exchange(&fleet, &bytes).await), (400, 1101));
    assert_eq!(fleet.upstream_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn deeply_nested_body_is_refused() {
    let fleet = fleet("").await;
    let body = format!("{{\"model\":{}", "[".repeat(100_000));
    let bytes = post(&format!("content-length: {}\r\n", body.len()), &body);
    assert_eq!(numbered(&exchange(&fleet, &bytes).await), (400, 1101));
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_above_the_limit_are_refused_at_once() {
    let fleet = fleet("[limits]\nconnections_max = 20\n").await;
    let mut kept = Vec::new();
    for _ in 0..20 {
        kept.push(connect(&fleet).await);
    }
    let answer = exchange(&fleet, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(numbered(&answer), (503, 2004));
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    drop(kept);
    let served = async {
        let request = format!(
            "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\n\r\n"
        );
        while !exchange(&fleet, request.as_bytes())
            .await
            .starts_with("HTTP/1.1 200")
        {}
    };
    tokio::time::timeout(WATCHDOG, served).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn many_idle_and_slow_connections_take_bounded_memory() {
    let fleet = fleet("").await;
    let mut kept = Vec::new();
    for index in 0..IDLE_CONNECTIONS {
        let mut stream = connect(&fleet).await;
        if index % 2 == 0 {
            let head = format!("GET / HTTP/1.1\r\nx-a: {}", "a".repeat(350_000));
            let _ = stream.write_all(head.as_bytes()).await;
        }
        kept.push(stream);
    }
    let answer = fleet
        .post("/v1/chat/completions", Some(KEY), &chat("x", 1, false))
        .await;
    assert_eq!(answer.status, 200);
    let memory = resident_kb(fleet.entries[0].process.id());
    assert!(memory < MEMORY_MAX_KB, "{memory} kB");
}

/// Guards against bodies that stop one byte short of their end and together exceed the memory.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_take_no_more_memory_than_the_settings_give() {
    const BODY_BYTES: usize = 2 * 1_024 * 1_024;
    const CALLERS: usize = 40;
    let fleet = fleet("[limits]\nmemory_mb = 64\n").await;
    let process = fleet.entries[0].process.id();
    let rest_kb = status_kb(process, "VmHWM:");
    let mut crowd = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let mut stream = connect(&fleet).await;
        crowd.spawn(async move {
            let mut bytes = post(&format!("content-length: {BODY_BYTES}\r\n"), "");
            bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
            // A caller whose connection is closed stops sending.
            let _ = tokio::time::timeout(Duration::from_secs(2), stream.write_all(&bytes)).await;
            stream
        });
    }
    let _stalled = crowd.join_all().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answer = fleet
        .post("/v1/chat/completions", Some(KEY), &chat("x", 1, false))
        .await;
    assert_eq!(answer.status, 200);
    let grown_kb = status_kb(process, "VmHWM:") - rest_kb;
    // 64 MB less the 32 MB that are left to a process without load.
    let bound_kb = 32_000_000 / 1_024;
    assert!(grown_kb <= bound_kb, "{grown_kb} kB of {bound_kb} kB");
}

fn resident_kb(process: u32) -> u64 {
    status_kb(process, "VmRSS:")
}

fn status_kb(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// What a connection has seen, kept as a plain list.
#[derive(Debug, Clone, Copy)]
enum Seen {
    Bytes(usize),
    Request,
    Answer,
}

/// Judges a connection by reading its whole history.
fn naive(
    history: &[(Duration, Seen)],
    now: Duration,
    limits: &ConnectionTimeouts,
    closing: bool,
) -> ConnectionAction {
    let mut under_way = 0_usize;
    let mut idle_since = Some(Duration::ZERO);
    let mut head_since = None;
    for (at, seen) in history {
        match seen {
            Seen::Bytes(_) if under_way == 0 => {
                head_since = head_since.or(Some(*at));
                idle_since = None;
            }
            Seen::Bytes(_) => {}
            Seen::Request => {
                under_way += 1;
                (idle_since, head_since) = (None, None);
            }
            Seen::Answer => {
                under_way -= 1;
                if under_way == 0 {
                    (idle_since, head_since) = (Some(*at), None);
                }
            }
        }
    }
    match (idle_since, head_since) {
        (Some(since), _) if closing || now - since >= limits.idle => ConnectionAction::CloseIdle,
        (_, Some(since)) if now - since >= limits.head => ConnectionAction::HeadTimeout,
        _ => ConnectionAction::Keep,
    }
}

#[test]
fn phases_agree_with_a_naive_history() {
    let limits = ConnectionTimeouts {
        idle: Duration::from_secs(6),
        head: Duration::from_secs(2),
    };
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..20_000 {
        let mut phase = ConnectionPhase::idle(Duration::ZERO);
        let mut history = Vec::new();
        let mut now = Duration::ZERO;
        for _ in 0..rng.random_range(1..12) {
            now += Duration::from_millis(rng.random_range(0..3_000));
            let seen = match rng.random_range(0..3) {
                0 => Seen::Bytes(rng.random_range(1..100)),
                1 => Seen::Request,
                _ if phase.is_busy() => Seen::Answer,
                _ => continue,
            };
            match seen {
                Seen::Bytes(bytes) => drop(phase.receive_bytes(bytes, now)),
                Seen::Request => phase.start_request(),
                Seen::Answer => phase.finish_request(now),
            }
            history.push((now, seen));
            for is_closing in [false, true] {
                let later = now + Duration::from_millis(rng.random_range(0..8_000));
                assert_eq!(
                    phase.action(later, &limits, is_closing),
                    naive(&history, later, &limits, is_closing),
                    "{history:?}"
                );
            }
        }
    }
}
