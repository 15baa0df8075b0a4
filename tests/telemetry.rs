//! Metrics as rendered in the Prometheus text format.

use std::time::Duration;

use celerylever::error::Code;
use celerylever::settings::{LogFormat, LogSettings};
use celerylever::telemetry::{Event, PeerDropReason, RetryReason, Telemetry, stderr_logger};
use rstest::rstest;

fn assert_sample(text: &str, name: &str, labels: &[&str], value: &str) {
    let matches = |line: &&str| {
        line.split(['{', ' ']).next() == Some(name)
            && labels.iter().all(|label| line.contains(label))
    };
    let line = text.lines().find(matches);
    let line = line.unwrap_or_else(|| panic!("no {name} {labels:?} in\n{text}"));
    assert_eq!(line.rsplit(' ').next(), Some(value), "{line}");
}

#[test]
fn every_metric_is_rendered() {
    let telemetry = Telemetry::new();
    let metrics = telemetry.metrics();
    metrics.record_refusal(Code::RateExceeded, Some("depot"));
    metrics.record_refusal(Code::KeyMissing, None);
    metrics.record_retry(RetryReason::Connect, "engine-1");
    metrics.record_request("depot", "notes");
    metrics.record_first_token(Duration::from_millis(3));
    metrics.record_tokens("depot", 40);
    metrics.record_prompt_tokens("notes", 1_000);
    metrics.record_cached_tokens("notes", 900);
    metrics.record_child_restart("watch");
    metrics.record_peer_message_drop(PeerDropReason::Oversized);
    metrics.record_handler_panic();
    metrics.record_event(Event::LeaseAcquired);
    metrics.set_configuration_version(7);
    let text = telemetry.render();
    for (name, labels, value) in [
        (
            "refusals_total",
            &[r#"code="rate_exceeded""#, r#"customer="depot""#][..],
            "1",
        ),
        (
            "refusals_total",
            &[r#"code="key_missing""#, r#"customer="""#],
            "1",
        ),
        (
            "retries_total",
            &[r#"reason="connect""#, r#"upstream="engine-1""#],
            "1",
        ),
        (
            "requests_total",
            &[r#"customer="depot""#, r#"model="notes""#],
            "1",
        ),
        ("first_token_seconds_bucket", &[r#"le="0.005""#], "1"),
        ("first_token_seconds_bucket", &[r#"le="0.002""#], "0"),
        ("tokens_total", &[r#"customer="depot""#], "40"),
        ("prompt_tokens_total", &[r#"model="notes""#], "1000"),
        ("cached_tokens_total", &[r#"model="notes""#], "900"),
        ("child_restarts_total", &[r#"child="watch""#], "1"),
        (
            "peer_messages_dropped_total",
            &[r#"reason="oversized""#],
            "1",
        ),
        ("handler_panics_total", &[], "1"),
        ("events_total", &[r#"event="lease_acquired""#], "1"),
        ("configuration_version", &[], "7"),
    ] {
        assert_sample(&text, &format!("celerylever_{name}"), labels, value);
    }
}

#[test]
fn customer_handle_counts_like_the_plain_methods() {
    let telemetry = Telemetry::new();
    let metrics = telemetry.metrics();
    let customer = metrics.customer("depot");
    customer.record_request("notes");
    metrics.record_request("depot", "notes");
    customer.record_tokens(2);
    metrics.record_tokens("depot", 3);
    customer.record_refusal(Code::Overloaded);
    metrics.record_refusal(Code::Overloaded, Some("depot"));
    let text = telemetry.render();
    let depot = r#"customer="depot""#;
    assert_sample(&text, "celerylever_requests_total", &[depot], "2");
    assert_sample(&text, "celerylever_tokens_total", &[depot], "5");
    assert_sample(&text, "celerylever_refusals_total", &[depot], "2");
}

#[test]
fn registries_are_apart() {
    let (first, second) = (Telemetry::new(), Telemetry::new());
    first.metrics().record_handler_panic();
    assert!(first.render().contains("handler_panics"));
    assert!(!second.render().contains("handler_panics"));
}

#[rstest]
#[case(LogFormat::Json)]
#[case(LogFormat::Terminal)]
fn logger_takes_lines(#[case] format: LogFormat) {
    let log = stderr_logger(LogSettings { format }, "test");
    slog::info!(log, "state changed"; "state" => "ready");
}
