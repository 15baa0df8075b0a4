//! Times that the VMs of a fleet agree on.

use std::time::Duration;

/// Parts of the lease by which clocks of two VMs may drift apart while it lasts.
const DRIFT_MARGIN_DIVISOR: u32 = 9;
const RENEWALS_PER_LEASE: u32 = 3;
const CONFIRMATION_TTLS_PER_VOTE_TTL: u32 = 3;
const MISSED_HEARTBEATS_TO_SUSPECT: u32 = 4;
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);
const LEASES_PER_VM_LIST: u32 = 3;
const RECORD_LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(300);

/// Times of leases, heartbeats and reclaims; all VMs of a fleet must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a renewal in the store, or a vouch of a witness, lets a VM go on.
    pub lease_ttl: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Time added by everyone who waits for another VM's lease to lapse.
    pub drift_margin: Duration,
    /// How long a witness that vouched votes against a reclaim.
    pub confirmation_ttl: Duration,
    /// How long a witness refuses to vouch after it voted for a reclaim.
    pub vote_ttl: Duration,
    /// How long a witness neither vouches nor votes after its start.
    pub startup_abstention: Duration,
    /// Time within which the votes for one reclaim must be gathered; below `refusal`.
    pub vote_window: Duration,
    /// Time between heartbeats to witnesses while the store does not renew the lease.
    pub heartbeat_interval: Duration,
    /// Time between heartbeats to witnesses while the store renews the lease.
    pub renewed_heartbeat_interval: Duration,
    /// Silence after which a witness suspects a VM.
    pub suspicion_timeout: Duration,
    /// Time without store and peers after which a VM is isolated.
    pub isolation_timeout: Duration,
}

impl Timing {
    /// Derives every time from the lease and the time between heartbeats.
    pub fn new(lease_ttl: Duration, heartbeat_interval: Duration) -> Self {
        let drift_margin = lease_ttl / DRIFT_MARGIN_DIVISOR;
        let confirmation_ttl = lease_ttl + drift_margin;
        let renewal_interval = lease_ttl / RENEWALS_PER_LEASE;
        let renewed_heartbeat_interval = renewal_interval.max(heartbeat_interval);
        Self {
            lease_ttl,
            renewal_interval,
            drift_margin,
            confirmation_ttl,
            vote_ttl: confirmation_ttl * CONFIRMATION_TTLS_PER_VOTE_TTL,
            startup_abstention: confirmation_ttl * CONFIRMATION_TTLS_PER_VOTE_TTL,
            vote_window: confirmation_ttl,
            heartbeat_interval,
            renewed_heartbeat_interval,
            suspicion_timeout: renewed_heartbeat_interval
                + heartbeat_interval * MISSED_HEARTBEATS_TO_SUSPECT,
            isolation_timeout: ISOLATION_TIMEOUT,
        }
    }

    /// Returns the time between two reads of the platform's list of VMs.
    pub(super) fn vm_list_interval(&self) -> Duration {
        self.lease_ttl * LEASES_PER_VM_LIST
    }

    /// Returns the time between two reads of all records, which grows with the fleet.
    pub(super) fn record_list_interval(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let for_members = RECORD_LIST_INTERVAL_PER_MEMBER.saturating_mul(members);
        for_members.max(self.vm_list_interval())
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new(Duration::from_secs(9), Duration::from_millis(500))
    }
}
