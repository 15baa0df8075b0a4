//! State machine of the steward's lease, without I/O.
//!
//! A holder counts its lease from the time before it sent the write that the store applied. A
//! candidate counts from the time at which it first read the object's current version, which is
//! later, and adds a margin for clocks that run at different rates. Its write is conditional on
//! that version, so it conflicts with a renewal made in between.
//!
//! Where the idle time is tracked, a holder writes to the record before it first acts in its term.
//! A holder that releases or loses the lease without that write cannot have acted, so its successor
//! inherits the idle time up to then.

mod era;

use std::time::Duration;

use super::{IdleTime, LeaseHolder, LeaseObject, LeaseRecord, LeaseSettings};
use crate::clock::Instant;
use crate::ids::{FencingNumber, ObjectVersion, StoreEra};

/// Store call requested by [`LeaseCore`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Reads the lease object.
    Read,
    /// Writes the lease object, conditional on its version.
    Write {
        /// Version that the stored object must have for the write to apply.
        expected_version: ObjectVersion,
        /// New content of the object.
        record: LeaseRecord,
    },
}

/// Outcome of a write of the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// The write was applied; the object now has this version.
    Applied(ObjectVersion),
    /// The write was not applied, as the stored object is this one, with another version.
    Conflict(LeaseObject),
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied or may still be applied.
    Unknown,
}

/// Term of the lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldTerm {
    /// Fencing number of the term, which is sent with each order.
    pub fencing_number: FencingNumber,
    /// Time at which the lease expires and the process must have stopped acting under it.
    pub valid_until: Instant,
    /// Time for which no holder can have acted; `None` if this one may act, see
    /// [`LeaseCore::begin_acting`].
    pub idle: Option<IdleTime>,
}

#[derive(Debug, Clone)]
struct PendingWrite {
    record: LeaseRecord,
    sent_at: Instant,
}

#[derive(Debug, Clone)]
struct ObservedObject {
    object: LeaseObject,
    first_seen_at: Instant,
}

impl ObservedObject {
    /// Returns the time for which no holder can have acted; `None` if one may have acted until now.
    fn idle_ms(&self, now: Instant) -> Option<u64> {
        let idle_ms = self.object.record.as_ref()?.idle_ms?;
        Some(IdleTime::from_millis(idle_ms, self.first_seen_at).millis_at(now))
    }
}

/// State machine of the lease in one process; performs no I/O.
///
/// The caller makes each call that [`LeaseCore::next_action`] returns and reports its result. It
/// reads the clock before requesting the action and again when the result has arrived.
#[derive(Debug, Clone)]
pub struct LeaseCore {
    settings: LeaseSettings,
    holder: LeaseHolder,
    observed: Option<ObservedObject>,
    needs_read: bool,
    is_read_pending: bool,
    pending_write: Option<PendingWrite>,
    unresolved_write: Option<PendingWrite>,
    held: Option<HeldTerm>,
    acting_term: Option<FencingNumber>,
    fencing_number_max: FencingNumber,
    next_action_at: Instant,
    is_releasing: bool,
    /// Era of the store in which the lease is acquired and renewed.
    era: StoreEra,
    era_known_since: Instant,
    /// Time until which a holder from before the store's last restore may act.
    earlier_era_holds_until: Instant,
}

impl LeaseCore {
    /// Creates the state of a process that has not read the lease object yet.
    pub fn new(settings: LeaseSettings, holder: LeaseHolder) -> Self {
        Self {
            settings,
            holder,
            observed: None,
            needs_read: true,
            is_read_pending: false,
            pending_write: None,
            unresolved_write: None,
            held: None,
            acting_term: None,
            fencing_number_max: 0,
            next_action_at: Instant::ZERO,
            is_releasing: false,
            era: 0,
            era_known_since: Instant::ZERO,
            earlier_era_holds_until: Instant::ZERO,
        }
    }

    /// Returns the term held at `now`.
    pub fn held(&self, now: Instant) -> Option<HeldTerm> {
        self.held.filter(|held| now < held.valid_until)
    }

    /// Returns the time from `now` until the next action is due.
    pub fn time_until_next_action(&self, now: Instant) -> Duration {
        self.next_action_at.saturating_sub(now)
    }

