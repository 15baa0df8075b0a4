//! Three processes that want the lease, simulated with faults, against the store's own record.
//!
//! The naive twin is the record that the store holds: whoever believes to hold the lease must be
//! the one it names, under the fencing number it names.

mod orders;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use celerylever::gateway::OrderWindow;
use celerylever::steward::{
    LeaseAction, LeaseCore, LeaseHolder, LeaseObject, LeaseRecord, LeaseSettings, LeaseWriteOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use orders::FirstOrder;

const NODES: usize = 3;
const RUN_MICROS: u64 = 20_000_000;
const TICK_MICROS: u64 = 500;
const TIMEOUT_MICROS: u64 = 25_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Arrive { node: usize, call: usize },
    Answer { node: usize, call: usize },
    Timeout { node: usize, call: usize },
}

struct Call {
    node: usize,
    incarnation: u64,
    action: LeaseAction,
    reply: Option<Reply>,
    is_answered: bool,
}

enum Reply {
    Read(LeaseObject),
    Write(LeaseWriteOutcome),
}

struct Node {
    core: LeaseCore,
    incarnation: u64,
    rate_per_mille: u64,
    paused_until: u64,
}

#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) violations: usize,
    pub(crate) terms: u64,
    pub(crate) held_ticks: u64,
    /// Number of checks at which a node could send orders.
    pub(crate) order_ticks: u64,
    /// Shortest time between the windows of two holders for orders, in microseconds.
    pub(crate) order_gap_micros_min: Option<u64>,
    /// Shortest time from the arrival of an order to an order of another holder, in microseconds.
    pub(crate) arrival_gap_micros_min: Option<u64>,
    /// Number of terms whose holder could send orders within the lease duration.
    pub(crate) inherited_terms: usize,
}

pub(crate) struct Simulation {
    random: StdRng,
    settings: LeaseSettings,
    now: u64,
    nodes: Vec<Node>,
    object: LeaseObject,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    outcome: Outcome,
    order_window: OrderWindow,
    first_order: FirstOrder,
    /// Whether some engine lacks the target weights.
    has_due_orders: bool,
    /// Term of each node that holds the lease, and when the node acquired it by its own clock.
    acquired: [Option<(u64, Duration)>; NODES],
    /// Node that could send orders last, and when.
    last_orders: Option<(usize, u64)>,
    /// Node whose order arrived last, and when.
    last_arrival: Option<(usize, u64)>,
}

pub(crate) fn settings(margin: Duration) -> LeaseSettings {
    LeaseSettings {
        takeover_margin: margin,
        poll_interval: Duration::from_millis(5),
        ..LeaseSettings::from_lease_ttl(Duration::from_millis(100))
    }
}

