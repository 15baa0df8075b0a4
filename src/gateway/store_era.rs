//! Reaction of this VM to a store that was restored from an older copy.

use super::event_log::LogEvent;
use super::state::Gateway;
use crate::ids::StoreEra;

impl Gateway {
    /// Records the era of the store, from one of its responses or from a peer; returns the highest
    /// one known.
    ///
    /// If the store was restored, what this VM wrote there may be gone, and upstreams whose entries
    /// are missing get the time to register again.
    pub(super) fn observe_store_era(&self, era: StoreEra) -> StoreEra {
        let mut state = self.state();
        let earlier = state.store_era;
        if era <= earlier {
            return earlier;
        }
        state.store_era = era;
        if earlier > 0 {
            let now = self.now();
            state.upstreams.record_store_lost();
            state.upstreams.record_store_back(now);
        }
        drop(state);
        if earlier > 0 {
            self.event_log
                .log(&LogEvent::StoreRestored { era, earlier });
            self.store_restored.notify_one();
            // The lease is looked at again, and peers hear of the era at once.
            self.lease_received.notify_one();
            self.heartbeat_due.notify_one();
        }
        era
    }
}
