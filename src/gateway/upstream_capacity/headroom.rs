//! Share of an upstream's last free room that one VM may use.
//!
//! Load pattern: engines near their slots or memory, filled by all VMs, of which each learns of the
//! others' requests only with the next heartbeats. If each VM used all the room that it sees, the
//! engine would have to reject most of what arrives. A VM therefore uses its part of the room that
//! is left, and replaces its own requests as they end, so that slots do not stand idle.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Instant;
use crate::ids::Tokens;

/// Time in which a VM uses its share once: what the others sent shows in heartbeats up to 400 ms
/// later.
const SHARE_WINDOW: Duration = Duration::from_millis(400);

/// What this VM has sent to an upstream in the current window, less what has ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentUse {
    window: u64,
    requests: i64,
    memory_tokens: i64,
}

/// Room of an upstream, as all VMs together leave it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Headroom {
    /// Requests for which slots are free.
    pub requests: f64,
    /// Tokens for which memory is free.
    pub memory_tokens: f64,
    /// VMs that may send requests there.
    pub vms: usize,
}

/// What limits the room of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadroomCause {
    /// Its slots.
    Slots,
    /// Its memory.
    Memory,
    /// A rejection, without a fresh announcement since.
    Rejection,
}

impl HeadroomCause {
    /// Returns the name that is used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Memory => "memory",
            Self::Rejection => "rejection",
        }
    }
}

impl RecentUse {
    /// Records a request that was sent.
    pub fn record_sent(&mut self, memory_tokens: Tokens, now: Instant) {
        self.add(1, memory_tokens as i64, now);
    }

    /// Records a request that has ended.
    pub fn record_ended(&mut self, memory_tokens: Tokens, now: Instant) {
        self.add(-1, -(memory_tokens as i64), now);
    }

    fn add(&mut self, requests: i64, memory_tokens: i64, now: Instant) {
        *self = self.in_window(now);
        self.requests += requests;
        self.memory_tokens += memory_tokens;
    }

    fn in_window(self, now: Instant) -> Self {
        let window = window(now);
        match self.window == window {
            true => self,
            false => Self {
                window,
                ..Self::default()
            },
        }
    }
}

impl Headroom {
    /// Returns how many requests of a size have room, and what limits them.
    pub fn places(&self, memory_tokens: Tokens) -> (f64, HeadroomCause) {
        let by_memory = self.memory_tokens / memory_tokens.max(1) as f64;
        match by_memory < self.requests {
            true => (by_memory, HeadroomCause::Memory),
            false => (self.requests, HeadroomCause::Slots),
        }
    }

    /// Returns what forbids this VM one more request of a size; `None` if nothing does.
    ///
    /// There is no limit while each VM could send one more. `draw_seed` identifies the VM and the
    /// upstream: by it the share is rounded up or down, once in each window.
    pub fn refusal(
        &self,
        memory_tokens: Tokens,
        recent: RecentUse,
        draw_seed: u64,
        now: Instant,
    ) -> Option<HeadroomCause> {
        let (places, cause) = self.places(memory_tokens);
        if places >= self.vms as f64 {
            return None;
        }
        let recent = recent.in_window(now);
        let used_memory = recent.memory_tokens as f64 / memory_tokens.max(1) as f64;
        let used = used_memory.max(recent.requests as f64);
        // The room at the start of the window.
        let shared = (places + used.max(0.0)).max(0.0);
        let draw = xxh3_64_with_seed(&window(now).to_le_bytes(), draw_seed);
        let draw = draw as f64 / u64::MAX as f64;
        let share = (shared / self.vms.max(1) as f64 + draw).floor();
        (used + 1.0 > share).then_some(cause)
    }
}

fn window(now: Instant) -> u64 {
    (now.as_millis() / SHARE_WINDOW.as_millis()) as u64
}