pub(crate) fn holder(node: usize, incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        vm: format!("v{node}"),
        incarnation,
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, settings: LeaseSettings) -> Self {
        let order_window = OrderWindow {
            lease_ttl: settings.lease_ttl,
            engines_check_fencing: false,
        };
        Self::with_order_window(seed, settings, order_window)
    }

    pub(crate) fn with_order_window(
        seed: u64,
        settings: LeaseSettings,
        order_window: OrderWindow,
    ) -> Self {
        let settings = LeaseSettings {
            tracks_idle_time: !order_window.engines_check_fencing,
            ..settings
        };
        let node = |index: usize| Node {
            core: LeaseCore::new(settings, holder(index, 1)),
            incarnation: 1,
            rate_per_mille: [960, 1_040][(index + seed as usize) % 2],
            paused_until: 0,
        };
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            settings,
            now: 0,
            nodes: (0..NODES).map(node).collect(),
            object: LeaseObject::default(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            outcome: Outcome::default(),
            order_window,
            first_order: FirstOrder::AfterWrite,
            has_due_orders: false,
            acquired: [None; NODES],
            last_orders: None,
            last_arrival: None,
        };
        simulation.schedule(0, Event::Tick);
        simulation
    }

    pub(crate) fn with_first_order(self, first_order: FirstOrder) -> Self {
        Self {
            first_order,
            ..self
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        let key = (self.now + after, self.event_count, event);
        self.events.push(Reverse(key));
    }

    fn local(&self, node: usize) -> Duration {
        let micros = self.now * self.nodes[node].rate_per_mille / 1_000;
        Duration::from_micros(micros + 5_000_000 * node as u64)
    }

    pub(crate) fn run(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > RUN_MICROS {
                break;
            }
            self.now = now;
            self.handle(event);
            self.check();
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Arrive { call, .. } => self.arrive(call),
            Event::Answer { node, .. } | Event::Timeout { node, .. }
                if self.now < self.nodes[node].paused_until =>
            {
                let after = self.nodes[node].paused_until - self.now;
                self.schedule(after, event);
            }
            Event::Answer { call, .. } => {
                let reply = self.calls[call].reply.take();
                self.deliver(call, reply);
            }
            Event::Timeout { call, .. } => {
                let reply = self.timed_out(call);
                self.deliver(call, reply);
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_MICROS, Event::Tick);
        // Orders are due for 100 ms of 500 ms on average.
        self.has_due_orders = match self.has_due_orders {
            true => !self.random.random_bool(1.0 / 200.0),
            false => self.random.random_bool(1.0 / 800.0),
        };
        for node in 0..self.nodes.len() {
            self.disturb(node);
            if self.now >= self.nodes[node].paused_until {
                self.act(node);
            }
        }
    }

    /// Pauses, restarts or asks the node to release, now and then.
    fn disturb(&mut self, node: usize) {
        let local = self.local(node);
        match self.random.random_range(0..2_000) {
            0..4 => {
                let pause = self.random.random_range(1_000..300_000);
                self.nodes[node].paused_until = self.now + pause;
            }
            4 => self.restart(node),
            5 => self.nodes[node].core.release(local),
            _ if self.nodes[node].core.is_released() => self.restart(node),
            _ => {}
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node].incarnation = incarnation;
        self.nodes[node].core = LeaseCore::new(self.settings, holder(node, incarnation));
    }

    fn act(&mut self, node: usize) {
        let local = self.local(node);
        let Some(action) = self.nodes[node].core.next_action(local) else {
            return;
        };
        let call = self.calls.len();
        self.calls.push(Call {
            node,
            incarnation: self.nodes[node].incarnation,
            action,
            reply: None,
            is_answered: false,
        });
        self.schedule(TIMEOUT_MICROS, Event::Timeout { node, call });
        if self.random.random_bool(0.95) {
            let delay = self.delay();
            self.schedule(delay, Event::Arrive { node, call });
        }
    }

    fn delay(&mut self) -> u64 {
        match self.random.random_range(0..20) {
            0 => self.random.random_range(1_000..400_000),
            1..4 => self.random.random_range(1_000..20_000),
            _ => self.random.random_range(10..300),
        }
    }

    fn arrive(&mut self, call: usize) {
        let reply = match self.calls[call].action.clone() {
            LeaseAction::Read => Reply::Read(self.object.clone()),
            LeaseAction::Write {
                expected_version,
                record,
            } => Reply::Write(self.write(expected_version, record)),
        };
        let node = self.calls[call].node;
        self.calls[call].reply = Some(reply);
        if self.random.random_bool(0.9) {
            let delay = self.delay();
            self.schedule(delay, Event::Answer { node, call });
        }
    }

    fn write(&mut self, expected_version: u64, record: LeaseRecord) -> LeaseWriteOutcome {
        if self.object.version != expected_version {
            return LeaseWriteOutcome::Conflict(self.object.clone());
        }
        let previous = self.object.record.replace(record.clone());
        let previous = previous.map_or((None, 0), |old| (old.holder, old.fencing_number));
        let is_new_holder = record.holder.is_some() && record.holder != previous.0;
        let is_rising = match is_new_holder {
            true => record.fencing_number > previous.1,
            false => record.fencing_number >= previous.1,
        };
        self.outcome.violations += usize::from(!is_rising);
        self.outcome.terms = self.outcome.terms.max(record.fencing_number);
        self.object.version += 1;
        LeaseWriteOutcome::Applied(self.object.version)
    }

    /// Answers as the store's client does: unknown, or not applied behind a barrier.
    fn timed_out(&mut self, call: usize) -> Option<Reply> {
        let LeaseAction::Write {
            expected_version, ..
        } = self.calls[call].action
        else {
            return None;
        };
        let is_untouched = self.object.version == expected_version && expected_version > 0;
        if self.calls[call].is_answered || !is_untouched || self.random.random_bool(0.5) {
            return Some(Reply::Write(LeaseWriteOutcome::Unknown));
        }
        self.object.version += 1;
        Some(Reply::Write(LeaseWriteOutcome::NotApplied))
    }

    fn deliver(&mut self, call: usize, reply: Option<Reply>) {
        let Call {
            node, incarnation, ..
        } = self.calls[call];
        let is_answered = std::mem::replace(&mut self.calls[call].is_answered, true);
        if is_answered || self.nodes[node].incarnation != incarnation {
            return;
        }
        let local = self.local(node);
        let core = &mut self.nodes[node].core;
        match reply {
            None => core.read_completed(local, None),
            Some(Reply::Read(object)) => core.read_completed(local, Some(object)),
            Some(Reply::Write(answer)) => core.write_completed(local, answer),
        }
    }

    fn check(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let Some(held) = node.core.held(self.local(index)) else {
                continue;
            };
            self.check_orders(index, held);
            let node = &self.nodes[index];
            self.outcome.held_ticks += 1;
            let named = holder(index, node.incarnation);
            let is_named = self.object.record.as_ref().is_some_and(|record| {
                record.holder.as_ref() == Some(&named)
                    && record.fencing_number == held.fencing_number
            });
            self.outcome.violations += usize::from(!is_named);
        }
    }
}
