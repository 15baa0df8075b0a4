//! Decisions about the lease, without I/O.
//!
//! A holder counts its lease from before it sent the write that the store applied. A taker counts
//! from when it first saw the object's present version, which is later, and adds a margin for
//! clocks of unequal rate. Its write is conditional on that version, so a renewal in between wins.

use std::time::Duration;

use super::{Holder, LeaseObject, LeaseRecord};
use crate::clock::Instant;
use crate::ids::{FencingNumber, ObjectVersion};

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long the lease holds, counted from before a write was sent.
    pub lease: Duration,
    /// What a taker waits beyond the lease.
    pub margin: Duration,
    /// Time between renewals.
    pub renewal: Duration,
    /// Time between reads while another process holds the lease.
    pub poll: Duration,
    /// Wait after a failed call.
    pub retry: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::with_lease(Duration::from_secs(9))
    }
}

impl LeaseSettings {
    /// Derives all times from how long the lease holds.
    pub fn with_lease(lease: Duration) -> Self {
        Self {
            lease,
            margin: lease / 10,
            renewal: lease / 3,
            poll: lease / 2,
            retry: lease / 20,
        }
    }
}

/// Call to make to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write the lease object conditionally.
    Write {
        /// Version that the object must have.
        expected_version: ObjectVersion,
        /// New content.
        record: LeaseRecord,
    },
}

/// Answer to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It took effect and got this version.
    Applied(ObjectVersion),
    /// It had no effect, as the object has another version.
    Conflict(LeaseObject),
    /// It had no effect.
    NotApplied,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// Term that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Number to attach to orders.
    pub fencing_number: FencingNumber,
    /// When the process must have stopped acting.
    pub until: Instant,
}

#[derive(Debug, Clone)]
struct Attempt {
    record: LeaseRecord,
    sent_at: Instant,
}

#[derive(Debug, Clone)]
struct Observed {
    object: LeaseObject,
    first_seen: Instant,
}

/// Lease as one process sees it.
///
/// The caller makes each call that [`LeaseCore::next_action`] returns and reports its answer. It
/// reads the clock before asking for the action and again after the answer arrived.
#[derive(Debug, Clone)]
pub struct LeaseCore {
    settings: LeaseSettings,
    holder: Holder,
    observed: Option<Observed>,
    is_stale: bool,
    is_reading: bool,
    attempt: Option<Attempt>,
    unknown_attempt: Option<Attempt>,
    held: Option<Held>,
    fencing_max: FencingNumber,
    next_at: Instant,
    is_releasing: bool,
}

impl LeaseCore {
    /// Creates the view of a process that knows nothing yet.
    pub fn new(settings: LeaseSettings, holder: Holder) -> Self {
        Self {
            settings,
            holder,
            observed: None,
            is_stale: true,
            is_reading: false,
            attempt: None,
            unknown_attempt: None,
            held: None,
            fencing_max: 0,
            next_at: Instant::ZERO,
            is_releasing: false,
        }
    }

