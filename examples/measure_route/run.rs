//! One run of a workload under one way to choose, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::fair::{FairQueue, FairQueueSettings, Priority, QueuedRequest, TicketNumber};
use celerylever::limit::{Bucket, MILLION, RateShare, to_microtokens};
use celerylever::route::{
    Choice, ChooseError, LoadReport, PIECE_TOKENS, QueuedWork, ResponseHead, RoutingRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Begun, DECODE_COST, Engine, RequestNumber};
use crate::policy::{MODEL, Policy, Vm, WEIGHTS};
use crate::report::{Report, quantile_ms};
use crate::workload::{Arrival, EXCESSIVE, Workload};

const DEADLINE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_AGE: Duration = Duration::from_millis(200);
const MEAN_PROMPT_TOKENS: f64 = 14_000.0;
/// Rate of a customer, as a multiple of what it sends on average, and its burst in seconds.
const RATE_HEADROOM: f64 = 1.3;
const BURST_SECONDS: f64 = 3.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(RequestNumber),
    Computed(usize, RequestNumber),
    Decoded(usize, RequestNumber),
    Poll(usize, usize),
    Reported(usize, usize, usize, usize),
}

struct Request {
    arrival: Arrival,
    vm: usize,
    ask: RoutingRequest,
    choice: Option<Choice>,
    cached_pieces: usize,
}

struct World<'a> {
    workload: &'a Workload,
    policy: Policy,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    queues: Vec<Vec<FairQueue>>,
    holds: HashMap<RequestNumber, QueuedWork>,
    tickets: Vec<HashMap<(usize, TicketNumber), RequestNumber>>,
    buckets: Vec<Bucket>,
    requests: Vec<Request>,
    first_tokens: Vec<Vec<Duration>>,
    computed_ever: HashSet<u64>,
    wasted_tokens: u64,
    hit_tokens: u64,
    prompt_tokens: u64,
    busy: Duration,
    refused: [u64; 2],
    sent: [u64; 2],
}

