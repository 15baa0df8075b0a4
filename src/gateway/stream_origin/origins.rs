//! What a VM knows of the origins of streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::STREAM_LIFETIME;
use super::history::OriginHistory;
use super::lookup::KeeperAnswer;
use super::origin::{StreamKey, StreamOrigin};
use super::records::StreamRecords;
use crate::clock::Instant;
use crate::gateway::upstream_registry::Upstream;

/// Time between two updates of what is listed.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// Number of messages in a row without a reply after which a VM is not chosen as a keeper.
const MISSED_REPLIES_MAX: u32 = 3;
/// Time for which it is not chosen.
const SILENT_KEEPER_BACKOFF: Duration = Duration::from_secs(2);

/// What a VM knows of the origins of streams.
#[derive(Debug)]
pub(in crate::gateway) struct StreamOrigins {
    pub(in crate::gateway) history: OriginHistory,
    pub(super) records: StreamRecords,
    started_at: Instant,
    observed_at: Instant,
    missed_replies: HashMap<SocketAddr, MissedReplies>,
}

/// Messages to a VM without a reply since its last one.
#[derive(Debug, Clone, Copy)]
struct MissedReplies {
    count: u32,
    last_at: Instant,
}

impl StreamOrigins {
    pub(in crate::gateway) fn new(now: Instant) -> Self {
        Self {
            history: OriginHistory::new(now),
            records: StreamRecords::default(),
            started_at: now,
            observed_at: Instant::ZERO,
            missed_replies: HashMap::new(),
        }
    }

    /// Records the software of all upstreams and removes what has expired, at intervals.
    pub(in crate::gateway) fn sweep<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        now: Instant,
    ) {
        if now.saturating_sub(self.observed_at) < OBSERVATION_INTERVAL {
            return;
        }
        self.observed_at = now;
        self.observe(upstreams, now);
        self.history.sweep(now);
        self.records.sweep(now);
        self.missed_replies
            .retain(|_, missed| now.saturating_sub(missed.last_at) < STREAM_LIFETIME);
    }

    /// Records the software of listed upstreams.
    pub(super) fn observe<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        now: Instant,
    ) {
        for upstream in upstreams {
            let entry = &upstream.entry;
            self.history
                .observe(&entry.service, entry.software.as_ref(), now);
        }
    }

    /// Returns whether this VM started so long ago.
    pub(super) fn has_run_for(&self, time: Duration, now: Instant) -> bool {
        now.saturating_sub(self.started_at) >= time
    }

    /// Returns what this VM can tell of a stream.
    pub(super) fn answer(&self, key: StreamKey, now: Instant) -> KeeperAnswer {
        KeeperAnswer {
            origin: self.origin(key, now),
            kept_since: now.saturating_sub(self.started_at),
        }
    }

    pub(super) fn origin(&self, key: StreamKey, now: Instant) -> Option<StreamOrigin> {
        self.records.get(key, now).map(|origin| (**origin).clone())
    }

    /// Records whether a VM has replied to a message.
    pub(super) fn record_reply(&mut self, address: SocketAddr, has_replied: bool, now: Instant) {
        if has_replied {
            self.missed_replies.remove(&address);
            return;
        }
        let missed = self.missed_replies.entry(address);
        let missed = missed.or_insert(MissedReplies {
            count: 0,
            last_at: now,
        });
        missed.count += 1;
        missed.last_at = now;
    }

    /// Returns whether a VM has not replied lately.
    pub(super) fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.missed_replies.get(&address).is_some_and(|missed| {
            missed.count >= MISSED_REPLIES_MAX
                && now.saturating_sub(missed.last_at) < SILENT_KEEPER_BACKOFF
        })
    }
}