    /// Returns the term held at `now`.
    pub fn held(&self, now: Instant) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Returns how long to wait before the next action.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next_at.saturating_sub(now)
    }

    /// Gives up the lease; the process no longer holds it from here on.
    pub fn release(&mut self, now: Instant) {
        self.held = None;
        self.is_releasing = true;
        self.next_at = now;
    }

    /// Returns whether the lease is being given up or was.
    pub(super) fn is_releasing(&self) -> bool {
        self.is_releasing
    }

    /// Returns whether the lease was given up and the store says so.
    pub fn is_released(&self) -> bool {
        let is_idle = self.attempt.is_none() && !self.is_stale;
        self.is_releasing && is_idle && !self.is_own_object()
    }

    /// Returns the next call to make, if one is due and none is under way.
    pub fn next_action(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.is_reading || self.attempt.is_some() || now < self.next_at {
            return None;
        }
        let action = self.plan(now)?;
        match &action {
            LeaseAction::Read => self.is_reading = true,
            LeaseAction::Write { record, .. } => {
                self.attempt = Some(Attempt {
                    record: record.clone(),
                    sent_at: now,
                });
            }
        }
        Some(action)
    }

    fn plan(&self, now: Instant) -> Option<LeaseAction> {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.is_stale) else {
            return Some(LeaseAction::Read);
        };
        let object = &observed.object;
        let write = |record| {
            Some(LeaseAction::Write {
                expected_version: object.version,
                record,
            })
        };
        match &object.record {
            Some(record) if self.is_own(record) && self.is_releasing => write(LeaseRecord {
                holder: None,
                ..record.clone()
            }),
            _ if self.is_releasing => None,
            Some(record) if self.is_own(record) => write(self.renewed(record, now)),
            Some(record) if record.holder.is_some() && now < self.takeover_at(observed) => {
                Some(LeaseAction::Read)
            }
            None if object.version > 0 => Some(LeaseAction::Read),
            _ => write(self.new_term()),
        }
    }

    /// Reports the answer to a read; nothing where it failed.
    pub fn read_completed(&mut self, now: Instant, answer: Option<LeaseObject>) {
        self.is_reading = false;
        match answer {
            Some(object) => self.observe(now, object),
            None => self.retry(now),
        }
    }

    /// Takes in what the holder tells of its lease, as if it had been read.
    ///
    /// Nothing is taken in while a call is under way, whose answer would be older or newer.
    pub fn heard(&mut self, now: Instant, object: LeaseObject) {
        let seen = self.observed.as_ref().map_or(0, |seen| seen.object.version);
        if !self.is_reading && self.attempt.is_none() && object.version > seen {
            self.observe(now, object);
        }
    }

    /// Returns the lease's object as it was last seen.
    pub fn object(&self) -> Option<LeaseObject> {
        self.observed.as_ref().map(|seen| seen.object.clone())
    }

    /// Reports the answer to a write.
    pub fn write_completed(&mut self, now: Instant, answer: WriteAnswer) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        match answer {
            WriteAnswer::Applied(version) => {
                let record = Some(attempt.record.clone());
                let object = LeaseObject {
                    version,
                    record,
                    ..LeaseObject::default()
                };
                self.observe(now, object);
                self.adopt(&attempt);
                self.next_at = (attempt.sent_at + self.settings.renewal).max(now);
            }
            WriteAnswer::Conflict(object) => self.observe(now, object),
            WriteAnswer::NotApplied => self.retry(now),
            WriteAnswer::Unknown => {
                self.unknown_attempt = Some(attempt);
                self.retry(now);
            }
        }
    }

    fn retry(&mut self, now: Instant) {
        self.is_stale = true;
        self.next_at = now + self.settings.retry;
    }

    fn observe(&mut self, now: Instant, object: LeaseObject) {
        let seen_version = self.observed.as_ref().map(|seen| seen.object.version);
        if seen_version.is_some_and(|seen| object.version < seen && object.version > 0) {
            return self.retry(now);
        }
        self.is_stale = false;
        if let Some(record) = &object.record {
            self.fencing_max = self.fencing_max.max(record.fencing_number);
        }
        if seen_version != Some(object.version) {
            self.observed = Some(Observed {
                object,
                first_seen: now,
            });
        }
        if !self.is_own_object() {
            self.held = None;
        }
        self.adopt_unknown_attempt();
        self.next_at = self.next_look(now);
    }

    /// Takes an earlier write as applied once its record is seen in the store.
    fn adopt_unknown_attempt(&mut self) {
        let seen = self.observed.as_ref();
        let record = seen.and_then(|seen| seen.object.record.as_ref());
        let is_seen = |attempt: &mut Attempt| record == Some(&attempt.record);
        if let Some(attempt) = self.unknown_attempt.take_if(is_seen) {
            self.adopt(&attempt);
        }
    }

    fn adopt(&mut self, attempt: &Attempt) {
        if self.is_releasing || attempt.record.holder.is_none() {
            return;
        }
        self.held = Some(Held {
            fencing_number: attempt.record.fencing_number,
            until: attempt.sent_at + self.settings.lease,
        });
    }

    fn next_look(&self, now: Instant) -> Instant {
        let Some(observed) = &self.observed else {
            return now;
        };
        match &observed.object.record {
            Some(record) if record.holder.is_some() && !self.is_own(record) => {
                let poll_at = now + self.settings.poll;
                poll_at.min(self.takeover_at(observed)).max(now)
            }
            None if observed.object.version > 0 => now + self.settings.poll,
            _ => now,
        }
    }

    fn takeover_at(&self, observed: &Observed) -> Instant {
        observed.first_seen + self.settings.lease + self.settings.margin
    }

    fn renewed(&self, record: &LeaseRecord, now: Instant) -> LeaseRecord {
        let is_current = |held: Held| held.fencing_number == record.fencing_number;
        if !self.held(now).is_some_and(is_current) {
            return self.new_term();
        }
        LeaseRecord {
            renewal_count: record.renewal_count + 1,
            ..record.clone()
        }
    }

    fn new_term(&self) -> LeaseRecord {
        LeaseRecord {
            holder: Some(self.holder.clone()),
            fencing_number: self.fencing_max + 1,
            renewal_count: 0,
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder.as_ref() == Some(&self.holder)
    }

    fn is_own_object(&self) -> bool {
        let record = self
            .observed
            .as_ref()
            .and_then(|seen| seen.object.record.as_ref());
        record.is_some_and(|record| self.is_own(record))
    }
}
