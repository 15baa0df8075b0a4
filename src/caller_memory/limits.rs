//! Parts of the memory and of the descriptors of a VM.

/// Memory of a process without load: 17 MB were measured at rest, and the state of a fleet, buffers of
/// logs and fragments of freed memory need the rest.
const AT_REST_BYTES: usize = 32_000_000;
/// Descriptors for files, listeners and calls to the store.
const DESCRIPTORS_RESERVED: usize = 200;
/// Read buffer and tasks of a connection that has no body in memory; the buffer is 8 to 16 KiB.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Percentage of the memory beyond that at rest for connections and the heads that they receive.
const CONNECTIONS_PERCENT: usize = 25;
/// Percentage for small bodies and responses.
const SMALL_PERCENT: usize = 10;
/// Percentage for the larger request bodies.
const REQUESTS_PERCENT: usize = 30;
/// Percentage for the larger responses; a response of 16 MiB fits on the smallest VM, of 88 MB.
const RESPONSES_PERCENT: usize = 30;
/// Fraction of the connections that the listeners for the fleet may have, as its divisor.
const FLEET_DIVISOR: usize = 4;
/// Connections that those listeners may have at least: readiness checks and metrics.
const FLEET_CONNECTIONS_MIN: usize = 4;

/// Limits that follow from the memory and the descriptors of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Small request bodies and responses together.
    pub small_bytes: usize,
    /// Larger request bodies together.
    pub requests_bytes: usize,
    /// Larger responses together.
    pub responses_bytes: usize,
    /// Unfinished heads of one listener's connections together.
    pub heads_bytes: usize,
    /// Open connections of callers.
    pub caller_connections_max: usize,
    /// Open connections of other VMs, readiness checks and readers of metrics.
    pub fleet_connections_max: usize,
    /// Descriptors of callers' connections and of requests in flight, each of which may have a
    /// connection to an upstream.
    pub caller_descriptors_max: usize,
}

impl MemoryLimits {
    /// Returns the limits of a VM with some memory and descriptors.
    pub fn new(memory_mb: u32, descriptors_max: u32) -> Self {
        let memory_bytes = memory_mb as usize * 1_000_000;
        let usable_bytes = memory_bytes.saturating_sub(AT_REST_BYTES);
        let percent = |percent: usize| usable_bytes / 100 * percent;
        let descriptors = (descriptors_max as usize).saturating_sub(DESCRIPTORS_RESERVED);
        let connections = (percent(CONNECTIONS_PERCENT) / CONNECTION_BYTES).min(descriptors);
        let fleet_connections_max = (connections / FLEET_DIVISOR).max(FLEET_CONNECTIONS_MIN);
        Self {
            small_bytes: percent(SMALL_PERCENT),
            requests_bytes: percent(REQUESTS_PERCENT),
            responses_bytes: percent(RESPONSES_PERCENT),
            heads_bytes: percent(CONNECTIONS_PERCENT) / 2,
            caller_connections_max: connections.saturating_sub(fleet_connections_max),
            fleet_connections_max,
            caller_descriptors_max: descriptors.saturating_sub(fleet_connections_max),
        }
    }
}
