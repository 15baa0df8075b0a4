//! Settings are read whole, and every fault is reported with its place.

use std::time::Duration;

use celerylever::error::Code;
use celerylever::settings::{
    LogFormat, LogSettings, PlatformSettings, ProcessSettings, Settings, SettingsError,
    settings_page,
};
use rstest::rstest;

const SMALLEST: &str = "[process]\nvm = v1\navailability_zone = a\n";

fn smallest() -> Settings {
    Settings {
        process: ProcessSettings {
            vm: "v1".into(),
            availability_zone: "a".into(),
            ..ProcessSettings::default()
        },
        ..Settings::default()
    }
}

fn faults(text: &str) -> String {
    Settings::parse(text).expect_err("faults").to_string()
}

#[test]
fn keys_left_out_keep_defaults() {
    assert_eq!(Settings::parse(SMALLEST).expect("valid"), smallest());
}

#[test]
fn example_is_read() {
    let expected = Settings {
        log: LogSettings {
            format: LogFormat::Terminal,
        },
        ..smallest()
    };
    assert_eq!(
        Settings::load("examples/entry.ini").expect("valid"),
        expected
    );
}

#[test]
fn times_are_milliseconds() {
    let text = format!("{SMALLEST}[platform]\nrequest_timeout_ms = 250\nlease_ms = 2000\n");
    let expected = PlatformSettings {
        request_timeout: Duration::from_millis(250),
        lease_ttl: Duration::from_secs(2),
        ..PlatformSettings::default()
    };
    assert_eq!(Settings::parse(&text).expect("valid").platform, expected);
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = "loose = 1\n[proces]\nvm = v1\n[process]\nvm = v 1\ntraffic_thread = 4\n\
                [limits]\nrequests_max = 0\nrequests_max = 5\n[limits]\n[drain]\npause_ms = soon\n";
    let expected = r#"[] loose = "***": allowed is a key below a [section] line
[limits]: allowed is at most one section with this name
[proces]: allowed is a known section, one of process, platform, peer, limits, upstream, drain, log; did you mean "process"?
[process] vm = "v 1": allowed is 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit
[process] traffic_thread = "4": allowed is a known key, one of vm, availability_zone, caller_address, operator_address, traffic_threads; did you mean "traffic_threads"?
[process] availability_zone is missing: allowed is 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit
[limits] requests_max = "0": allowed is whole number from 1 to 1000000
[limits] requests_max = "5": allowed is one value per key
[drain] pause_ms = "soon": allowed is whole number from 0 to 600000"#;
    assert_eq!(faults(text), expected);
}

#[rstest]
#[case::lease(
    "[platform]\nlease_ms = 3000\n",
    r#"[platform] lease_ms = "3000": allowed is longer than three times request_timeout_ms"#
)]
#[case::one_peer_file(
    "[peer]\naddress = 127.0.0.1:7000\nkey = k.pem\n",
    "[peer] authority is missing: allowed is a path; address, authority, certificate and key must be set together\n\
     [peer] certificate is missing: allowed is a path; address, authority, certificate and key must be set together"
)]
#[case::peer_files_alone(
    "[peer]\nauthority = a.pem\ncertificate = c.pem\nkey = k.pem\n",
    "[peer] address is missing: allowed is IP:PORT; address, authority, certificate and key must be set together"
)]
#[case::same_listener(
    "[drain]\n",
    r#"[process] operator_address = "127.0.0.1:8080": allowed is an address other than caller_address"#
)]
fn keys_are_checked_against_each_other(#[case] extra: &str, #[case] expected: &str) {
    let operator = match expected.contains("operator_address") {
        true => "operator_address = 127.0.0.1:8080\n",
        false => "",
    };
    assert_eq!(faults(&format!("{SMALLEST}{operator}{extra}")), expected);
}

#[test]
fn missing_file_has_the_code_of_settings() {
    let error = Settings::load("examples/absent.ini").expect_err("absent");
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert_eq!(error.code(), Code::SettingsInvalid);
}

#[test]
fn page_matches_table() {
    assert_eq!(include_str!("../docs/SETTINGS.md"), settings_page());
}
