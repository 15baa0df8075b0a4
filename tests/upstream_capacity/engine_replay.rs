//! Replay of engines that many VMs fill, which know of each other by old heartbeats.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use celerylever::gateway::{
    Candidate, Headroom, Placement, PlacementSettings, RecentUse, ResourceDemand, choose_candidate,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const VMS: usize = 62;
const ENGINES: usize = 4;
const SLOTS: u32 = 64;
const MEMORY_TOKENS: u64 = 247_166;
/// Prompt and output tokens, time at the engine, and requests a second.
const CLASSES: [Class; 2] = [
    Class {
        prompt_tokens: 11_992,
        output_tokens: 55,
        time_ms: 2_500,
        rate_per_s: 28.0,
    },
    Class {
        prompt_tokens: 2_368,
        output_tokens: 3,
        time_ms: 600,
        rate_per_s: 98.0,
    },
];
const DURATION_MS: u64 = 12_000;
/// Time after which the engines are full.
const WARM_UP_MS: u64 = 4_000;
const QUEUE_PASS_MS: u64 = 25;
/// Time that a request waits in a queue at most.
const WAIT_MAX_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy)]
struct Class {
    prompt_tokens: u64,
    output_tokens: u64,
    time_ms: u64,
    rate_per_s: f64,
}

