//! Settings of a gateway, read from an INI file.

mod keys;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::error::Faults;
use crate::ids::{AvailabilityZoneId, VmId};
use crate::ini::parse_sections;
use crate::settings::SettingsError;
use keys::SECTIONS;

/// Memory of a VM whose deployment names none: the least with which the limit on requests in flight is
/// met before that on connections, as it was before the setting.
const MEMORY_DEFAULT_MB: u32 = 200;
/// Descriptors of a VM whose deployment names none, those of the largest VM.
const DESCRIPTORS_DEFAULT: u32 = 10_250;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// `vm`: name of the VM.
    pub vm: VmId,
    /// `availability_zone`: availability zone in which the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// `cpu_share`: share of a core that the VM provides; VMs with more serve as relays.
    pub cpu_share: f64,
    /// `memory_mb`: memory of the VM, from which the limits on what is held for others are derived.
    pub memory_mb: u32,
    /// `max_fds`: descriptors that the process may have open.
    pub max_fds: u32,
    /// `caller_address`: address of the listener for callers.
    pub caller_address: SocketAddr,
    /// `ready_address`: address of the listener for readiness checks.
    pub ready_address: SocketAddr,
    /// `metrics_address`: address of the listener for metrics.
    pub metrics_address: SocketAddr,
    /// `peer_address`: address of the listener for the other VMs, UDP and TCP.
    pub peer_address: SocketAddr,
    /// `peer_seeds`: addresses of other VMs, to be contacted while no VM is known.
    pub peer_seeds: Vec<SocketAddr>,
    /// `store_address`: address of the platform's store.
    pub store_address: SocketAddr,
    /// Limits and times that the gateway has to keep.
    pub bounds: Bounds,
    /// `contracts`: names of what the platform expects of the gateway beyond the usual.
    pub contracts: Vec<String>,
    /// `shed_by_cost`: whether queues order and refuse requests by priority and work; see
    /// [`Self::sheds_by_cost`].
    pub shed_by_cost: bool,
}

/// Contract under which queues order and refuse requests by priority and work.
const PRESSURE_CONTRACT: &str = "pressure";

/// Limits and times that the gateway has to keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// `contact_ms`: time after an interruption from which a VM that is connected again has to keep
    /// all limits.
    pub contact_timeout: Duration,
    /// `drain_ms`: time after which an upstream that leaves must receive no requests.
    pub drain_timeout: Duration,
    /// `lease_ms`: time for which the lease that permits orders is valid.
    pub lease_ttl: Duration,
    /// `engines_check_fencing`: whether engines refuse orders with an older fencing number.
    pub engines_check_fencing: bool,
    /// `grace_s`: maximum time from the request to stop to the end of the process.
    pub shutdown_timeout: Duration,
    /// `weights_ms`: time after which no request is started on weights older than the target
    /// weights.
    pub weights_timeout: Duration,
    /// `retry_ratio`: retries as a fraction of requests, for all VMs together.
    pub retry_ratio: f64,
    /// `retry_slack`: retries beyond that fraction in a window, for all VMs together.
    pub retry_slack: u32,
    /// `allowance_overage`: fraction by which a customer's rate may be exceeded.
    pub allowance_overage: f64,
    /// `allowance_slack`: units beyond that in a window.
    pub allowance_slack: u64,
    /// `allowance_window_s`: window in which a customer's units are counted.
    pub allowance_window: Duration,
    /// `exposure_share`: maximum share of a service's requests that a bad software version gets;
    /// rollouts of software versions are disabled without it.
    pub exposure_share: Option<f64>,
    /// `exposure_slack`: requests that a bad software version may get besides, from all VMs
    /// together.
    pub exposure_slack: u32,
    /// `rollback_ms`: time after its 50th bad response from which a bad software version gets no
    /// requests.
    pub rollback_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact_timeout: Duration::from_millis(3_000),
            drain_timeout: Duration::from_millis(2_000),
            lease_ttl: Duration::from_millis(3_000),
            engines_check_fencing: true,
            shutdown_timeout: Duration::from_secs(8),
            weights_timeout: Duration::from_millis(6_000),
            retry_ratio: 0.2,
            retry_slack: 50,
            allowance_overage: 0.1,
            allowance_slack: 0,
            allowance_window: Duration::from_secs(8),
            exposure_share: None,
            exposure_slack: 50,
            rollback_timeout: Duration::from_millis(5_000),
        }
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            vm: String::new(),
            availability_zone: String::new(),
            cpu_share: 1.0,
            memory_mb: MEMORY_DEFAULT_MB,
            max_fds: DESCRIPTORS_DEFAULT,
            caller_address: local(8080),
            ready_address: local(8082),
            metrics_address: local(8081),
            peer_address: local(8083),
            peer_seeds: Vec::new(),
            store_address: local(9000),
            bounds: Bounds::default(),
            contracts: Vec::new(),
            shed_by_cost: false,
        }
    }
}

impl GatewaySettings {
    /// Parses settings from INI text; missing keys keep their defaults.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut settings = Self::default();
        let faults = parse_sections(text, SECTIONS, &mut settings);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(Faults(faults)),
        }
    }

    /// Returns whether queues order and refuse requests by priority and work, as set or as agreed
    /// with the platform.
    pub fn sheds_by_cost(&self) -> bool {
        let is_agreed = || self.contracts.iter().any(|name| name == PRESSURE_CONTRACT);
        self.shed_by_cost || is_agreed()
    }

    /// Returns the share of a core that the VM provides, in percent.
    pub fn cpu_percent(&self) -> u8 {
        (self.cpu_share * 100.0).round() as u8
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns the reason why the file cannot be read, or all faults in it.
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

/// Returns the text of `docs/SETTINGS-GATEWAY.md`.
pub fn gateway_settings_page() -> String {
    let mut page = String::from(
        "# Settings of the gateway\n\nGenerated from `src/gateway/settings/keys.rs` by `celerylever \
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
