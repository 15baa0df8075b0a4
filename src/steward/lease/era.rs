//! The lease in a store that was restored from an older copy.

use super::{LeaseCore, ObservedObject};
use crate::clock::Instant;
use crate::ids::{ObjectVersion, StoreEra};
use crate::platform::era_of;

/// Fencing numbers of one era of the store; no more terms are expected between two restores.
const FENCING_NUMBERS_PER_ERA: u64 = 1 << 20;

impl LeaseCore {
    /// Records the era of the store as known to this VM, from the store or from other VMs.
    ///
    /// A restored store may have forgotten the lease, its renewals and its fencing numbers. A lease
    /// from before the restore ends at once, as the store no longer protects it, and the numbers of
    /// each era are higher than all of the eras before. Its holder may be another VM that has not
    /// heard of the restore; its last renewal was made before.
    pub fn observe_era(&mut self, era: StoreEra, now: Instant) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == 0 && self.observed.is_none();
        self.era = era;
        self.era_known_since = now;
        let first_number = era.saturating_mul(FENCING_NUMBERS_PER_ERA);
        self.fencing_number_max = self.fencing_number_max.max(first_number);
        if is_first {
            return;
        }
        let was_held = self.held(now).is_some();
        self.held = None;
        self.observed = None;
        self.unresolved_write = None;
        self.acting_term = None;
        self.needs_read = true;
        self.next_action_at = now;
        if !was_held {
            self.earlier_era_holds_until =
                now + self.settings.lease_ttl + self.settings.takeover_margin;
        }
    }

    /// Returns the idle time without the part from before this process knew the store's era.
    ///
    /// The record may come from a copy that is older than the last holder's write.
    pub(super) fn trusted_idle_ms(&self, observed: &ObservedObject, now: Instant) -> Option<u64> {
        let idle_ms = observed.idle_ms(now)?;
        let era_ms = now.saturating_sub(self.era_known_since).as_millis();
        match self.era {
            0 => Some(idle_ms),
            _ => Some(idle_ms.min(u64::try_from(era_ms).unwrap_or(u64::MAX))),
        }
    }

    pub(super) fn is_of_earlier_era(&self, version: ObjectVersion) -> bool {
        version > 0 && era_of(version) < self.era
    }
}
