//! Settings of a gateway, read from INI text.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::error::Faults;
use crate::ids::{AvailabilityZoneId, VmId};
use crate::ini::{Access, Key, read_sections};
use crate::settings::SettingsError;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// `vm`: name of the VM.
    pub vm: VmId,
    /// `availability_zone`: where the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// `caller_address`: listener for callers.
    pub caller_address: SocketAddr,
    /// `ready_address`: listener for questions of readiness.
    pub ready_address: SocketAddr,
    /// `metrics_address`: listener for metrics.
    pub metrics_address: SocketAddr,
    /// `peer_address`: listener for the other VMs.
    pub peer_address: SocketAddr,
    /// `peer_seeds`: addresses at which other VMs may listen.
    pub peer_seeds: Vec<SocketAddr>,
    /// `store_address`: where the platform's store listens.
    pub store_address: SocketAddr,
    /// What has to be kept.
    pub bounds: Bounds,
}

/// What the operator wants kept, as figures.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// `lease_ms`: time for which the lease on orders holds.
    pub lease_ttl: Duration,
    /// `engines_check_fencing`: whether engines refuse orders of an earlier term.
    pub engines_check_fencing: bool,
    /// `grace_s`: time from the request to stop to the end.
    pub shutdown_timeout: Duration,
    /// `weights_ms`: time after which nothing starts on weights older than those named.
    pub weights_timeout: Duration,
    /// `retry_percent`: repeated sends as a share of requests.
    pub retry_ratio: f64,
    /// `retry_slack`: repeated sends beyond that share in a window.
    pub retry_slack: u32,
    /// `allowance_overage`: share by which a rate may be passed.
    pub allowance_overage: f64,
    /// `allowance_slack`: units beyond that, in a window.
    pub allowance_slack: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_millis(3_000),
            engines_check_fencing: true,
            shutdown_timeout: Duration::from_secs(8),
            weights_timeout: Duration::from_millis(6_000),
            retry_ratio: 0.2,
            retry_slack: 50,
            allowance_overage: 0.1,
            allowance_slack: 0,
        }
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            vm: String::new(),
            availability_zone: String::new(),
            caller_address: local(8080),
            ready_address: local(8082),
            metrics_address: local(8081),
            peer_address: local(8083),
            peer_seeds: Vec::new(),
            store_address: local(9000),
            bounds: Bounds::default(),
        }
    }
}

impl GatewaySettings {
    /// Reads settings from INI text; keys left out keep their defaults.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut settings = Self::default();
        let faults = read_sections(text, SECTIONS, &mut settings);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(Faults(faults)),
        }
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, or every fault in it.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref().to_path_buf();
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                Self::parse(&text).map_err(|faults| SettingsError::Invalid { path, faults })
            }
            Err(source) => Err(SettingsError::Unreadable { path, source }),
        }
    }
}

/// Returns docs/SETTINGS-GATEWAY.md.
pub fn gateway_settings_page() -> String {
    let mut page = String::from(
        "# Settings of the gateway\n\nGenerated from `src/gateway/settings.rs` by `celerylever \
         gateway-settings-page`; a test compares the two.\nThe gateway reads one INI file; every fault \
         is reported at once. `deploy/gateway.ini` is the template\nthat the platform fills in.\n",
    );
    let mut defaults = GatewaySettings::default();
    for (name, keys) in SECTIONS {
        page.push_str(&format!("\n## `[{name}]`\n\n"));
        page.push_str("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n");
        for key in *keys {
            page.push_str(&key.page_row(&mut defaults));
        }
    }
    page
}

const SECTIONS: &[(&str, &[Key<GatewaySettings>])] = &[
    ("process", PROCESS),
    ("store", STORE),
    ("peers", PEERS),
    ("bounds", BOUNDS),
];

const fn key(
    name: &'static str,
    unit: &'static str,
    access: Access<GatewaySettings>,
    meaning: &'static str,
) -> Key<GatewaySettings> {
    Key {
        name,
        unit,
        is_required: false,
        access,
        meaning,
    }
}

const PROCESS: &[Key<GatewaySettings>] = &[
    Key {
        name: "vm",
        unit: "",
        is_required: true,
        access: Access::Name(|settings| &mut settings.vm),
        meaning: "Name of the VM.",
    },
    Key {
        name: "availability_zone",
        unit: "",
        is_required: true,
        access: Access::Name(|settings| &mut settings.availability_zone),
        meaning: "Where the VM runs.",
    },
    key(
        "caller_address",
        "",
        Access::Address(|settings| &mut settings.caller_address),
        "Listener for callers.",
    ),
    key(
        "ready_address",
        "",
        Access::Address(|settings| &mut settings.ready_address),
        "Listener for questions of readiness.",
    ),
    key(
        "metrics_address",
        "",
        Access::Address(|settings| &mut settings.metrics_address),
        "Listener for metrics.",
    ),
];

const STORE: &[Key<GatewaySettings>] = &[key(
    "address",
    "",
    Access::Address(|settings| &mut settings.store_address),
    "Where the platform's store listens.",
)];

const PEERS: &[Key<GatewaySettings>] = &[
    key(
        "address",
        "",
        Access::Address(|settings| &mut settings.peer_address),
        "Listener for the other VMs, UDP and TCP.",
    ),
    key(
        "seeds",
        "",
        Access::Addresses(|settings| &mut settings.peer_seeds),
        "Addresses at which other VMs may listen.",
    ),
];

const BOUNDS: &[Key<GatewaySettings>] = &[
    key(
        "lease_ms",
        "ms",
        Access::Millis(500..=600_000, |settings| &mut settings.bounds.lease_ttl),
        "Time for which the lease on orders holds.",
    ),
    key(
        "engines_check_fencing",
        "",
        Access::Flag(|settings| &mut settings.bounds.engines_check_fencing),
        "Whether engines refuse orders of an earlier term.",
    ),
    key(
        "grace_s",
        "s",
        Access::Seconds(1..=3_600, |settings| &mut settings.bounds.shutdown_timeout),
        "Time from the request to stop to the end.",
    ),
    key(
        "weights_ms",
        "ms",
        Access::Millis(500..=600_000, |settings| {
            &mut settings.bounds.weights_timeout
        }),
        "Time after which nothing starts on weights older than those named.",
    ),
    key(
        "retry_ratio",
        "",
        Access::Fraction(|settings| &mut settings.bounds.retry_ratio),
        "Repeated sends as a share of requests, all VMs together.",
    ),
    key(
        "retry_slack",
        "",
        Access::Small(0..=1_000_000, |settings| &mut settings.bounds.retry_slack),
        "Repeated sends beyond that share in a window, all VMs together.",
    ),
    key(
        "allowance_overage",
        "",
        Access::Fraction(|settings| &mut settings.bounds.allowance_overage),
        "Share by which a customer's rate may be passed.",
    ),
    key(
        "allowance_slack",
        "",
        Access::Number(0..=u64::MAX, |settings| {
            &mut settings.bounds.allowance_slack
        }),
        "Units beyond that in a window.",
    ),
];