    /// Stops holding the lease at once and makes a write that releases it due.
    pub fn release(&mut self, now: Instant) {
        self.held = None;
        self.is_releasing = true;
        self.next_action_at = now;
    }

    /// Makes a write due after which the holder of a term may act: it clears the idle time, so that
    /// a successor does not inherit it.
    ///
    /// Has no effect if another term is held or none.
    pub fn begin_acting(&mut self, term: FencingNumber, now: Instant) {
        let is_idle = |held: HeldTerm| held.fencing_number == term && held.idle.is_some();
        if self.acting_term != Some(term) && self.held(now).is_some_and(is_idle) {
            self.acting_term = Some(term);
            self.next_action_at = now;
        }
    }

    /// Returns whether the lease is being released or has been released.
    pub(super) fn is_releasing(&self) -> bool {
        self.is_releasing
    }

    /// Returns whether the lease was released and the stored object confirms it.
    pub fn is_released(&self) -> bool {
        let is_idle = self.pending_write.is_none() && !self.needs_read;
        self.is_releasing && is_idle && !self.is_own_object()
    }

    /// Returns the next call to make, if one is due and none is in flight.
    pub fn next_action(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.is_read_pending || self.pending_write.is_some() || now < self.next_action_at {
            return None;
        }
        let action = self.plan_action(now)?;
        match &action {
            LeaseAction::Read => self.is_read_pending = true,
            LeaseAction::Write { record, .. } => {
                self.pending_write = Some(PendingWrite {
                    record: record.clone(),
                    sent_at: now,
                });
            }
        }
        Some(action)
    }

