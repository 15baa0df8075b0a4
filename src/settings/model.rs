//! Typed settings of the daemons.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::ids::{AvailabilityZoneId, VmId};

/// Settings of an entry or a steward.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// Who this process is and where it listens.
    pub process: ProcessSettings,
    /// How the platform's store is reached.
    pub platform: PlatformSettings,
    /// Links to the other VMs.
    pub peer: PeerSettings,
    /// Bounds on callers' requests.
    pub limits: LimitSettings,
    /// Bounds on calls to upstreams.
    pub upstream: UpstreamSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
    /// Logs.
    pub log: LogSettings,
}

/// `[process]`: identity and listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// `vm`: name of the VM.
    pub vm: VmId,
    /// `availability_zone`: where the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// `caller_address`: listener for callers.
    pub caller_address: SocketAddr,
    /// `operator_address`: listener for metrics and health.
    pub operator_address: SocketAddr,
    /// `traffic_threads`: threads that serve requests.
    pub traffic_threads: usize,
}

impl Default for ProcessSettings {
    fn default() -> Self {
        Self {
            vm: String::new(),
            availability_zone: String::new(),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 8080)),
            operator_address: SocketAddr::from(([127, 0, 0, 1], 8081)),
            traffic_threads: 2,
        }
    }
}

/// `[platform]`: the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// `store_address`: where the store listens.
    pub store_address: SocketAddr,
    /// `request_timeout_ms`: bound on one call.
    pub request_timeout: Duration,
    /// `watch_wait_ms`: longest wait of one watch call.
    pub watch_wait: Duration,
    /// `lease_ms`: how long a lease holds without renewal.
    pub lease_ttl: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            store_address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            request_timeout: Duration::from_millis(1_000),
            watch_wait: Duration::from_millis(10_000),
            lease_ttl: Duration::from_millis(9_000),
        }
    }
}

/// `[peer]`: links between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// `address`: UDP listener for peers; nothing runs a VM without peers.
    pub address: Option<SocketAddr>,
    /// `hints`: addresses of other VMs that may be alive.
    pub hints: Vec<SocketAddr>,
    /// `authority`: file of the fleet's certificate authority, PEM.
    pub authority: Option<PathBuf>,
    /// `certificate`: file of this VM's certificate, PEM.
    pub certificate: Option<PathBuf>,
    /// `key`: file of this VM's private key, PEM.
    pub key: Option<PathBuf>,
    /// `heartbeat_ms`: time between heartbeats.
    pub heartbeat_interval: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            address: None,
            hints: Vec::new(),
            authority: None,
            certificate: None,
            key: None,
            heartbeat_interval: Duration::from_millis(500),
        }
    }
}

/// `[limits]`: bounds on callers' requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// `body_max_bytes`: largest request body.
    pub body_max_bytes: usize,
    /// `body_timeout_ms`: longest time for a body to arrive.
    pub body_timeout: Duration,
    /// `requests_max`: requests under way at once.
    pub requests_max: usize,
    /// `connections_max`: callers' connections open at once.
    pub connections_max: usize,
    /// `connection_idle_ms`: how long a connection may sit without traffic.
    pub connection_idle_timeout: Duration,
    /// `deadline_ms`: time for a request whose caller names none.
    pub deadline_max: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1_024 * 1_024,
            body_timeout: Duration::from_millis(10_000),
            requests_max: 4_096,
            connections_max: 8_192,
            connection_idle_timeout: Duration::from_millis(60_000),
            deadline_max: Duration::from_millis(120_000),
        }
    }
}

/// `[upstream]`: bounds on calls to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// `connect_timeout_ms`: bound on making a connection.
    pub connect_timeout: Duration,
    /// `first_byte_timeout_ms`: bound on the wait for the head of an answer.
    pub first_byte_timeout: Duration,
    /// `idle_timeout_ms`: bound on the wait between two parts of an answer.
    pub idle_timeout: Duration,
    /// `pool_idle_ms`: how long an unused connection is kept.
    pub pool_idle_timeout: Duration,
    /// `retry_percent`: retries allowed, as a share of requests.
    pub retry_percent: u32,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            first_byte_timeout: Duration::from_millis(15_000),
            idle_timeout: Duration::from_millis(5_000),
            pool_idle_timeout: Duration::from_millis(20_000),
            retry_percent: 10,
        }
    }
}

/// `[drain]`: graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSettings {
    /// `pause_ms`: time between failing readiness and closing the listener.
    pub listener_close_delay: Duration,
    /// `bound_ms`: longest wait for requests under way.
    pub timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            listener_close_delay: Duration::from_millis(2_000),
            timeout: Duration::from_millis(120_000),
        }
    }
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}

/// `[log]`: logs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogSettings {
    /// `format`: `json` or `terminal`.
    pub format: LogFormat,
}
