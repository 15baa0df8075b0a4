//! How long requests have taken lately, to tell which ones cannot end before a shutdown does.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;

/// Settings of [`RunTimes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTimesSettings {
    /// Time for which a run counts, at least; at most twice as long.
    pub window: Duration,
}

impl Default for RunTimesSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(30),
        }
    }
}

/// Longest runs of each route within a window.
#[derive(Debug, Default)]
pub struct RunTimes {
    settings: RunTimesSettings,
    /// By name of the route.
    routes: HashMap<String, LongestRun>,
}

/// Longest runs in the current window and in the one before.
#[derive(Debug)]
struct LongestRun {
    current: Duration,
    previous: Duration,
    began_at: Instant,
}

impl RunTimes {
    /// Creates an empty record.
    pub fn new(settings: RunTimesSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a run that has ended.
    pub fn record(&mut self, route: &str, time: Duration, now: Instant) {
        let window = self.settings.window;
        let Some(longest) = self.routes.get_mut(route) else {
            let longest = LongestRun {
                current: time,
                previous: Duration::ZERO,
                began_at: now,
            };
            self.routes.insert(route.to_owned(), longest);
            return;
        };
        let age = now.saturating_sub(longest.began_at);
        if age >= window {
            longest.previous = match age < 2 * window {
                true => longest.current,
                false => Duration::ZERO,
            };
            longest.current = Duration::ZERO;
            longest.began_at = now;
        }
        longest.current = longest.current.max(time);
    }

    /// Returns the longest run of a route lately, or zero if none is known.
    pub fn longest(&self, route: &str, now: Instant) -> Duration {
        let Some(longest) = self.routes.get(route) else {
            return Duration::ZERO;
        };
        match now.saturating_sub(longest.began_at) {
            age if age < self.settings.window => longest.current.max(longest.previous),
            age if age < 2 * self.settings.window => longest.current,
            _ => Duration::ZERO,
        }
    }

    /// Forgets routes without a run lately.
    pub fn sweep(&mut self, now: Instant) {
        let window = self.settings.window;
        self.routes
            .retain(|_, longest| now.saturating_sub(longest.began_at) < 2 * window);
    }
}
