//! Replay of plain servers that many VMs share, one of them slow in turn.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use celerylever::gateway::{
    AnnouncedServerLoad, Candidate, LoadRecord, Placement, PlacementSettings, PlainCandidate,
    PlainChoice, ResourceDemand, UsualSpeed, choose_candidate, choose_plain,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const VMS: usize = 62;
const SERVERS: usize = 3;
const SLOTS: u32 = 6;
const WAITING_PLACES: usize = 24;
/// Usual time of a request, which makes 200 a second and server.
const WORK_US: u64 = 30_000;
const SLOW_FACTOR: u64 = 4;
/// Time for which one server is slow before the next one is.
const SLOW_PHASE_US: u64 = 600_000;
const DURATION_US: u64 = 12_000_000;
const IN_TIME_US: u64 = 150_000;
/// Time of a message between a VM and a server.
const LINK_US: u64 = 1_000;
/// Interval at which a VM tries to place what it has queued.
const QUEUE_PASS_US: u64 = 25_000;
/// Age of the loads that heartbeats tell of.
const HEARTBEAT_AGE_US: u64 = 250_000;
const HISTORY_STEP_US: u64 = 10_000;
/// Time between two messages of a zone's representative with news of loads.
const NEWS_INTERVAL_US: u64 = 50_000;

/// Rule by which a VM chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rule {
    /// The choice of services that announce no slowness.
    Common,
    /// The choice by expected completion time.
    ByLoad,
}

/// What VMs see of the servers' loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sight {
    /// Each VM sees the load of each server once in this time.
    Every { interval_us: u64 },
    /// Each VM sees only the loads in the responses to its own requests.
    OwnResponses,
    /// Besides, each VM tells the others of changes.
    News,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Outcome {
    pub(super) received: u32,
    pub(super) in_time: u32,
    pub(super) rejected: u32,
}

impl Outcome {
    pub(super) fn in_time_percent(&self) -> f64 {
        100.0 * f64::from(self.in_time) / f64::from(self.received)
    }

    pub(super) fn rejected_percent(&self) -> f64 {
        100.0 * f64::from(self.rejected) / f64::from(self.received)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    vm: usize,
    received_us: u64,
    sent_us: u64,
    number: u64,
    /// Expected multiple of the usual work, in thousandths.
    multiple_permille: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AtServer(usize, Request),
    WorkDone(usize, Request),
    /// Load in a response, or in a reply to a question without a request.
    AtVm(usize, usize, (u32, u32, u64), Option<(Request, bool)>),
    Ask(usize, usize),
    /// Load that a VM was told, with the time of its announcement.
    Told(usize, (u32, u32, u64), u64),
    QueuePass(usize),
    Sample,
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Request>,
    /// Requests of all VMs in flight there at regular times.
    history: Vec<u32>,
    in_flight: u32,
}

#[derive(Debug, Default)]
struct Vm {
    records: [LoadRecord; SERVERS],
    speeds: [UsualSpeed; SERVERS],
    in_flight: [u32; SERVERS],
    queue: VecDeque<u64>,
}

pub(super) struct Replay {
    rule: Rule,
    sight: Sight,
    is_one_slow: bool,
    random: StdRng,
    /// Draws the arrivals, which are the same with each rule.
    arrivals: StdRng,
    servers: Vec<Server>,
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_number: u64,
    interval_us: f64,
    outcome: Outcome,
}

impl Replay {
    pub(super) fn run(rule: Rule, sight: Sight, rate_per_s: u64, is_one_slow: bool) -> Outcome {
        let mut replay = Self {
            rule,
            sight,
            is_one_slow,
            random: StdRng::seed_from_u64(5),
            arrivals: StdRng::seed_from_u64(7),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            events: BinaryHeap::new(),
            next_number: 0,
            interval_us: 1e6 / rate_per_s as f64,
            outcome: Outcome::default(),
        };
        replay.push(0, Event::Arrival);
        replay.push(0, Event::Sample);
        for vm in 0..VMS {
            let at = replay.random.random_range(0..QUEUE_PASS_US);
            replay.push(at, Event::QueuePass(vm));
            if let Sight::Every { interval_us } = sight {
                for server in 0..SERVERS {
                    let at = replay.random.random_range(0..interval_us);
                    replay.push(at, Event::Ask(vm, server));
                }
            }
        }
        while let Some(Reverse((now_us, _, event))) = replay.events.pop() {
            if now_us > DURATION_US {
                break;
            }
            replay.handle(now_us, event);
        }
        replay.outcome
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.next_number += 1;
        self.events.push(Reverse((at_us, self.next_number, event)));
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival => {
                let gap = -self.interval_us * (1.0 - self.arrivals.random::<f64>()).ln();
                self.push(now_us + gap as u64 + 1, Event::Arrival);
                let vm = self.arrivals.random_range(0..VMS);
                // What arrives last has no time to be served within the replay.
                if now_us + 2 * IN_TIME_US < DURATION_US {
                    self.outcome.received += 1;
                    self.vms[vm].queue.push_back(now_us);
                    self.place_queued(vm, now_us);
                }
            }
            Event::AtServer(server, request) => self.arrive(server, request, now_us),
            Event::WorkDone(server, request) => {
                self.servers[server].running -= 1;
                if let Some(next) = self.servers[server].waiting.pop_front() {
                    self.start(server, next, now_us);
                }
                self.respond(server, request, false, now_us);
            }
            Event::AtVm(vm, server, load, response) => {
                self.receive(vm, server, load, response, now_us);
            }
            Event::Ask(vm, server) => {
                if let Sight::Every { interval_us } = self.sight {
                    let load = self.load(server, now_us);
                    let reply = Event::AtVm(vm, server, load, None);
                    self.push(now_us + LINK_US, reply);
                    self.push(now_us + interval_us, Event::Ask(vm, server));
                }
            }
            Event::Told(server, (running, waiting, slowness_percent), at_us) => {
                let load = announced(running, waiting, slowness_percent);
                for vm in &mut self.vms {
                    vm.records[server].record_told(load, Duration::from_micros(at_us));
                }
            }
            Event::QueuePass(vm) => {
                self.place_queued(vm, now_us);
                self.push(now_us + QUEUE_PASS_US, Event::QueuePass(vm));
            }
            Event::Sample => {
                for server in &mut self.servers {
                    server.history.push(server.in_flight);
                }
                self.push(now_us + HISTORY_STEP_US, Event::Sample);
            }
        }
    }

