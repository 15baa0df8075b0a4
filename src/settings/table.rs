//! Table of every key of the settings.

use super::{LogFormat, Settings};
use crate::ini::{Accessor, Key};

/// One section of the settings.
pub(super) struct SectionTable {
    /// Name between the brackets.
    pub(super) name: &'static str,
    /// One-line explanation.
    pub(super) meaning: &'static str,
    /// Its keys.
    pub(super) keys: &'static [Key<Settings>],
}

const LOG_FORMATS: [LogFormat; 2] = [LogFormat::Json, LogFormat::Terminal];

/// Every section, in the order of the page.
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
        meaning: "Links between VMs. Without `address` a VM runs without peers; with it, the three files are needed.",
        keys: PEER,
    },
    SectionTable {
        name: "limits",
        meaning: "Bounds on callers' requests.",
        keys: LIMITS,
    },
    SectionTable {
        name: "upstream",
        meaning: "Bounds on calls to upstreams.",
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
        meaning: "Where the VM runs.",
    },
    Key {
        name: "caller_address",
        unit: "",
        is_required: false,
        accessor: Accessor::Address(|s| &mut s.process.caller_address),
        meaning: "Listener for callers.",
    },
    Key {
        name: "operator_address",
        unit: "",
        is_required: false,
        accessor: Accessor::Address(|s| &mut s.process.operator_address),
        meaning: "Listener for metrics and health.",
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
        meaning: "Where the store listens.",
    },
    Key {
        name: "request_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.platform.request_timeout),
        meaning: "Bound on one call.",
    },
    Key {
        name: "watch_wait_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(100..=300_000, |s| &mut s.platform.watch_wait),
        meaning: "Longest wait of one watch call.",
    },
    Key {
        name: "lease_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(100..=600_000, |s| &mut s.platform.lease_ttl),
        meaning: "How long a lease holds without renewal; longer than three times `request_timeout_ms`.",
    },
];

const PEER: &[Key<Settings>] = &[
    Key {
        name: "address",
        unit: "",
        is_required: false,
        accessor: Accessor::OptionalAddress(|s| &mut s.peer.address),
        meaning: "UDP listener for peers.",
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
        meaning: "File of the fleet's certificate authority, PEM.",
    },
    Key {
        name: "certificate",
        unit: "",
        is_required: false,
        accessor: Accessor::FilePath(|s| &mut s.peer.certificate),
        meaning: "File of this VM's certificate, PEM.",
    },
    Key {
        name: "key",
        unit: "",
        is_required: false,
        accessor: Accessor::FilePath(|s| &mut s.peer.key),
        meaning: "File of this VM's private key, PEM.",
    },
    Key {
        name: "heartbeat_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.peer.heartbeat_interval),
        meaning: "Time between heartbeats.",
    },
];

const LIMITS: &[Key<Settings>] = &[
    Key {
        name: "body_max_bytes",
        unit: "bytes",
        is_required: false,
        accessor: Accessor::Usize(1_024..=1_073_741_824, |s| &mut s.limits.body_max_bytes),
        meaning: "Largest request body.",
    },
    Key {
        name: "body_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=600_000, |s| &mut s.limits.body_timeout),
        meaning: "Longest time for a body to arrive.",
    },
    Key {
        name: "requests_max",
        unit: "requests",
        is_required: false,
        accessor: Accessor::Usize(1..=1_000_000, |s| &mut s.limits.requests_max),
        meaning: "Requests under way at once.",
    },
    Key {
        name: "connections_max",
        unit: "connections",
        is_required: false,
        accessor: Accessor::Usize(1..=1_000_000, |s| &mut s.limits.connections_max),
        meaning: "Callers' connections open at once.",
    },
    Key {
        name: "connection_idle_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=86_400_000, |s| &mut s.limits.connection_idle_timeout),
        meaning: "How long a connection may sit without traffic.",
    },
    Key {
        name: "deadline_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=86_400_000, |s| &mut s.limits.deadline_max),
        meaning: "Time for a request whose caller names none.",
    },
];

const UPSTREAM: &[Key<Settings>] = &[
    Key {
        name: "connect_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=60_000, |s| &mut s.upstream.connect_timeout),
        meaning: "Bound on making a connection.",
    },
    Key {
        name: "first_byte_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=3_600_000, |s| &mut s.upstream.first_byte_timeout),
        meaning: "Bound on the wait for the head of an answer.",
    },
    Key {
        name: "idle_timeout_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(10..=3_600_000, |s| &mut s.upstream.idle_timeout),
        meaning: "Bound on the wait between two parts of an answer.",
    },
    Key {
        name: "pool_idle_ms",
        unit: "ms",
        is_required: false,
        accessor: Accessor::Millis(0..=3_600_000, |s| &mut s.upstream.pool_idle_timeout),
        meaning: "How long an unused connection is kept.",
    },
    Key {
        name: "retry_percent",
        unit: "percent",
        is_required: false,
        accessor: Accessor::U32(0..=100, |s| &mut s.upstream.retry_percent),
        meaning: "Retries allowed, as a share of requests.",
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
        meaning: "Longest wait for requests under way.",
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
    meaning: "Form of log lines.",
}];
