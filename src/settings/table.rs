//! Table of all settings keys: name, unit, accepted values and explanation.

use super::{LogFormat, Settings};
use crate::ini::{Accessor, Key};

/// One section of the settings.
pub(super) struct SectionTable {
    /// Name in the section header, without brackets.
    pub(super) name: &'static str,
    /// One-line explanation for the settings page.
    pub(super) meaning: &'static str,
    /// Keys of the section.
    pub(super) keys: &'static [Key<Settings>],
}

const LOG_FORMATS: [LogFormat; 2] = [LogFormat::Json, LogFormat::Terminal];

/// All sections, in the order of the settings page.
pub(super) const SECTIONS: &[SectionTable] = &[
    SectionTable {
        name: "process",
        meaning: "Identity and listeners.",
        keys: PROCESS,
    },
    SectionTable {
        name: "platform",
        meaning: "The platform's store.",
        keys: PLATFORM,
    },
    SectionTable {
        name: "peer",
        meaning: "Links between VMs. Without `address` a VM runs without peers; with it, `authority`, `certificate` and `key` are required.",
        keys: PEER,
    },
    SectionTable {
        name: "limits",
        meaning: "Limits on callers' requests.",
        keys: LIMITS,
    },
    SectionTable {
        name: "upstream",
        meaning: "Limits on calls to upstreams.",
        keys: UPSTREAM,
    },
    SectionTable {
        name: "drain",
        meaning: "Graceful shutdown.",
        keys: DRAIN,
    },
    SectionTable {
        name: "log",
        meaning: "Logs.",
        keys: LOG,
    },
];

const PROCESS: &[Key<Settings>] = &[
    Key {
        name: "vm",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|s| &mut s.process.vm),
        meaning: "Name of the VM.",
    },
    Key {
        name: "availability_zone",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|s| &mut s.process.availability_zone),
        meaning: "Availability zone of the VM.",
    },
    Key {
        name: "caller_address",
        unit: "",
        is_required: false,
        accessor: Accessor::Address(|s| &mut s.process.caller_address),
        meaning: "Address of the listener for callers.",
    },
    Key {
        name: "operator_address",
        unit: "",
        is_required: false,
        accessor: Accessor::Address(|s| &mut s.process.operator_address),
        meaning: "Address of the listener for metrics and health checks.",
    },
    Key {
        name: "traffic_threads",
        unit: "threads",
        is_required: false,
        accessor: Accessor::Usize(1..=256, |s| &mut s.process.traffic_threads),
        meaning: "Threads that serve requests.",
    },
];

const PLATFORM: &[Key<Settings>] = &[
    Key {
        name: "store_address",
        unit: "",
        is_required: false,
        accessor: Accessor::Address(|s| &mut s.platform.store_address),
        meaning: "Address of the store.",
    },
    Key {
        name: "request_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.platform.request_timeout),
        meaning: "Timeout of one call to the store.",
    },
    Key {
        name: "watch_wait_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(100..=300_000, |s| &mut s.platform.watch_wait),
        meaning: "Longest time that one watch call waits for changes.",
    },
    Key {
        name: "lease_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(100..=600_000, |s| &mut s.platform.lease_ttl),
        meaning: "Time after which a lease that is not renewed expires; longer than three times `request_timeout_ms`.",
    },
];

const PEER: &[Key<Settings>] = &[
    Key {
        name: "address",
        unit: "",
        is_required: false,
        accessor: Accessor::OptionalAddress(|s| &mut s.peer.address),
        meaning: "Address of the UDP listener for peers.",
    },
    Key {
        name: "hints",
        unit: "",
        is_required: false,
        accessor: Accessor::Addresses(|s| &mut s.peer.hints),
        meaning: "Addresses of other VMs that may be alive.",
    },
    Key {
        name: "authority",
        unit: "",
        is_required: false,
        accessor: Accessor::FilePath(|s| &mut s.peer.authority),
        meaning: "PEM file with the fleet's certificate authority.",
    },
    Key {
        name: "certificate",
        unit: "",
        is_required: false,
        accessor: Accessor::FilePath(|s| &mut s.peer.certificate),
        meaning: "PEM file with this VM's certificate.",
    },
    Key {
        name: "key",
        unit: "",
        is_required: false,
        accessor: Accessor::FilePath(|s| &mut s.peer.key),
        meaning: "PEM file with this VM's private key.",
    },
    Key {
        name: "heartbeat_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.peer.heartbeat_interval),
        meaning: "Time between two heartbeats.",
    },
];

