//! States of held parts in the platform's store, where they outlast all VMs.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::record::{QuarantineRecord, QuarantineSource};
use crate::clock::Instant;
use crate::gateway::event_log::LogEvent;
use crate::gateway::platform_api::StoreCallFailure;
use crate::gateway::state::Gateway;
use crate::ids::StoreEra;

/// Interval at which a VM checks whether it is the representative of its zone.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the coordinator looks for parts that the operator has released.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum delay before a failed call is repeated.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// What this VM knows of the records in the store.
#[derive(Debug, Default)]
struct StoredRecords {
    /// Whether the records were read since the start of the process.
    is_read: bool,
    reviewed_at: Instant,
    era: StoreEra,
}

/// Reads and writes the states of held parts while this VM represents its zone, until dropped.
pub(in crate::gateway) async fn maintain_quarantine(gateway: Arc<Gateway>) {
    let mut stored = StoredRecords::default();
    loop {
        let now = gateway.now();
        let is_representative = {
            let state = gateway.state();
            state.peers.is_complete(now) && state.peers.is_zone_representative(now)
        };
        let result = match is_representative {
            true => stored.synchronize(&gateway).await,
            false => Ok(()),
        };
        let wait = match result {
            Ok(()) => ROLE_CHECK_INTERVAL,
            Err((call, failure)) => {
                let reason = failure.to_string();
                gateway
                    .event_log
                    .log(&LogEvent::QuarantineCallFailed { call, reason });
                rand::rng().random_range(RETRY_DELAY_MAX / 2..=RETRY_DELAY_MAX)
            }
        };
        // Either outcome leads to the next check.
        let _ = tokio::time::timeout(wait, gateway.quarantine_changed.notified()).await;
    }
}

type CallResult<T> = Result<T, (&'static str, StoreCallFailure)>;

impl StoredRecords {
    async fn synchronize(&mut self, gateway: &Gateway) -> CallResult<()> {
        let era = gateway.state().store_era;
        if era > self.era {
            // What was written before may be gone.
            self.era = era;
            let now = gateway.now();
            gateway.state().crash_guard.record_store_lost(now);
        }
        if !self.is_read {
            apply_records(gateway, list(gateway).await?);
            self.is_read = true;
        }
        write_changes(gateway).await?;
        let is_due = gateway.now() >= self.reviewed_at + REVIEW_INTERVAL;
        let is_reviewer = {
            let state = gateway.state();
            let is_coordinator = state.peers.coordinator(gateway.now()).is_none();
            is_coordinator && state.crash_guard.quarantine().has_held()
        };
        if is_due && is_reviewer {
            self.reviewed_at = gateway.now();
            let records = list(gateway).await?;
            if gateway.state().store_era == self.era {
                release_removed(gateway, &records);
            }
            apply_records(gateway, records);
        }
        Ok(())
    }
}

async fn list(gateway: &Gateway) -> CallResult<Vec<QuarantineRecord>> {
    let listed = gateway.platform.store.quarantined().await;
    let listed = listed.map_err(|failure| ("list", failure))?;
    let mut records = Vec::new();
    for record in listed {
        match record {
            Ok(record) => records.push(record),
            Err(reason) => {
                let call = "list";
                gateway
                    .event_log
                    .log(&LogEvent::QuarantineCallFailed { call, reason });
            }
        }
    }
    Ok(records)
}

fn apply_records(gateway: &Gateway, records: Vec<QuarantineRecord>) {
    let now = gateway.now();
    let mut changes = Vec::new();
    for record in records {
        // Its age is that of its writing.
        changes.extend(gateway.state().crash_guard.apply_stored(&record, now));
    }
    gateway.record_quarantine_changes(&changes, QuarantineSource::Store);
}

/// Releases the parts whose record someone has removed from the store.
fn release_removed(gateway: &Gateway, listed: &[QuarantineRecord]) {
    let now = gateway.now();
    let mut state = gateway.state();
    let guard = &mut state.crash_guard;
    let is_removed = |record: &QuarantineRecord| {
        record.is_held
            && guard.is_stored(record.suspect())
            && !listed
                .iter()
                .any(|listed| listed.suspect() == record.suspect())
    };
    let mut removed = guard.quarantine().records(now);
    removed.retain(is_removed);
    let changes: Vec<_> = removed
        .iter()
        .filter_map(|record| guard.release(record.suspect(), now))
        .collect();
    drop(state);
    gateway.record_quarantine_changes(&changes, QuarantineSource::Store);
}

/// Writes the states that the store does not have, and removes those of released parts.
async fn write_changes(gateway: &Gateway) -> CallResult<()> {
    let unstored = gateway.state().crash_guard.unstored(gateway.now());
    for record in unstored {
        let store = &gateway.platform.store;
        let written = match record.is_held {
            true => store.put_quarantined(record.clone()).await,
            false => store.remove_quarantined(record.suspect()).await,
        };
        written.map_err(|failure| ("write", failure))?;
        let now = gateway.now();
        gateway.state().crash_guard.record_stored(&record, now);
    }
    Ok(())
}