    fn slow_factor(&self, server: usize, now_us: u64) -> u64 {
        let is_slow = (now_us / SLOW_PHASE_US) as usize % SERVERS == server;
        if self.is_one_slow && is_slow {
            SLOW_FACTOR
        } else {
            1
        }
    }

    fn load(&self, server: usize, now_us: u64) -> (u32, u32, u64) {
        let slowness_percent = 100 * self.slow_factor(server, now_us);
        let server = &self.servers[server];
        (
            server.running,
            server.waiting.len() as u32,
            slowness_percent,
        )
    }

    fn arrive(&mut self, server: usize, request: Request, now_us: u64) {
        if self.servers[server].running < SLOTS {
            self.start(server, request, now_us);
        } else if self.servers[server].waiting.len() < WAITING_PLACES {
            self.servers[server].waiting.push_back(request);
        } else {
            self.outcome.rejected += 1;
            self.respond(server, request, true, now_us);
        }
    }

    fn start(&mut self, server: usize, request: Request, now_us: u64) {
        self.servers[server].running += 1;
        let work = WORK_US * self.slow_factor(server, now_us);
        self.push(now_us + work, Event::WorkDone(server, request));
    }

    fn respond(&mut self, server: usize, request: Request, is_rejected: bool, now_us: u64) {
        let load = self.load(server, now_us);
        let response = Some((request, is_rejected));
        let event = Event::AtVm(request.vm, server, load, response);
        self.push(now_us + LINK_US, event);
    }

    fn receive(
        &mut self,
        vm: usize,
        server: usize,
        (running, waiting, slowness_percent): (u32, u32, u64),
        response: Option<(Request, bool)>,
        now_us: u64,
    ) {
        let now = Duration::from_micros(now_us);
        let load = announced(running, waiting, slowness_percent);
        let is_rejected = response.is_some_and(|(_, is_rejected)| is_rejected);
        let state = &mut self.vms[vm];
        let is_change = state.records[server].record(load, is_rejected, None, now);
        if is_change && self.sight == Sight::News {
            let delay_us = LINK_US * 2 + self.random.random_range(0..NEWS_INTERVAL_US);
            let told = Event::Told(server, (running, waiting, slowness_percent), now_us);
            self.push(now_us + delay_us, told);
        }
        let state = &mut self.vms[vm];
        let Some((request, is_rejected)) = response else {
            return self.place_queued(vm, now_us);
        };
        state.in_flight[server] -= 1;
        self.servers[server].in_flight -= 1;
        if is_rejected {
            state.records[server].record_rejection(now);
        } else {
            let time = Duration::from_micros(now_us - request.sent_us);
            let multiple = request.multiple_permille as f64 / 1_000.0;
            state.speeds[server].record_response(time, multiple);
            let is_in_time = now_us - request.received_us <= IN_TIME_US;
            self.outcome.in_time += u32::from(is_in_time);
        }
        self.place_queued(vm, now_us);
    }