/// Runs a workload.
pub(crate) fn run(workload: &Workload, policy: Policy, seed: u64) -> Report {
    let mut world = World::new(workload, policy, seed);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now > workload.duration + DEADLINE {
            break;
        }
        world.step(event, now);
    }
    world.report()
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: Policy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let requests: Vec<Request> = workload
            .arrivals(seed)
            .into_iter()
            .map(|arrival| Request {
                vm: rng.random_range(0..workload.vms),
                ask: RoutingRequest::new(MODEL.into(), WEIGHTS.into(), arrival.prefix.clone()),
                choice: None,
                cached_pieces: 0,
                arrival,
            })
            .collect();
        let bucket = |customer| {
            let rate = workload.rate_of(customer) * MEAN_PROMPT_TOKENS * RATE_HEADROOM;
            let burst = (rate * BURST_SECONDS) as u64;
            let share = RateShare {
                rate_tokens_per_s: rate as u64,
                burst_tokens: burst,
                parts_per_million: MILLION,
            };
            Bucket::new(share, share.burst(), Duration::ZERO)
        };
        let queue = |_| FairQueue::new(FairQueueSettings::default());
        let queues = || (0..workload.engines).map(queue).collect();
        let engine = |_| Engine::new(workload.slots, workload.pieces_max);
        let mut world = Self {
            workload,
            policy,
            events: BinaryHeap::new(),
            sequence: 0,
            engines: (0..workload.engines).map(engine).collect(),
            vms: (0..workload.vms)
                .map(|vm| Vm::new(vm, workload, seed))
                .collect(),
            queues: (0..workload.vms).map(|_| queues()).collect(),
            holds: HashMap::new(),
            tickets: vec![HashMap::new(); workload.vms],
            buckets: (0..workload.customers()).map(bucket).collect(),
            first_tokens: vec![Vec::new(); workload.customers()],
            computed_ever: HashSet::new(),
            wasted_tokens: 0,
            hit_tokens: 0,
            prompt_tokens: 0,
            busy: Duration::ZERO,
            refused: [0; 2],
            sent: [0; 2],
            requests,
        };
        for number in 0..world.requests.len() {
            let at = world.requests[number].arrival.at;
            world.at(at, Event::Arrives(number));
        }
        for vm in 0..workload.vms {
            for engine in 0..workload.engines {
                let at = POLL_INTERVAL.mul_f64(rng.random());
                world.at(at, Event::Poll(vm, engine));
            }
        }
        world
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrives(number) => self.arrives(number, now),
            Event::Computed(engine, number) => self.computed(engine, number, now),
            Event::Decoded(engine, number) => self.decoded(engine, number, now),
            Event::Poll(vm, engine) => self.poll(vm, engine, now),
            Event::Reported(vm, engine, running, queued) => {
                self.reported(vm, engine, running, queued, now);
            }
        }
    }

    fn arrives(&mut self, number: RequestNumber, now: Instant) {
        let request = &self.requests[number];
        let customer = request.arrival.customer;
        let class = usize::from(customer == EXCESSIVE);
        self.sent[class] += 1;
        let tokens = request.arrival.prefix.prompt_tokens() + request.arrival.output_tokens;
        if self.workload.is_limited
            && self.buckets[customer]
                .try_consume(to_microtokens(tokens), now)
                .is_err()
        {
            self.refused[class] += 1;
            return;
        }
        if let Err(ChooseError::Saturated(hold)) = self.start(number, now) {
            self.wait(number, hold, tokens, now);
        }
    }

    fn wait(&mut self, number: RequestNumber, hold: QueuedWork, cost: u64, now: Instant) {
        let request = &self.requests[number];
        let class = usize::from(request.arrival.customer == EXCESSIVE);
        let waiting = QueuedRequest {
            customer: request.arrival.customer.to_string(),
            weight: (self.workload.rate_of(request.arrival.customer) * 10.0) as u32,
            cost,
            priority: Priority::Interactive,
            deadline: request.arrival.at + DEADLINE,
        };
        let vm = request.vm;
        match self.queues[vm][usize::from(hold.engine)].push(waiting, now) {
            Ok(admitted) => {
                self.vms[vm].chooser.add_queued(hold);
                self.holds.insert(number, hold);
                let engine = usize::from(hold.engine);
                self.tickets[vm].insert((engine, admitted.ticket), number);
                if let Some((ticket, _)) = admitted.displaced {
                    let displaced = self.tickets[vm][&(engine, ticket)];
                    self.vms[vm].chooser.remove_queued(self.holds[&displaced]);
                    let customer = self.requests[displaced].arrival.customer;
                    self.refused[usize::from(customer == EXCESSIVE)] += 1;
                }
            }
            Err(_) => self.refused[class] += 1,
        }
    }

    fn start(&mut self, number: RequestNumber, now: Instant) -> Result<(), ChooseError> {
        let request = &mut self.requests[number];
        let vm = &mut self.vms[request.vm];
        let chosen = vm.choose(
            self.policy,
            &mut request.ask,
            &self.engines,
            self.workload,
            now,
        );
        let (engine, choice) = chosen?;
        request.choice = choice;
        let prefix = request.arrival.prefix.clone();
        self.engines[engine].waiting.push_back((number, prefix));
        self.begin(engine, now);
        Ok(())
    }

    fn begin(&mut self, engine: usize, now: Instant) {
        let Some(begun) = self.engines[engine].begin(now) else {
            return;
        };
        self.count(&begun, now);
        self.at(begun.until, Event::Computed(engine, begun.request));
    }

    fn count(&mut self, begun: &Begun, now: Instant) {
        let request = &mut self.requests[begun.request];
        request.cached_pieces = begun.cached_pieces;
        let tokens = request.arrival.prefix.prompt_tokens();
        self.prompt_tokens += tokens;
        self.hit_tokens += tokens - begun.missed_tokens;
        self.busy += begun.until - now;
        for hash in &request.arrival.prefix.hashes()[1 + begun.cached_pieces..] {
            if !self.computed_ever.insert(*hash) {
                self.wasted_tokens += PIECE_TOKENS;
            }
        }
    }

    fn computed(&mut self, engine: usize, number: RequestNumber, now: Instant) {
        self.engines[engine].computing = None;
        self.engines[engine].decoding += 1;
        let request = &self.requests[number];
        let vm = &mut self.vms[request.vm];
        let elapsed = now - request.arrival.at + vm.distance(engine, self.workload);
        self.first_tokens[request.arrival.customer].push(elapsed);
        if let Some(choice) = &request.choice {
            let head = ResponseHead {
                incarnation: Some(1),
                weight_version: Some(WEIGHTS.into()),
                cached_tokens: Some(request.cached_pieces as u64 * PIECE_TOKENS),
                is_first_token: true,
            };
            vm.chooser.record_response(&request.ask, choice, &head, now);
        }
        let decode = DECODE_COST * request.arrival.output_tokens as u32;
        self.at(now + decode, Event::Decoded(engine, number));
        self.begin(engine, now);
    }

    fn decoded(&mut self, engine: usize, number: RequestNumber, now: Instant) {
        self.engines[engine].decoding -= 1;
        let request = &self.requests[number];
        let vm = request.vm;
        self.vms[vm].finished(engine, request.choice.as_ref());
        self.begin(engine, now);
        self.start_waiting(vm, engine, now);
    }

    fn start_waiting(&mut self, vm: usize, engine: usize, now: Instant) {
        while self.vms[vm].chooser.has_room(engine as u16) {
            let Some((ticket, waiting)) = self.queues[vm][engine].pop(now) else {
                return;
            };
            let number = self.tickets[vm][&(engine, ticket)];
            self.vms[vm].chooser.remove_queued(self.holds[&number]);
            if waiting.deadline <= now {
                let customer = self.requests[number].arrival.customer;
                self.refused[usize::from(customer == EXCESSIVE)] += 1;
                continue;
            }
            if let Err(ChooseError::Saturated(hold)) = self.start(number, now) {
                self.wait(number, hold, waiting.cost, now);
            }
        }
    }

    fn poll(&mut self, vm: usize, engine: usize, now: Instant) {
        let (running, queued) = self.engines[engine].load();
        self.at(
            now + REPORT_AGE,
            Event::Reported(vm, engine, running, queued),
        );
        if now < self.workload.duration {
            self.at(now + POLL_INTERVAL, Event::Poll(vm, engine));
        }
    }

    fn reported(&mut self, vm: usize, engine: usize, running: usize, queued: usize, now: Instant) {
        let report = LoadReport {
            incarnation: 1,
            weight_version: WEIGHTS.into(),
            running,
            queued,
            age: REPORT_AGE,
        };
        let chooser = &mut self.vms[vm].chooser;
        chooser.apply_report(engine as u16, &report, now, false, now);
        self.start_waiting(vm, engine, now);
    }

    fn report(mut self) -> Report {
        let p95 = self
            .first_tokens
            .iter_mut()
            .map(|times| quantile_ms(times, 0.95));
        let mut p95: Vec<f64> = p95.collect();
        p95.sort_by(f64::total_cmp);
        let mut all = self.first_tokens.concat();
        let percent = |class: usize| 100.0 * self.refused[class] as f64 / self.sent[class] as f64;
        let seconds = self.workload.duration.as_secs_f64();
        Report {
            hit_percent: 100.0 * self.hit_tokens as f64 / self.prompt_tokens as f64,
            wasted_tokens_per_s: self.wasted_tokens as f64 / seconds,
            first_token_ms: [0.5, 0.95, 0.99].map(|share| quantile_ms(&mut all, share)),
            worst_to_median: p95[p95.len() - 1] / p95[p95.len() / 2],
            refused_inside: percent(0),
            refused_above: percent(1),
            busy_percent: 100.0 * self.busy.as_secs_f64() / seconds / self.engines.len() as f64,
        }
    }
}
