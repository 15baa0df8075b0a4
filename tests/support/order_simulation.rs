//! Engines in simulated time, with orders that arrive late, lost answers, restarts and takeovers.

use std::collections::BTreeMap;
use std::time::Duration;

use celerylever::document::FencingCheck;
use celerylever::steward::{
    EngineState, EngineTarget, HeldTerm, LoadOrder, OrderOutcome, RolloutCore, RolloutSettings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(2);
const FAULTS_UNTIL: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(240);

pub(crate) fn settings() -> RolloutSettings {
    RolloutSettings {
        idle_poll_interval: Duration::from_secs(3),
        unreachable_timeout: Duration::from_secs(1_000),
        ..RolloutSettings::from_lease_ttl(LEASE)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) is_done: bool,
    pub(crate) loading_max: usize,
    pub(crate) capacity_lost: usize,
    pub(crate) orders: usize,
}

struct Engine {
    state: EngineState,
    loaded_at: Duration,
    next: String,
    fencing: FencingCheck,
    models: Vec<String>,
}

struct Flight {
    order: LoadOrder,
    incarnation: u64,
    arrives_at: Duration,
    answered_at: Duration,
    term: u64,
    is_dropped: bool,
    answer: OrderOutcome,
}

pub(crate) struct Simulation {
    random: StdRng,
    settings: RolloutSettings,
    engines: BTreeMap<String, Engine>,
    flights: Vec<Flight>,
    core: RolloutCore,
    term: u64,
    now: Duration,
    outcome: Outcome,
}

impl Simulation {
    pub(crate) fn new(seed: u64, settings: RolloutSettings) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let engines = (0..6).map(|index| (format!("e{index}"), new_engine(index, &mut random)));
        Self {
            engines: engines.collect(),
            random,
            settings,
            flights: Vec::new(),
            core: RolloutCore::new(settings, Duration::ZERO),
            term: 1,
            now: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        self.configure();
        while self.now < END && !(self.now > FAULTS_UNTIL && self.is_done()) {
            self.now += STEP;
            self.move_engines();
            if self.now < FAULTS_UNTIL {
                self.strike();
            }
            self.deliver();
            self.steer();
            self.check();
        }
        self.outcome.is_done = self.is_done();
        self.outcome
    }

    fn configure(&mut self) {
        let targets = self.engines.iter().map(|(id, engine)| {
            let target = EngineTarget {
                models: engine.models.clone(),
                weight_version: Some("v2".into()),
                fencing_check: engine.fencing,
            };
            (id.clone(), target)
        });
        self.core.configure(self.now, targets.collect());
    }

    fn is_done(&self) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.state.weight_version == "v2" && !engine.state.loading)
    }

    fn move_engines(&mut self) {
        for engine in self.engines.values_mut() {
            if engine.state.loading && engine.loaded_at <= self.now {
                engine.state.loading = false;
                engine.state.weight_version = engine.next.clone();
            }
        }
    }

    /// Restarts an engine or hands the lease to another steward, now and then.
    fn strike(&mut self) {
        if self.random.random_bool(0.01) {
            let index = self.random.random_range(0..6);
            let state = &mut self.engines.get_mut(&format!("e{index}")).unwrap().state;
            state.incarnation += 1;
            state.loading = false;
            state.fencing = 0;
            state.weight_version = "v1".into();
        }
        if self.random.random_bool(0.004) {
            self.term += 1;
            self.core = RolloutCore::new(self.settings, self.now);
            self.configure();
        }
    }

    fn deliver(&mut self) {
        for flight in &mut self.flights {
            if flight.arrives_at > self.now || flight.is_dropped {
                continue;
            }
            flight.is_dropped = true;
            let engine = self.engines.get_mut(&flight.order.engine).unwrap();
            if engine.state.incarnation != flight.incarnation {
                continue;
            }
            let is_old = flight.order.fencing_number < engine.state.fencing;
            if is_old && engine.fencing == FencingCheck::Refuses {
                flight.answer = OrderOutcome::Refused;
                continue;
            }
            engine.state.fencing = engine.state.fencing.max(flight.order.fencing_number);
            engine.next = flight.order.weight_version.clone();
            engine.state.loading = engine.state.weight_version != engine.next;
            engine.loaded_at =
                self.now + Duration::from_millis(self.random.random_range(500..4_000));
            if flight.answered_at >= self.now && self.random.random_bool(0.7) {
                flight.answer = OrderOutcome::Accepted(engine.state.clone());
            }
        }
        let now = self.now;
        for flight in &mut self.flights {
            if flight.answered_at <= now && flight.term == self.term {
                let answer = flight.answer.clone();
                self.core.order_completed(now, &flight.order.engine, answer);
                flight.term = 0;
            }
        }
        self.flights
            .retain(|flight| !flight.is_dropped || flight.term == self.term);
    }

    fn steer(&mut self) {
        for id in self.core.due_reads(self.now) {
            let state = self.engines[&id].state.clone();
            let is_readable = self.now > FAULTS_UNTIL || self.random.random_bool(0.8);
            self.core
                .state_read(self.now, &id, is_readable.then_some(state));
        }
        let held = HeldTerm {
            fencing_number: self.term,
            valid_until: self.now + LEASE,
            idle: None,
        };
        while let Some(order) = self.core.next_order(self.now, held) {
            self.outcome.orders += 1;
            let is_lost = self.now < FAULTS_UNTIL && self.random.random_bool(0.1);
            let delay = Duration::from_millis(self.random.random_range(0..1_900));
            self.flights.push(Flight {
                incarnation: self.engines[&order.engine].state.incarnation,
                arrives_at: self.now + delay,
                answered_at: self.now + LEASE / 4,
                term: self.term,
                is_dropped: is_lost,
                answer: OrderOutcome::Unknown,
                order,
            });
        }
    }

    fn check(&mut self) {
        let loading = self.engines.values().filter(|engine| engine.state.loading);
        self.outcome.loading_max = self.outcome.loading_max.max(loading.count());
        for model in ["m", "n"] {
            let serves = |engine: &&Engine| engine.models.iter().any(|name| name == model);
            if self
                .engines
                .values()
                .filter(serves)
                .all(|engine| engine.state.loading)
            {
                self.outcome.capacity_lost += 1;
            }
        }
    }
}

/// Returns an engine of the model `m`; the first two serve `n`.
fn new_engine(index: u64, random: &mut StdRng) -> Engine {
    let model = if index < 2 { "n" } else { "m" };
    let fencing = match random.random_bool(0.5) {
        true => FencingCheck::Refuses,
        false => FencingCheck::Ignores,
    };
    Engine {
        state: EngineState {
            incarnation: 10 * index,
            fencing: 0,
            weight_version: "v1".into(),
            loading: false,
        },
        loaded_at: Duration::ZERO,
        next: "v1".into(),
        fencing,
        models: vec![model.into()],
    }
}
