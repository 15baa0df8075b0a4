//! Settings of the lease.

use std::time::Duration;

/// Durations of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Validity of the lease, counted from the time before the write was sent.
    pub lease_ttl: Duration,
    /// Time that a candidate waits beyond `lease_ttl` before it takes over the lease.
    pub takeover_margin: Duration,
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// Time between reads while another process holds the lease.
    pub poll_interval: Duration,
    /// Delay before the next call after a failed one.
    pub retry_delay: Duration,
    /// Whether the record tells for how long no holder can have acted.
    pub tracks_idle_time: bool,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::from_lease_ttl(Duration::from_secs(9))
    }
}

impl LeaseSettings {
    /// Derives all durations from the validity of the lease.
    pub fn from_lease_ttl(lease_ttl: Duration) -> Self {
        Self {
            lease_ttl,
            takeover_margin: lease_ttl / 10,
            renewal_interval: lease_ttl / 3,
            poll_interval: lease_ttl / 2,
            retry_delay: lease_ttl / 20,
            tracks_idle_time: false,
        }
    }
}
