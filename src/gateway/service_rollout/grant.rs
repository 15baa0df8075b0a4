//! Grants of traffic shares, and what a VM knows of them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::ids::FencingNumber;

/// Share of a service's requests that the target may get, granted by the holder of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutGrant {
    /// Service of the order.
    pub service: ServiceId,
    /// Target of the order.
    pub target: SoftwareVersion,
    /// Share in thousandths; at 1,000 the old upstreams get nothing new.
    pub share_permille: u16,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// Number of the grant under this lease, ascending from 1 over all services.
    pub sequence: u32,
}

/// Latest grants by service.
#[derive(Debug)]
pub struct GrantBook {
    age_max: Duration,
    fencing_max: FencingNumber,
    grants: BTreeMap<ServiceId, ReceivedGrant>,
}

#[derive(Debug)]
struct ReceivedGrant {
    grant: RolloutGrant,
    received_at: Instant,
}

impl GrantBook {
    /// Creates a book without grants. A grant is in force for `age_max`: half of the time after
    /// which a VM has lost contact.
    pub fn new(age_max: Duration) -> Self {
        Self {
            age_max,
            fencing_max: 0,
            grants: BTreeMap::new(),
        }
    }

    /// Records a grant; returns whether it is accepted.
    ///
    /// One with a lower fencing number than any seen, or with a sequence number that is not higher
    /// than the service's last one of the same lease, is not.
    pub fn record(&mut self, grant: RolloutGrant, now: Instant) -> bool {
        if grant.fencing < self.fencing_max || grant.share_permille > 1_000 {
            return false;
        }
        let last = self.grants.get(&grant.service);
        if last.is_some_and(|last| {
            last.grant.fencing == grant.fencing && last.grant.sequence >= grant.sequence
        }) {
            return false;
        }
        self.fencing_max = grant.fencing;
        let service = grant.service.clone();
        let received_at = now;
        self.grants
            .insert(service, ReceivedGrant { grant, received_at });
        true
    }

    /// Returns the share of a service's requests that the target may get now, in thousandths.
    pub fn share(&self, service: &str, target: &str, now: Instant) -> u16 {
        let received = self.grants.get(service);
        let received = received.filter(|received| {
            received.grant.target == target
                && now.saturating_sub(received.received_at) < self.age_max
        });
        received.map_or(0, |received| received.grant.share_permille)
    }

    /// Returns the last grant accepted for a service, fresh or not.
    pub fn last(&self, service: &str) -> Option<&RolloutGrant> {
        self.grants.get(service).map(|received| &received.grant)
    }

    /// Removes the grants of services without an order.
    pub fn retain(&mut self, is_ordered: impl Fn(&ServiceId) -> bool) {
        self.grants.retain(|service, _| is_ordered(service));
    }
}