const LIMITS: &[Key<Settings>] = &[
    Key {
        name: "body_max_bytes",
        unit: "bytes",
        is_required: false,
        accessor: Accessor::Usize(1_024..=1_073_741_824, |s| &mut s.limits.body_max_bytes),
        meaning: "Size limit of a request body.",
    },
    Key {
        name: "body_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=600_000, |s| &mut s.limits.body_timeout),
        meaning: "Timeout for receiving a whole request body.",
    },
    Key {
        name: "requests_max",
        unit: "requests",
        is_required: false,
        accessor: Accessor::Usize(1..=1_000_000, |s| &mut s.limits.requests_max),
        meaning: "Limit on requests in flight.",
    },
    Key {
        name: "connections_max",
        unit: "connections",
        is_required: false,
        accessor: Accessor::Usize(1..=1_000_000, |s| &mut s.limits.connections_max),
        meaning: "Limit on open connections from callers.",
    },
    Key {
        name: "memory_mb",
        unit: "MB",
        is_required: false,
        accessor: Accessor::U32(40..=1_048_576, |s| &mut s.limits.memory_mb),
        meaning: "Memory of the VM, from which the limit on request bodies being held is derived.",
    },
    Key {
        name: "connection_idle_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=86_400_000, |s| &mut s.limits.connection_idle_timeout),
        meaning: "Time after which a connection without traffic is closed.",
    },
    Key {
        name: "deadline_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=86_400_000, |s| &mut s.limits.deadline_max),
        meaning: "Longest time for a request, also used where the caller sends no deadline.",
    },
];

const UPSTREAM: &[Key<Settings>] = &[
    Key {
        name: "connect_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.upstream.connect_timeout),
        meaning: "Timeout for establishing a connection.",
    },
    Key {
        name: "first_byte_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=3_600_000, |s| &mut s.upstream.first_byte_timeout),
        meaning: "Timeout for the head of a response.",
    },
    Key {
        name: "idle_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=3_600_000, |s| &mut s.upstream.idle_timeout),
        meaning: "Timeout between two parts of a response.",
    },
    Key {
        name: "pool_idle_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(0..=3_600_000, |s| &mut s.upstream.pool_idle_timeout),
        meaning: "Time for which an unused connection is kept open.",
    },
    Key {
        name: "retry_percent",
        unit: "percent",
        is_required: false,
        accessor: Accessor::U32(0..=100, |s| &mut s.upstream.retry_percent),
        meaning: "Retries allowed, as a percentage of requests.",
    },
];

const DRAIN: &[Key<Settings>] = &[
    Key {
        name: "pause_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(0..=600_000, |s| &mut s.drain.listener_close_delay),
        meaning: "Time between failing readiness and closing the listener.",
    },
    Key {
        name: "bound_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(0..=86_400_000, |s| &mut s.drain.timeout),
        meaning: "Longest wait for requests in flight.",
    },
];

const LOG: &[Key<Settings>] = &[Key {
    name: "format",
    unit: "",
    is_required: false,
    accessor: Accessor::Choice {
        names: &["json", "terminal"],
        get: |s| {
            LOG_FORMATS
                .iter()
                .position(|format| *format == s.log.format)
                .unwrap_or_default()
        },
        set: |s, index| s.log.format = LOG_FORMATS[index],
    },
    meaning: "Format of log lines.",
}];
