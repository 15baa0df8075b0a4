//! Faults that a stand-in shows on demand.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Switches for faults; `POST /faults` takes any part of it as JSON.
///
/// "Requests with effect" are all of a plain service's, and those other than `GET` and
/// `/cancel` elsewhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Wait between the effect of a request and its answer.
    #[serde(rename = "delay_ms", with = "milliseconds")]
    pub delay: Duration,
    /// Refuses requests with effect with 503; the store closes every connection instead.
    pub refuse: bool,
    /// Accepts connections and sends nothing until unset; what was asked is run then.
    pub freeze: bool,
    /// Number of coming requests with effect whose connection is closed in place of an answer.
    pub lose_answers: u32,
    /// Silences the connections open at this moment for good; unsets itself.
    pub silence_open_connections: bool,
    /// Cuts a coming stream after this number of tokens.
    pub break_stream_after: Option<u64>,
    /// Number of streams that `break_stream_after` cuts; zero counts as one.
    pub break_streams: u32,
    /// Answers with the id and text of the request before.
    pub swap_answers: bool,
    /// Sends the token of this position twice in the next stream that reaches it.
    pub duplicate_position: Option<u64>,
    /// Leaves the token of this position out of the next stream that reaches it.
    pub skip_position: Option<u64>,
    /// Freezes the load report.
    pub stale_load: bool,
    /// Ends the next stream, without an error, in the middle of this position's event.
    pub truncate_chunk: Option<u64>,
}

/// Faults that one stream shows.
#[derive(Debug, Default)]
pub(crate) struct StreamFaults {
    pub(crate) break_after: Option<u64>,
    pub(crate) duplicate: Option<u64>,
    pub(crate) skip: Option<u64>,
    pub(crate) truncate: Option<u64>,
}

/// Shared handle that sets a stand-in's faults while it runs.
#[derive(Debug, Clone, Default)]
pub struct FaultHandle {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Mutex<Faults>,
    frozen: watch::Sender<bool>,
    silenced_before: AtomicU64,
}

impl FaultHandle {
    /// Returns the faults as they stand.
    pub fn get(&self) -> Faults {
        lock(&self.inner.faults).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        self.update(|current| *current = faults);
    }

    /// Changes some faults.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = lock(&self.inner.faults);
        change(&mut faults);
        if std::mem::take(&mut faults.silence_open_connections) {
            self.inner.silenced_before.fetch_add(1, Ordering::SeqCst);
        }
        self.inner.frozen.send_replace(faults.freeze);
    }

    /// Changes the faults named in a JSON object.
    pub(crate) fn merge(&self, body: &[u8]) -> serde_json::Result<()> {
        let changes: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
        let mut merged = serde_json::to_value(self.get())?;
        if let Some(object) = merged.as_object_mut() {
            object.extend(changes);
        }
        self.set(serde_json::from_value(merged)?);
        Ok(())
    }

    /// Returns the mark that a connection opened now carries.
    pub(crate) fn connection_mark(&self) -> u64 {
        self.inner.silenced_before.load(Ordering::SeqCst)
    }

    /// Returns whether a connection with this mark has gone silent.
    pub(crate) fn is_silent(&self, mark: u64) -> bool {
        mark < self.connection_mark()
    }

    /// Waits while the stand-in is frozen.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.inner.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Takes one answer to lose, where one is left.
    pub(crate) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.inner.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Takes the faults that strike a stream of these positions.
    pub(crate) fn take_stream_faults(&self, positions: Range<u64>) -> StreamFaults {
        let mut faults = lock(&self.inner.faults);
        let tokens = positions.end.saturating_sub(positions.start);
        let break_after = faults.break_stream_after.filter(|after| *after < tokens);
        if break_after.is_some() {
            faults.break_streams = faults.break_streams.saturating_sub(1);
        }
        if break_after.is_some() && faults.break_streams == 0 {
            faults.break_stream_after = None;
        }
        let end = break_after.map_or(positions.end, |after| positions.start + after);
        let positions = positions.start..end;
        let reached = |position: &mut Option<u64>| position.take_if(|p| positions.contains(p));
        StreamFaults {
            break_after,
            duplicate: reached(&mut faults.duplicate_position),
            skip: reached(&mut faults.skip_position),
            truncate: reached(&mut faults.truncate_chunk),
        }
    }
}

/// Locks a mutex, also after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serde form of a `Duration` as whole milliseconds.
pub(crate) mod milliseconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(value: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(value.as_millis() as u64)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}
