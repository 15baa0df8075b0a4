//! Choice of the VM that is asked for help.
//!
//! Load pattern: a third of hundreds of VMs, or all of a zone, are cut at the same time. None knows
//! which others are; each learns from those that it asks, and spreads its requests over those that
//! have helped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::Instant;

/// Times of [`Helpers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HelpersSettings {
    /// Time for which a VM that could not help is not asked again.
    pub unable_time: Duration,
    /// Time for which a VM that could not be reached is not asked again.
    pub unreachable_time: Duration,
    /// Time for which a VM that has helped is preferred.
    pub helped_time: Duration,
    /// Time for which nobody is asked after all that were asked for a request could not help.
    pub no_help_time: Duration,
}

impl Default for HelpersSettings {
    fn default() -> Self {
        Self {
            unable_time: Duration::from_secs(1),
            unreachable_time: Duration::from_secs(2),
            helped_time: Duration::from_secs(5),
            no_help_time: Duration::from_millis(500),
        }
    }
}

/// VM that may be asked for help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownVm {
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Whether it is in this VM's zone.
    pub is_same_zone: bool,
}

/// What this VM knows of those that it has asked for help.
#[derive(Debug, Default)]
pub struct Helpers {
    settings: HelpersSettings,
    asked: HashMap<SocketAddr, AskedVm>,
    no_help_until: Instant,
}

#[derive(Debug, Default)]
struct AskedVm {
    unable_until: Instant,
    helped_until: Instant,
}

impl Helpers {
    /// Creates the state of a VM that has asked no other one.
    pub fn new(settings: HelpersSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the VM to ask: of two at random the one that has helped lately, or is in this zone.
    pub fn choose(
        &self,
        vms: impl IntoIterator<Item = KnownVm>,
        tried: &[SocketAddr],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_unable = |address: &SocketAddr| {
            let asked = self.asked.get(address);
            asked.is_some_and(|asked| now < asked.unable_until)
        };
        let candidates: Vec<KnownVm> = vms
            .into_iter()
            .filter(|vm| !tried.contains(&vm.address) && !is_unable(&vm.address))
            .collect();
        let rank = |vm: &&KnownVm| {
            let asked = self.asked.get(&vm.address);
            let has_helped = asked.is_some_and(|asked| now < asked.helped_until);
            (has_helped, vm.is_same_zone)
        };
        let chosen = candidates.choose_multiple(rng, 2).max_by_key(rank);
        chosen.map(|vm| vm.address)
    }

    /// Returns whether it makes sense to ask for help.
    pub fn may_help(&self, now: Instant) -> bool {
        now >= self.no_help_until
    }

    /// Records that a VM has answered a request.
    pub fn record_helped(&mut self, address: SocketAddr, now: Instant) {
        let asked = self.asked.entry(address).or_default();
        asked.helped_until = now + self.settings.helped_time;
        self.no_help_until = Instant::ZERO;
    }

    /// Records that a VM has said that it cannot help.
    pub fn record_unable(&mut self, address: SocketAddr, now: Instant) {
        let unable_until = now + self.settings.unable_time;
        self.set_unable(address, unable_until);
    }

    /// Records that a VM could not be reached.
    pub fn record_unreachable(&mut self, address: SocketAddr, now: Instant) {
        let unable_until = now + self.settings.unreachable_time;
        self.set_unable(address, unable_until);
    }

    /// Records that none of those asked for a request could help: all upstreams may be down.
    pub fn record_no_help(&mut self, now: Instant) {
        self.no_help_until = now + self.settings.no_help_time;
    }

    /// Forgets VMs of which nothing recent is known.
    pub fn sweep(&mut self, now: Instant) {
        self.asked
            .retain(|_, asked| now < asked.unable_until.max(asked.helped_until));
    }

    fn set_unable(&mut self, address: SocketAddr, until: Instant) {
        let asked = self.asked.entry(address).or_default();
        asked.unable_until = until;
        asked.helped_until = Instant::ZERO;
    }
}
