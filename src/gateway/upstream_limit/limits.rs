//! Limits that are known at this VM.

use std::collections::HashMap;
use std::time::Duration;

use super::announced::{AnnouncedLimit, RequestRate};
use super::news::LimitNews;
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::process_outbox::{ITEMS_PER_MESSAGE_MAX, ProcessOutbox};

/// Minimum time since a limit was last named from which a response that names none ends it.
const END_DELAY_MIN: Duration = Duration::from_secs(1);
/// Maximum of that time, for low limits.
const END_DELAY_MAX: Duration = Duration::from_secs(8);
/// Number of responses that the limit allows in that time.
const RESPONSES_BEFORE_END: f64 = 2.0;
/// Time after which a limit that is still named is told again.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Time by which news must be newer than what is known if they repeat a limit: a message takes some
/// time, and what it says must not look newer at each VM that forwards it.
const REPEAT_NEWER_MIN: Duration = Duration::from_millis(500);
/// As [`REPEAT_NEWER_MIN`], for another limit: news may have been delayed by that time.
const CHANGE_NEWER_MIN: Duration = Duration::from_millis(200);

/// Change of the limit of an upstream, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Process of the upstream.
    pub process: ProcessHash,
    /// New limit; `None` if it names none any more.
    pub rate: Option<RequestRate>,
}

/// Limits by process of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    limits: HashMap<ProcessHash, KnownLimit>,
    outbox: ProcessOutbox,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// `None` after the limit has ended.
    rate: Option<RequestRate>,
    /// Time of the last response that named the limit, or with which it ended.
    stated_at: Instant,
    /// Time at which this VM last told it, or was told it.
    told_at: Instant,
    /// Time before which no permit is to be expected.
    wait_until: Instant,
    /// Whether the upstream was passed over since a permit was requested.
    is_held_back: bool,
}

impl UpstreamLimits {
    /// Records what a response says; returns the change, if it is one.
    ///
    /// Responses may arrive in another order than they were made, so one without a limit ends it
    /// only if none has named it for a while.
    pub fn record_response(
        &mut self,
        process: ProcessHash,
        announced: AnnouncedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&process);
        let current = known.and_then(|known| Some((known.rate?, known.stated_at)));
        let rate = match (announced, current) {
            (AnnouncedLimit::Rate(rate), _) => Some(rate),
            // The upstream is still in need.
            (AnnouncedLimit::Unreadable, Some((rate, _))) => Some(rate),
            (AnnouncedLimit::Absent, Some((rate, stated_at)))
                if now.saturating_sub(stated_at) >= end_delay(rate) =>
            {
                None
            }
            _ => return None,
        };
        let is_told = known.is_some_and(|known| now.saturating_sub(known.told_at) < TELL_INTERVAL);
        let change = self.set(process, rate, now);
        if change.is_some() || !is_told {
            self.tell(process, now);
        }
        change
    }

    /// Applies what another VM tells and, if this VM forwards news, tells what it did not know;
    /// returns the changes.
    pub fn apply(&mut self, news: &[LimitNews], forwards: bool, now: Instant) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for item in news {
            let stated_at = now.saturating_sub(Duration::from_millis(item.age_ms.into()));
            let known = self.limits.get_mut(&item.process);
            let is_news = match known {
                Some(known) => {
                    let newer_min = match (item.rate, known.rate) {
                        // Another response may have named it in between.
                        (None, Some(rate)) => end_delay(rate),
                        (rate, known) if rate == known => REPEAT_NEWER_MIN,
                        _ => CHANGE_NEWER_MIN,
                    };
                    stated_at >= known.stated_at + newer_min
                }
                None => item.rate.is_some(),
            };
            if is_news {
                changes.extend(self.set(item.process, item.rate, stated_at));
            }
            if let Some(known) = self.limits.get_mut(&item.process) {
                known.told_at = now;
            }
            if is_news && forwards {
                self.outbox.push(item.process);
            }
        }
        changes
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the next message.
    pub fn next_news(&mut self, now: Instant) -> Vec<LimitNews> {
        let processes = self.outbox.take().into_iter();
        processes
            .filter_map(|process| self.news(process, now))
            .collect()
    }

    /// Returns all limits, as messages.
    pub fn all_news(&self, now: Instant) -> Vec<Vec<LimitNews>> {
        let limited = self.limits.iter().filter(|(_, known)| known.rate.is_some());
        let news: Vec<LimitNews> = limited
            .filter_map(|(process, _)| self.news(*process, now))
            .collect();
        let messages = news.chunks(ITEMS_PER_MESSAGE_MAX);
        messages.map(<[LimitNews]>::to_vec).collect()
    }

    /// Returns what is known of one process, for a message.
    pub fn news(&self, process: ProcessHash, now: Instant) -> Option<LimitNews> {
        let known = self.limits.get(&process)?;
        let age = now.saturating_sub(known.stated_at);
        Some(LimitNews {
            process,
            rate: known.rate,
            age_ms: age.as_millis() as u32,
        })
    }

    /// Returns the limit of a process.
    pub fn rate(&self, process: ProcessHash) -> Option<RequestRate> {
        self.limits.get(&process)?.rate
    }

    /// Returns the time before which this VM gets no permit for a process, if it is not over.
    pub fn waits_until(&self, process: ProcessHash, now: Instant) -> Option<Instant> {
        let known = self.limits.get(&process)?;
        (known.rate.is_some() && now < known.wait_until).then_some(known.wait_until)
    }

    /// Sets the time before which no permit for a process is requested.
    pub fn set_wait(&mut self, process: ProcessHash, until: Instant) {
        if let Some(known) = self.limits.get_mut(&process) {
            known.wait_until = until;
        }
    }

    /// Records that a request passed over a process that waits for a permit.
    pub fn record_held_back(&mut self, process: ProcessHash) {
        if let Some(known) = self.limits.get_mut(&process) {
            known.is_held_back = true;
        }
    }

    /// Returns whether a request passed over a process since this was last called.
    pub fn take_held_back(&mut self, process: ProcessHash) -> bool {
        let known = self.limits.get_mut(&process);
        known.is_some_and(|known| std::mem::take(&mut known.is_held_back))
    }

    /// Returns the number of processes with a limit.
    pub fn limited_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Returns whether nothing is known of any process.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Drops what is known of processes that are gone.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessHash) -> bool) {
        self.limits.retain(|process, _| is_listed(*process));
    }

    fn set(
        &mut self,
        process: ProcessHash,
        rate: Option<RequestRate>,
        stated_at: Instant,
    ) -> Option<LimitChange> {
        let known = self.limits.entry(process).or_insert(KnownLimit {
            rate: None,
            stated_at,
            told_at: Instant::ZERO,
            wait_until: Instant::ZERO,
            is_held_back: false,
        });
        let earlier = std::mem::replace(&mut known.rate, rate);
        known.stated_at = stated_at;
        (rate != earlier).then_some(LimitChange { process, rate })
    }

    fn tell(&mut self, process: ProcessHash, now: Instant) {
        if let Some(known) = self.limits.get_mut(&process) {
            known.told_at = now;
        }
        self.outbox.push(process);
    }
}

/// Returns the time since a limit was last named from which a response without it ends it.
fn end_delay(rate: RequestRate) -> Duration {
    let delay = Duration::try_from_secs_f64(RESPONSES_BEFORE_END / rate.per_s());
    let delay = delay.unwrap_or(END_DELAY_MAX);
    delay.clamp(END_DELAY_MIN, END_DELAY_MAX)
}