    fn plan_action(&self, now: Instant) -> Option<LeaseAction> {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.needs_read) else {
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
                idle_ms: observed.idle_ms(now),
                ..record.clone()
            }),
            _ if self.is_releasing => None,
            Some(record) if self.is_own(record) => {
                write(self.renewed_record(observed, record, now))
            }
            Some(record) if record.holder.is_some() && now < self.takeover_at(observed) => {
                Some(LeaseAction::Read)
            }
            None if object.version > 0 => Some(LeaseAction::Read),
            _ if now < self.earlier_era_holds_until => Some(LeaseAction::Read),
            _ => write(self.new_term_record(observed, now)),
        }
    }

    /// Reports the result of a read; `None` if it failed.
    pub fn read_completed(&mut self, now: Instant, object: Option<LeaseObject>) {
        self.is_read_pending = false;
        match object {
            Some(object) => self.apply_object(now, object),
            None => self.schedule_retry(now),
        }
    }

    /// Applies a lease object relayed by its holder, as if it had been read from the store.
    ///
    /// It is ignored while a call is in flight, since that call's result may be older or newer.
    pub fn apply_relayed_object(&mut self, now: Instant, object: LeaseObject) {
        let seen = self.observed.as_ref().map_or(0, |seen| seen.object.version);
        let is_newer = object.version > seen && !self.is_of_earlier_era(object.version);
        if is_newer && !self.is_read_pending && self.pending_write.is_none() {
            self.apply_object(now, object);
        }
    }

    /// Returns the lease object as last observed.
    pub fn last_object(&self) -> Option<LeaseObject> {
        self.observed.as_ref().map(|seen| seen.object.clone())
    }

    /// Reports the outcome of a write.
    pub fn write_completed(&mut self, now: Instant, outcome: LeaseWriteOutcome) {
        let Some(pending_write) = self.pending_write.take() else {
            return;
        };
        match outcome {
            // The restored store may have forgotten the write.
            LeaseWriteOutcome::Applied(version) if self.is_of_earlier_era(version) => {
                self.schedule_retry(now);
            }
            LeaseWriteOutcome::Applied(version) => {
                let record = Some(pending_write.record.clone());
                let object = LeaseObject {
                    version,
                    record,
                    ..LeaseObject::default()
                };
                self.apply_object(now, object);
                self.adopt_term(&pending_write);
                self.next_action_at = match self.awaits_acting(&pending_write.record) {
                    true => now,
                    false => (pending_write.sent_at + self.settings.renewal_interval).max(now),
                };
            }
            LeaseWriteOutcome::Conflict(object) => self.apply_object(now, object),
            LeaseWriteOutcome::NotApplied => self.schedule_retry(now),
            LeaseWriteOutcome::Unknown => {
                self.unresolved_write = Some(pending_write);
                self.schedule_retry(now);
            }
        }
    }

    fn schedule_retry(&mut self, now: Instant) {
        self.needs_read = true;
        self.next_action_at = now + self.settings.retry_delay;
    }

    fn apply_object(&mut self, now: Instant, object: LeaseObject) {
        if self.is_of_earlier_era(object.version) {
            return self.schedule_retry(now);
        }
        let seen_version = self.observed.as_ref().map(|seen| seen.object.version);
        if seen_version.is_some_and(|seen| object.version < seen && object.version > 0) {
            return self.schedule_retry(now);
        }
        self.needs_read = false;
        if let Some(record) = &object.record {
            self.fencing_number_max = self.fencing_number_max.max(record.fencing_number);
        }
        if seen_version != Some(object.version) {
            self.observed = Some(ObservedObject {
                object,
                first_seen_at: now,
            });
        }
        if !self.is_own_object() {
            self.held = None;
        }
        self.adopt_unresolved_write();
        self.next_action_at = self.next_action_time(now);
    }

    /// Treats an earlier write of unknown outcome as applied once its record is read back.
    fn adopt_unresolved_write(&mut self) {
        let seen = self.observed.as_ref();
        let record = seen.and_then(|seen| seen.object.record.as_ref());
        let is_seen = |pending_write: &mut PendingWrite| record == Some(&pending_write.record);
        if let Some(pending_write) = self.unresolved_write.take_if(is_seen) {
            self.adopt_term(&pending_write);
        }
    }

    fn adopt_term(&mut self, pending_write: &PendingWrite) {
        if self.is_releasing || pending_write.record.holder.is_none() {
            return;
        }
        self.held = Some(HeldTerm {
            fencing_number: pending_write.record.fencing_number,
            valid_until: pending_write.sent_at + self.settings.lease_ttl,
            idle: pending_write
                .record
                .idle_ms
                .map(|idle_ms| IdleTime::from_millis(idle_ms, pending_write.sent_at)),
        });
    }

    fn next_action_time(&self, now: Instant) -> Instant {
        let Some(observed) = &self.observed else {
            return now;
        };
        match &observed.object.record {
            Some(record) if record.holder.is_some() && !self.is_own(record) => {
                let poll_at = now + self.settings.poll_interval;
                poll_at.min(self.takeover_at(observed)).max(now)
            }
            None if observed.object.version > 0 => now + self.settings.poll_interval,
            _ if now < self.earlier_era_holds_until => self
                .earlier_era_holds_until
                .min(now + self.settings.poll_interval),
            _ => now,
        }
    }

    fn takeover_at(&self, observed: &ObservedObject) -> Instant {
        observed.first_seen_at + self.settings.lease_ttl + self.settings.takeover_margin
    }

    fn renewed_record(
        &self,
        observed: &ObservedObject,
        record: &LeaseRecord,
        now: Instant,
    ) -> LeaseRecord {
        let is_current = |held: HeldTerm| held.fencing_number == record.fencing_number;
        if !self.held(now).is_some_and(is_current) {
            return self.new_term_record(observed, now);
        }
        let is_idle = !self.awaits_acting(record);
        LeaseRecord {
            renewal_count: record.renewal_count + 1,
            idle_ms: self.trusted_idle_ms(observed, now).filter(|_| is_idle),
            ..record.clone()
        }
    }

    /// Returns the first record of a term, which inherits the idle time unless an earlier holder
    /// may have acted until now.
    fn new_term_record(&self, observed: &ObservedObject, now: Instant) -> LeaseRecord {
        let idle_ms = self.trusted_idle_ms(observed, now).unwrap_or(0);
        LeaseRecord {
            holder: Some(self.holder.clone()),
            fencing_number: self.fencing_number_max + 1,
            renewal_count: 0,
            idle_ms: self.settings.tracks_idle_time.then_some(idle_ms),
        }
    }

    /// Returns whether this process is to act in the term of its record, which still states an idle
    /// time.
    fn awaits_acting(&self, record: &LeaseRecord) -> bool {
        record.idle_ms.is_some() && self.acting_term == Some(record.fencing_number)
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
