//! Origins of streams that this VM keeps.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::origin::{StreamKey, StreamOrigin};
use crate::clock::Instant;

/// Bounds of [`StreamRecords`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRecordsSettings {
    /// Maximum number of records; further ones are rejected, so that another VM is asked.
    pub records_max: usize,
    /// Maximum time for which a record is kept.
    pub kept_max: Duration,
    /// Time between two removals of expired records.
    pub sweep_interval: Duration,
}

impl Default for StreamRecordsSettings {
    fn default() -> Self {
        Self {
            records_max: 32_768,
            kept_max: Duration::from_secs(600),
            sweep_interval: Duration::from_secs(1),
        }
    }
}

/// Origins of streams, each kept for as long as its caller may come back.
#[derive(Debug, Default)]
pub struct StreamRecords {
    settings: StreamRecordsSettings,
    records: HashMap<StreamKey, StreamRecord>,
    /// The few different origins, which the records share.
    origins: Vec<Arc<StreamOrigin>>,
    swept_at: Instant,
}

#[derive(Debug)]
struct StreamRecord {
    origin: Arc<StreamOrigin>,
    expires_at: Instant,
}

impl StreamRecords {
    /// Creates an empty table.
    pub fn new(settings: StreamRecordsSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the origin of a stream for a time; returns whether it is kept.
    ///
    /// What is known of a stream does not change: its first event came from one upstream.
    pub fn insert(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        kept_for: Duration,
        now: Instant,
    ) -> bool {
        let expires_at = now + kept_for.min(self.settings.kept_max);
        if let Some(known) = self
            .records
            .get_mut(&key)
            .filter(|known| known.expires_at > now)
        {
            known.expires_at = known.expires_at.max(expires_at);
            return *known.origin == *origin;
        }
        if self.records.len() >= self.settings.records_max {
            self.remove_expired(now);
        }
        if self.records.len() >= self.settings.records_max {
            return false;
        }
        let origin = self.shared(origin);
        self.records
            .insert(key, StreamRecord { origin, expires_at });
        true
    }

    /// Returns the origin of a stream, if it is recorded.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<&Arc<StreamOrigin>> {
        let record = self.records.get(&key)?;
        (record.expires_at > now).then_some(&record.origin)
    }

    /// Removes expired records, at intervals.
    pub fn sweep(&mut self, now: Instant) {
        if now.saturating_sub(self.swept_at) >= self.settings.sweep_interval {
            self.remove_expired(now);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.swept_at = now;
        self.records.retain(|_, record| record.expires_at > now);
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }

    fn shared(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        match self.origins.iter().find(|known| ***known == *origin) {
            Some(known) => known.clone(),
            None => {
                let origin = Arc::new(origin.clone());
                self.origins.push(origin.clone());
                origin
            }
        }
    }
}