impl Class {
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rule {
    /// Each VM uses all the room that it sees.
    Common,
    /// Each VM uses its share of the room that is left.
    Shared,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Outcome {
    arrived: u64,
    rejected: u64,
    /// Sum of the part of the memory that may be used and is, over the time in which VMs queue
    /// requests.
    used_sum: f64,
    samples: u32,
}

impl Outcome {
    pub(super) fn served(&self) -> u64 {
        self.arrived - self.rejected
    }

    pub(super) fn rejected_percent(&self) -> f64 {
        100.0 * self.rejected as f64 / self.arrived as f64
    }

    pub(super) fn used_percent(&self) -> f64 {
        100.0 * self.used_sum / f64::from(self.samples)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    requests: u32,
    memory_tokens: u64,
}

impl Load {
    fn add(&mut self, class: Class) {
        self.requests += 1;
        self.memory_tokens += class.memory_tokens();
    }

    fn subtract(&mut self, class: Class) {
        self.requests -= 1;
        self.memory_tokens -= class.memory_tokens();
    }
}

#[derive(Debug, Default)]
struct Vm {
    own: [Load; ENGINES],
    recent: [RecentUse; ENGINES],
    queue: VecDeque<(u64, usize)>,
}

pub(super) struct Replay {
    rule: Rule,
    random: StdRng,
    engines: [Load; ENGINES],
    vms: Vec<Vm>,
    /// Ends of requests: time, engine, VM and class.
    ends: BinaryHeap<Reverse<(u64, usize, usize, usize)>>,
    /// Loads of all VMs at each millisecond.
    history: Vec<[Load; ENGINES]>,
    outcome: Outcome,
}

impl Replay {
    pub(super) fn run(rule: Rule) -> Outcome {
        let mut replay = Self {
            rule,
            random: StdRng::seed_from_u64(3),
            engines: [Load::default(); ENGINES],
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            ends: BinaryHeap::new(),
            history: Vec::new(),
            outcome: Outcome::default(),
        };
        let mut arrivals = StdRng::seed_from_u64(11);
        for now_ms in 0..DURATION_MS {
            replay.end_requests(now_ms);
            replay.history.push(replay.engines);
            for (number, class) in CLASSES.iter().enumerate() {
                if arrivals.random::<f64>() < class.rate_per_s / 1_000.0 {
                    let vm = arrivals.random_range(0..VMS);
                    replay.vms[vm].queue.push_back((now_ms, number));
                    replay.place_queued(vm, now_ms);
                }
            }
            for vm in (0..VMS).filter(|vm| (now_ms + *vm as u64).is_multiple_of(QUEUE_PASS_MS)) {
                replay.place_queued(vm, now_ms);
            }
            replay.sample(now_ms);
        }
        replay.outcome
    }

    fn sample(&mut self, now_ms: u64) {
        let queued: usize = self.vms.iter().map(|vm| vm.queue.len()).sum();
        if now_ms >= WARM_UP_MS && queued > 0 {
            let used: u64 = self.engines.iter().map(|load| load.memory_tokens).sum();
            let usable = (MEMORY_TOKENS * ENGINES as u64) as f64
                * PlacementSettings::default().memory_fraction;
            self.outcome.used_sum += used as f64 / usable;
            self.outcome.samples += 1;
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, engine, vm, class))) = self.ends.peek().copied()
            && at_ms <= now_ms
        {
            self.ends.pop();
            self.engines[engine].subtract(CLASSES[class]);
            self.vms[vm].own[engine].subtract(CLASSES[class]);
            let memory_tokens = CLASSES[class].memory_tokens();
            let now = Duration::from_millis(now_ms);
            self.vms[vm].recent[engine].record_ended(memory_tokens, now);
            self.place_queued(vm, now_ms);
        }
    }

    fn place_queued(&mut self, vm: usize, now_ms: u64) {
        self.vms[vm]
            .queue
            .retain(|(queued_ms, _)| queued_ms + WAIT_MAX_MS > now_ms);
        let queue = std::mem::take(&mut self.vms[vm].queue);
        for (queued_ms, number) in queue {
            match self.choose(vm, CLASSES[number], now_ms) {
                Some(engine) => self.send(vm, engine, number, now_ms),
                None => self.vms[vm].queue.push_back((queued_ms, number)),
            }
        }
    }

    fn send(&mut self, vm: usize, engine: usize, number: usize, now_ms: u64) {
        let class = CLASSES[number];
        let load = self.engines[engine];
        let is_counted = now_ms >= WARM_UP_MS;
        self.outcome.arrived += u64::from(is_counted);
        let has_room =
            load.requests < SLOTS && load.memory_tokens + class.memory_tokens() <= MEMORY_TOKENS;
        if !has_room {
            self.outcome.rejected += u64::from(is_counted);
            return;
        }
        self.engines[engine].add(class);
        self.vms[vm].own[engine].add(class);
        let now = Duration::from_millis(now_ms);
        self.vms[vm].recent[engine].record_sent(class.memory_tokens(), now);
        let end = (now_ms + class.time_ms, engine, vm, number);
        self.ends.push(Reverse(end));
    }

    /// Returns the load of all VMs as one VM knows it: its own, and the others' by heartbeats.
    fn seen_load(&self, vm: usize, engine: usize, now_ms: u64) -> Load {
        let age_ms = 100 + (vm as u64 * 300) / VMS as u64;
        let seen = self.history[now_ms.saturating_sub(age_ms) as usize][engine];
        let own = self.vms[vm].own[engine];
        let others = |count: u64| count * (VMS as u64 - 1) / VMS as u64;
        Load {
            requests: own.requests + others(u64::from(seen.requests)) as u32,
            memory_tokens: own.memory_tokens + others(seen.memory_tokens),
        }
    }

    fn choose(&mut self, vm: usize, class: Class, now_ms: u64) -> Option<usize> {
        let now = Duration::from_millis(now_ms);
        let settings = PlacementSettings::default();
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.shuffle(&mut self.random);
        let candidates: Vec<Candidate> = order
            .iter()
            .map(|engine| {
                let load = self.seen_load(vm, *engine, now_ms);
                let usable = MEMORY_TOKENS as f64 * settings.memory_fraction;
                let headroom = Headroom {
                    requests: f64::from(SLOTS) - f64::from(load.requests),
                    memory_tokens: usable - load.memory_tokens as f64,
                    vms: VMS,
                };
                let recent = self.vms[vm].recent[*engine];
                let seed = (vm * ENGINES + engine) as u64;
                let refusal = headroom.refusal(class.memory_tokens(), recent, seed, now);
                Candidate {
                    memory_tokens: load.memory_tokens,
                    memory_capacity_tokens: MEMORY_TOKENS,
                    requests: load.requests,
                    slots: SLOTS,
                    is_same_zone: true,
                    is_share_used: self.rule == Rule::Shared && refusal.is_some(),
                    ..Candidate::default()
                }
            })
            .collect();
        let demand = ResourceDemand {
            prompt_tokens: class.prompt_tokens,
            output_tokens: class.output_tokens,
            wait_objective: Duration::from_millis(500),
        };
        match choose_candidate(&settings, &demand, &candidates) {
            Placement::Chosen(index) => Some(order[index]),
            Placement::NoRoom | Placement::NoCandidate => None,
        }
    }
}
