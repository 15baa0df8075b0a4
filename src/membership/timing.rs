//! Durations that all VMs of a fleet share.

use std::time::Duration;

/// The clocks of two VMs may drift apart by the lease TTL divided by this, within one lease TTL.
const DRIFT_MARGIN_DIVISOR: u32 = 9;
const RENEWALS_PER_LEASE: u32 = 3;
const CONFIRMATION_TTLS_PER_VOTE_TTL: u32 = 3;
const MISSED_HEARTBEATS_TO_SUSPECT: u32 = 4;
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);
const LEASES_PER_VM_LIST: u32 = 3;
const RECORD_LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(300);

/// Durations of leases, heartbeats and fencing; all VMs of a fleet must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a lease after a renewal in the store or a confirmation by the witnesses.
    pub lease_ttl: Duration,
    /// Time between two lease renewals in the store.
    pub renewal_interval: Duration,
    /// Allowance for clock drift, added by every VM that waits for another VM's lease to expire.
    pub drift_margin: Duration,
    /// Time after a lease confirmation during which the witness votes against fencing.
    pub confirmation_ttl: Duration,
    /// Time after a vote for fencing during which the witness confirms no lease of the incarnation.
    pub vote_ttl: Duration,
    /// Time after its start during which a witness neither confirms leases nor votes.
    pub startup_abstention: Duration,
    /// Time within which the votes to fence a record must be collected; below `vote_ttl`.
    pub vote_window: Duration,
    /// Time between heartbeats to witnesses while the store does not renew the lease.
    pub heartbeat_interval: Duration,
    /// Time between heartbeats to witnesses while the store renews the lease.
    pub renewed_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a witness suspects a VM.
    pub suspicion_timeout: Duration,
    /// Time without contact to the store and to a majority of peers after which a VM is isolated.
    pub isolation_timeout: Duration,
}

impl Timing {
    /// Derives all durations from the lease TTL and the heartbeat interval.
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

    /// Returns the time between two reads of all records, which grows with the number of members.
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
