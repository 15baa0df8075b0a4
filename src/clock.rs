//! Monotonic clock interface, with an implementation by the system and a manual one for tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Point in monotonic time, as the time elapsed since an arbitrary fixed origin.
pub type Instant = Duration;

/// Source of monotonic time.
///
/// **NOTE:** no decision in this crate depends on wall-clock time, so steps of the wall clock are
/// harmless.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// Returns the time elapsed since the origin of the clock; it never decreases.
    fn now(&self) -> Instant;
}

/// Shared handle to a clock.
pub type SharedClock = Arc<dyn Clock>;

/// Clock of the operating system (`CLOCK_BOOTTIME`), which advances while the machine is suspended.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl SystemClock {
    /// Returns a shared handle to the system clock.
    pub fn shared() -> SharedClock {
        Arc::new(Self)
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }
}

/// Clock that advances only by calls of [`ManualClock::advance`].
#[derive(Debug, Default, Clone)]
pub struct ManualClock {
    now_micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Advances the clock by `step`, truncated to whole microseconds.
    pub fn advance(&self, step: Duration) {
        let micros = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.now_micros.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        Duration::from_micros(self.now_micros.load(Ordering::SeqCst))
    }
}