    fn place_queued(&mut self, vm: usize, now_us: u64) {
        while let Some(received_us) = self.vms[vm].queue.front().copied() {
            let Some((server, multiple)) = self.choose(vm, now_us) else {
                return;
            };
            self.vms[vm].queue.pop_front();
            self.vms[vm].in_flight[server] += 1;
            self.vms[vm].records[server].record_sent();
            self.servers[server].in_flight += 1;
            self.next_number += 1;
            let request = Request {
                vm,
                received_us,
                sent_us: now_us,
                number: self.next_number,
                multiple_permille: (multiple * 1_000.0) as u64,
            };
            self.push(now_us + LINK_US, Event::AtServer(server, request));
        }
    }

    /// Returns the requests in flight at a server as far as a VM knows from heartbeats.
    fn fleet_requests(&self, vm: usize, server: usize, now_us: u64) -> u32 {
        let seen_us = now_us.saturating_sub(HEARTBEAT_AGE_US);
        let seen = self.servers[server]
            .history
            .get((seen_us / HISTORY_STEP_US) as usize);
        let others = seen.copied().unwrap_or(0) * (VMS as u32 - 1) / VMS as u32;
        self.vms[vm].in_flight[server] + others
    }

    fn choose(&mut self, vm: usize, now_us: u64) -> Option<(usize, f64)> {
        match self.rule {
            Rule::Common => self.choose_commonly(vm, now_us),
            Rule::ByLoad => self.choose_by_load(vm, now_us),
        }
    }

    fn choose_commonly(&mut self, vm: usize, now_us: u64) -> Option<(usize, f64)> {
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.shuffle(&mut self.random);
        let candidates: Vec<Candidate> = order
            .iter()
            .map(|server| Candidate {
                requests: self.fleet_requests(vm, *server, now_us),
                slots: 2 * SLOTS,
                memory_capacity_tokens: u64::MAX,
                is_same_zone: true,
                ..Candidate::default()
            })
            .collect();
        let demand = ResourceDemand {
            prompt_tokens: 0,
            output_tokens: 0,
            wait_objective: Duration::from_micros(IN_TIME_US),
        };
        match choose_candidate(&PlacementSettings::default(), &demand, &candidates) {
            Placement::Chosen(index) => Some((order[index], 1.0)),
            Placement::NoRoom | Placement::NoCandidate => None,
        }
    }

    fn choose_by_load(&mut self, vm: usize, now_us: u64) -> Option<(usize, f64)> {
        let now = Duration::from_micros(now_us);
        let estimates: Vec<_> = (0..SERVERS)
            .map(|server| {
                let own = self.vms[vm].in_flight[server];
                let fleet = self.fleet_requests(vm, server, now_us);
                self.vms[vm].records[server].estimate(own, fleet, SLOTS, now)
            })
            .collect();
        let candidates: Vec<PlainCandidate> = estimates
            .iter()
            .zip(&self.vms[vm].speeds)
            .map(|(estimate, speed)| PlainCandidate {
                requests: estimate.requests,
                slots: estimate.slots,
                capacity: estimate.plain_capacity(),
                service_time: speed.service_time(),
                slowness: estimate.slowness,
                age: estimate.age,
                extra_cost: Duration::ZERO,
                is_full: estimate.is_full,
            })
            .collect();
        match choose_plain(&candidates, false, self.random.random()) {
            PlainChoice::Chosen(server) => Some((server, estimates[server].work_multiple())),
            PlainChoice::NoRoom => None,
        }
    }
}

fn announced(running: u32, waiting: u32, slowness_percent: u64) -> AnnouncedServerLoad {
    AnnouncedServerLoad::new(running, waiting, SLOTS, Some(slowness_percent as f64)).unwrap()
}
