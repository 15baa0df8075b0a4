//! Tests of the gateway's settings: parsed values, reported faults, and the generated page.

use std::time::Duration;

use celerylever::gateway::{GatewaySettings, gateway_settings_page};

const MINIMAL_SETTINGS: &str = "[process]\nvm = front-1\navailability_zone = a\n";

#[test]
fn keys_left_out_keep_their_defaults() {
    let settings = GatewaySettings::parse(MINIMAL_SETTINGS).unwrap();
    assert_eq!(settings.bounds.lease_ttl, Duration::from_secs(3));
    assert!(settings.bounds.engines_check_fencing);
}

#[test]
fn bounds_are_read_with_their_units() {
    let text = format!(
        "{MINIMAL_SETTINGS}[bounds]\ngrace_s = 5\nweights_ms = 4000\nretry_ratio = 0.25\nallowance_slack = 9000\n"
    );
    let bounds = GatewaySettings::parse(&text).unwrap().bounds;
    assert_eq!(bounds.shutdown_timeout, Duration::from_secs(5));
    assert_eq!(bounds.weights_timeout, Duration::from_secs(4));
    assert_eq!((bounds.retry_ratio, bounds.allowance_slack), (0.25, 9_000));
}

/// Guards against a gateway that does not start because the platform calculated a bound.
#[test]
fn decimal_places_of_bounds_are_dropped() {
    let text = format!(
        "{MINIMAL_SETTINGS}[bounds]\nretry_slack = 33.1578947368421\ngrace_s = 7.5\nweights_ms = 6000.0\n"
    );
    let bounds = GatewaySettings::parse(&text).unwrap().bounds;
    assert_eq!(bounds.retry_slack, 33);
    assert_eq!(bounds.shutdown_timeout, Duration::from_secs(7));
    assert_eq!(bounds.weights_timeout, Duration::from_secs(6));
    for value in ["-1", "1.x", "1.", ".5", "1e3", ""] {
        let text = format!("{MINIMAL_SETTINGS}[bounds]\nretry_slack = {value}\n");
        assert!(GatewaySettings::parse(&text).is_err(), "{value}");
    }
}

#[test]
fn every_fault_is_told_at_once() {
    let text = "[process]\nvm = front-1\n[bounds]\nretry_ratio = 3\nleas_ms = 5\n[stor]\n";
    let faults = GatewaySettings::parse(text).unwrap_err().to_string();
    for fault_text in [
        "availability_zone is missing",
        "retry_ratio = \"3\"",
        "leas_ms",
        "[stor]",
    ] {
        assert!(
            faults.contains(fault_text),
            "expected {fault_text} in the reported faults: {faults}"
        );
    }
}

#[test]
fn the_page_is_as_generated() {
    assert_eq!(
        include_str!("../docs/SETTINGS-GATEWAY.md"),
        gateway_settings_page()
    );
}

/// The settings template, filled in as the platform does it, parses without a fault.
#[test]
fn the_template_for_the_platform_is_read() {
    let template = include_str!("../deploy/gateway.ini");
    let values = [
        ("{{NodeName}}", "front-a-1"),
        ("{{Zone}}", "a"),
        ("{{Listen.Front}}", "10.0.0.1:1"),
        ("{{Listen.Ready}}", "10.0.0.1:2"),
        ("{{Listen.Control}}", "10.0.0.1:3"),
        ("{{Ip}}", "10.0.0.1"),
        ("{{Platform.Address}}", "10.0.0.9:8601"),
        ("{{Seeds}}", "10.0.0.1:3,10.0.0.2:3"),
        ("{{Contracts}}", "base,pressure"),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(name, value);
    }
    for (name, value) in [
        ("Limits.CpuShare", "0.25"),
        ("Limits.MemoryMb", "88"),
        ("Limits.MaxFds", "3075"),
        ("Bounds.ContactMs", "3000"),
        ("Bounds.DrainMs", "2000"),
        ("Bounds.LeaseMs", "3000"),
        ("Bounds.GraceS", "8"),
        ("Bounds.VersionMs", "6000"),
        ("Bounds.BudgetRatio", "0.2"),
        ("Bounds.RetrySlack", "56"),
        ("Bounds.QuotaOverage", "0.1"),
        ("Bounds.QuotaSlack", "140000"),
        ("Bounds.QuotaWindowS", "8"),
        ("Bounds.ExposureShare", "0.1"),
        ("Bounds.ExposureSlack", "50"),
        ("Bounds.RollbackMs", "5000"),
    ] {
        text = text.replace(&format!("{{{{#{name}}}}}"), "");
        text = text.replace(&format!("{{{{/{name}}}}}"), "");
        text = text.replacen("{{.}}", value, 1);
    }
    let start = text.find("{{^Bounds.RequireFence}}").unwrap();
    text.truncate(start);
    let settings = GatewaySettings::parse(&text).unwrap();
    assert_eq!(settings.bounds.allowance_slack, 140_000);
    assert_eq!(settings.bounds.allowance_window, Duration::from_secs(8));
    assert_eq!(settings.cpu_share, 0.25);
    assert_eq!((settings.memory_mb, settings.max_fds), (88, 3_075));
    assert_eq!(settings.bounds.exposure_share, Some(0.1));
    assert_eq!(settings.bounds.exposure_slack, 50);
    assert_eq!(settings.bounds.rollback_timeout, Duration::from_secs(5));
    assert_eq!(settings.bounds.contact_timeout, Duration::from_secs(3));
    assert_eq!(settings.peer_seeds.len(), 2);
    assert!(settings.sheds_by_cost());
}

/// Guards against a gateway that changes its order without being told, and against one that does
/// not start because the platform names no contract or one that the gateway does not know.
#[test]
fn costs_count_where_set_or_agreed() {
    for (text, expected) in [
        ("", false),
        ("[platform]\ncontracts = \n", false),
        ("[platform]\ncontracts = base,no such/name 7\n", false),
        ("[platform]\ncontracts = base, pressure\n", true),
        ("[overload]\nshed_by_cost = true\n", true),
        ("[overload]\nshed_by_cost = false\n", false),
    ] {
        let settings = GatewaySettings::parse(&format!("{MINIMAL_SETTINGS}{text}")).unwrap();
        assert_eq!(settings.sheds_by_cost(), expected, "{text}");
    }
}
