//! Types and defaults of the settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::ids::{AvailabilityZoneId, VmId};

/// Settings of an entry or a steward.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// Identity and listeners of the process.
    pub process: ProcessSettings,
    /// Connection to the platform's store.
    pub platform: PlatformSettings,
    /// Links to the other VMs.
    pub peer: PeerSettings,
    /// Limits on callers' requests.
    pub limits: LimitSettings,
    /// Limits on calls to upstreams.
    pub upstream: UpstreamSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
    /// Logging.
    pub log: LogSettings,
}

/// `[process]`: identity and listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// `vm`: name of the VM.
    pub vm: VmId,
    /// `availability_zone`: availability zone of the VM.
    pub availability_zone: AvailabilityZoneId,
    /// `caller_address`: address of the listener for callers.
    pub caller_address: SocketAddr,
    /// `operator_address`: address of the listener for metrics and health checks.
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
    /// `store_address`: address of the store.
    pub store_address: SocketAddr,
    /// `request_timeout_ms`: timeout of one call to the store.
    pub request_timeout: Duration,
    /// `watch_wait_ms`: longest time that one watch call waits for changes.
    pub watch_wait: Duration,
    /// `lease_ms`: time after which a lease that is not renewed expires.
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
    /// `address`: address of the UDP listener for peers; `None` runs the VM without peers.
    pub address: Option<SocketAddr>,
    /// `hints`: addresses of other VMs that may be alive.
    pub hints: Vec<SocketAddr>,
    /// `authority`: PEM file with the fleet's certificate authority.
    pub authority: Option<PathBuf>,
    /// `certificate`: PEM file with this VM's certificate.
    pub certificate: Option<PathBuf>,
    /// `key`: PEM file with this VM's private key.
    pub key: Option<PathBuf>,
    /// `heartbeat_ms`: time between two heartbeats.
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

/// `[limits]`: limits on callers' requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// `body_max_bytes`: size limit of a request body.
    pub body_max_bytes: usize,
    /// `body_timeout_ms`: timeout for receiving a whole request body.
    pub body_timeout: Duration,
    /// `requests_max`: limit on requests in flight.
    pub requests_max: usize,
    /// `connections_max`: limit on open connections from callers.
    pub connections_max: usize,
    /// `memory_mb`: memory of the VM, from which the limit on request bodies being held is derived.
    pub memory_mb: u32,
    /// `connection_idle_ms`: time after which a connection without traffic is closed.
    pub connection_idle_timeout: Duration,
    /// `deadline_ms`: longest time for a request, also used where the caller sends no deadline.
    pub deadline_max: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1_024 * 1_024,
            body_timeout: Duration::from_millis(10_000),
            requests_max: 4_096,
            connections_max: 8_192,
            memory_mb: 512,
            connection_idle_timeout: Duration::from_millis(60_000),
            deadline_max: Duration::from_millis(120_000),
        }
    }
}

/// `[upstream]`: limits on calls to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// `connect_timeout_ms`: timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// `first_byte_timeout_ms`: timeout for the head of a response.
    pub first_byte_timeout: Duration,
    /// `idle_timeout_ms`: timeout between two parts of a response.
    pub idle_timeout: Duration,
    /// `pool_idle_ms`: time for which an unused connection is kept open.
    pub pool_idle_timeout: Duration,
    /// `retry_percent`: retries allowed, as a percentage of requests.
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
    /// `bound_ms`: longest wait for requests in flight.
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

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Terminal,
}

/// `[log]`: logging.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogSettings {
    /// `format`: format of log lines, `json` or `terminal`.
    pub format: LogFormat,
}
