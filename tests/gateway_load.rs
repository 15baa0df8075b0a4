//! Loads at their worst, replayed on engines that read prompts one after the other: how requests
//! are placed, wait and are turned away, beside random placement without a queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use celerylever::gateway::{
    Candidate, Placement, PlacementSettings, QueueSettings, QueuedRequest, RequestQueue,
    ResourceDemand, Ticket, choose_candidate, first_event_time_max,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const ENGINES: usize = 4;
const SLOTS: u32 = 64;
const MEMORY_TOKENS: u64 = 260_000;
/// Time that an engine writes an answer for after its first event.
const ANSWER_MS: u64 = 300;
/// Expected length of an answer.
const ANSWER_TOKENS: u64 = 60;
/// Length of a replay.
const REPLAY_MS: u64 = 5_000;

/// One kind of request of a load.
#[derive(Debug, Clone, Copy)]
struct Flow {
    rank: u8,
    from_ms: u64,
    to_ms: u64,
    /// Time between clumps, and requests that arrive at once.
    every_ms: u64,
    clump: u64,
    /// Shared parts that its requests draw from, and their length.
    shared_parts: u64,
    shared_tokens: u64,
    own_tokens: u64,
    objective_ms: u64,
    deadline_ms: u64,
}

const CALM: Flow = Flow {
    rank: 1,
    from_ms: 0,
    to_ms: REPLAY_MS,
    every_ms: 20,
    clump: 1,
    shared_parts: 8,
    shared_tokens: 2_000,
    own_tokens: 800,
    objective_ms: 500,
    deadline_ms: 3_000,
};

/// Many callers come at once: three times what can be read, for two seconds.
const BURST: &[Flow] = &[
    CALM,
    Flow {
        from_ms: 2_000,
        to_ms: 4_000,
        every_ms: 5,
        own_tokens: 3_000,
        ..CALM
    },
];
/// One shared part gets most of the traffic, in clumps.
const HOT_PART: &[Flow] = &[
    CALM,
    Flow {
        every_ms: 250,
        clump: 50,
        shared_parts: 1,
        shared_tokens: 12_000,
        own_tokens: 1_000,
        ..CALM
    },
];
/// Few prompts of great length among many short ones.
const LONG_AMONG_SHORT: &[Flow] = &[
    Flow {
        every_ms: 4,
        shared_tokens: 400,
        own_tokens: 400,
        ..CALM
    },
    Flow {
        every_ms: 160,
        shared_parts: 64,
        shared_tokens: 4_000,
        own_tokens: 16_000,
        ..CALM
    },
];
/// Urgent requests beside a flood of such that can wait.
const LESS_URGENT_FLOOD: &[Flow] = &[
    Flow { rank: 0, ..CALM },
    Flow {
        rank: 3,
        every_ms: 5,
        own_tokens: 2_000,
        objective_ms: 1_500,
        deadline_ms: 6_000,
        ..CALM
    },
];

#[derive(Debug, Clone, Copy)]
struct Request {
    at_ms: u64,
    flow: Flow,
    part: (usize, u64),
}

/// What became of the requests of one rank.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    asked: u64,
    in_objective: u64,
    late: u64,
    refused: u64,
    /// Waited, and were refused once late.
    given_up: u64,
    /// Waited, and were not answered before their deadline.
    held_to_the_end: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Product,
    Random,
}

#[derive(Debug, Default)]
struct Engine {
    read_until_ms: u64,
    held: HashSet<(usize, u64)>,
    /// Tokens still to be read, by when they are.
    reading: Vec<(u64, u64)>,
    /// Memory taken, by when it is given back.
    running: Vec<(u64, u64)>,
}

impl Engine {
    fn candidate(&self, rendezvous_rank: usize, request: &Request, now_ms: u64) -> Candidate {
        let tokens = |list: &[(u64, u64)]| {
            let left = list.iter().filter(|(until, _)| *until > now_ms);
            left.map(|(_, tokens)| *tokens).collect::<Vec<_>>()
        };
        Candidate {
            rendezvous_rank,
            prefill_tokens: tokens(&self.reading).iter().sum(),
            memory_tokens: tokens(&self.running).iter().sum(),
            memory_capacity_tokens: MEMORY_TOKENS,
            requests: tokens(&self.running).len() as u32,
            slots: SLOTS,
            cached_tokens: match self.held.contains(&request.part) {
                true => request.flow.shared_tokens,
                false => 0,
            },
            is_same_zone: true,
            ..Candidate::default()
        }
    }

    /// Reads a prompt after those before it; returns when its first event comes.
    fn take(&mut self, request: &Request, now_ms: u64) -> u64 {
        let flow = request.flow;
        let shared = match self.held.insert(request.part) {
            true => flow.shared_tokens,
            false => 0,
        };
        let missed = shared + flow.own_tokens;
        let per_ms = PlacementSettings::default().prefill_tokens_per_ms;
        let read_ms = (missed as f64 / per_ms).ceil() as u64;
        self.read_until_ms = self.read_until_ms.max(now_ms) + read_ms;
        let first_event = self.read_until_ms;
        self.reading.retain(|(until, _)| *until > now_ms);
        self.running.retain(|(until, _)| *until > now_ms);
        let memory = missed + ANSWER_TOKENS;
        self.reading.push((first_event, missed));
        self.running.push((first_event + ANSWER_MS, memory));
        first_event
    }
}

struct Replay {
    policy: Policy,
    load: &'static [Flow],
    random: StdRng,
    engines: Vec<Engine>,
    queue: RequestQueue,
    waiting: HashMap<Ticket, Request>,
    /// Times at which an engine has room again.
    wakes: BinaryHeap<Reverse<u64>>,
    outcomes: BTreeMap<u8, Outcome>,
    refused_beside_an_idle_engine: u64,
}

impl Replay {
    fn run(policy: Policy, load: &'static [Flow]) -> Self {
        let mut replay = Self {
            policy,
            load,
            random: StdRng::seed_from_u64(7),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            queue: RequestQueue::new(QueueSettings::default()),
            waiting: HashMap::new(),
            wakes: BinaryHeap::new(),
            outcomes: BTreeMap::new(),
            refused_beside_an_idle_engine: 0,
        };
        for request in requests(load) {
            replay.pass_until(request.at_ms);
            replay.arrive(request);
        }
        replay.pass_until(u64::MAX);
        replay
    }

    fn outcome(&mut self, rank: u8) -> &mut Outcome {
        self.outcomes.entry(rank).or_default()
    }

    fn arrive(&mut self, request: Request) {
        let now_ms = request.at_ms;
        self.outcome(request.flow.rank).asked += 1;
        if self.policy == Policy::Random {
            let index = self.random.random_range(0..ENGINES);
            return self.send(index, request, now_ms);
        }
        // As the gateway does: what waits goes before all but the most urgent.
        let goes_first = self.queue.is_empty() || request.flow.rank == 0;
        if goes_first && let Placement::Chosen(index) = self.place(&request, now_ms) {
            return self.send(index, request, now_ms);
        }
        let left = Duration::from_millis(request.flow.deadline_ms);
        let now = Duration::from_millis(now_ms);
        let flow = request.flow;
        let is_held = |engine: &Engine| engine.held.contains(&request.part);
        let prefill_tokens = match self.engines.iter().any(is_held) {
            true => flow.own_tokens,
            false => flow.shared_tokens + flow.own_tokens,
        };
        let bound = Duration::from_millis(self.shortest_objective_ms(flow.rank));
        let at_engine = first_event_time_max(&PlacementSettings::default(), bound, prefill_tokens);
        let objective_at = now + Duration::from_millis(flow.objective_ms);
        let waiting = QueuedRequest {
            priority: flow.rank,
            prefill_tokens,
            place_by: objective_at.saturating_sub(at_engine),
            deadline: now + left / 2,
        };
        match self.queue.push(waiting, per_s(), now) {
            Ok(ticket) => drop(self.waiting.insert(ticket, request)),
            Err(_) => {
                let is_idle = |engine: &Engine| engine.read_until_ms <= now_ms;
                let beside_idle = self.engines.iter().any(is_idle);
                self.refused_beside_an_idle_engine += u64::from(beside_idle);
                self.outcome(request.flow.rank).refused += 1;
            }
        }
    }

    fn place(&self, request: &Request, now_ms: u64) -> Placement {
        let flow = request.flow;
        let demand = ResourceDemand {
            prompt_tokens: flow.shared_tokens + flow.own_tokens,
            output_tokens: ANSWER_TOKENS,
            wait_objective: Duration::from_millis(self.shortest_objective_ms(flow.rank)),
        };
        let home = (request.part.0 as u64 * 31 + request.part.1) as usize;
        let candidates = self.engines.iter().enumerate().map(|(index, engine)| {
            let rank = (index + ENGINES - home % ENGINES) % ENGINES;
            engine.candidate(rank, request, now_ms)
        });
        let candidates: Vec<_> = candidates.collect();
        choose_candidate(&PlacementSettings::default(), &demand, &candidates)
    }

    /// As [`RoutingTable::shortest_objective`](celerylever::gateway::RoutingTable) has it.
    fn shortest_objective_ms(&self, rank: u8) -> u64 {
        let urgent = self.load.iter().filter(|flow| flow.rank <= rank);
        urgent.map(|flow| flow.objective_ms).min().unwrap_or(0)
    }

    fn send(&mut self, index: usize, request: Request, now_ms: u64) {
        let first_event = self.engines[index].take(&request, now_ms);
        self.wakes.push(Reverse(first_event));
        self.wakes.push(Reverse(first_event + ANSWER_MS));
        let after_ms = first_event - request.at_ms;
        let flow = request.flow;
        let outcome = self.outcome(flow.rank);
        match after_ms {
            ms if ms <= flow.objective_ms => outcome.in_objective += 1,
            ms if ms <= flow.deadline_ms => outcome.late += 1,
            _ => outcome.held_to_the_end += 1,
        }
    }

    /// Places what waits each time an engine has room.
    fn pass_until(&mut self, until_ms: u64) {
        while let Some(Reverse(now_ms)) = self.wakes.peek().copied()
            && now_ms <= until_ms
        {
            self.wakes.pop();
            self.pump(now_ms);
        }
    }

    fn pump(&mut self, now_ms: u64) {
        for ticket in self.queue.placement_order(Duration::from_millis(now_ms)) {
            let request = self.waiting[&ticket];
            if now_ms > request.at_ms + request.flow.deadline_ms / 2 {
                self.queue.remove(ticket);
                self.outcome(request.flow.rank).held_to_the_end += 1;
            } else if let Placement::Chosen(index) = self.place(&request, now_ms) {
                self.queue
                    .remove_placed(ticket, Duration::from_millis(now_ms));
                self.send(index, request, now_ms);
            }
        }
        let now = Duration::from_millis(now_ms);
        for (ticket, _) in self.queue.remove_unservable(per_s(), now) {
            let rank = self.waiting[&ticket].flow.rank;
            self.outcome(rank).given_up += 1;
        }
    }
}

/// Tokens that all engines read in a second.
fn per_s() -> f64 {
    ENGINES as f64 * PlacementSettings::default().prefill_tokens_per_ms * 1_000.0
}

fn requests(load: &[Flow]) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(11);
    let mut requests = Vec::new();
    for (number, flow) in load.iter().enumerate() {
        let clumps = (flow.from_ms..flow.to_ms).step_by(flow.every_ms as usize);
        for at_ms in clumps.flat_map(|at_ms| (0..flow.clump).map(move |_| at_ms)) {
            let part = (number, random.random_range(0..flow.shared_parts));
            requests.push(Request {
                at_ms,
                flow: *flow,
                part,
            });
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    requests
}

/// Requests that the engines can read in time if nothing but their own tokens were read, shortest
/// first, and none were ever idle. No order does better.
fn bound(load: &[Flow]) -> u64 {
    let requests = requests(load);
    let mut own: Vec<u64> = requests
        .iter()
        .map(|request| request.flow.own_tokens)
        .collect();
    own.sort_unstable();
    let slack_ms = load.iter().map(|flow| flow.objective_ms).max().unwrap_or(0);
    let per_ms = PlacementSettings::default().prefill_tokens_per_ms * ENGINES as f64;
    let mut left = per_ms * (REPLAY_MS + slack_ms) as f64;
    let read = own.iter().take_while(|tokens| {
        left -= **tokens as f64;
        left >= 0.0
    });
    read.count() as u64
}

fn sum(replay: &Replay, of: impl Fn(&Outcome) -> u64) -> u64 {
    replay.outcomes.values().map(of).sum()
}

#[rstest]
#[case::burst(BURST)]
#[case::hot_part(HOT_PART)]
#[case::long_among_short(LONG_AMONG_SHORT)]
#[case::less_urgent_flood(LESS_URGENT_FLOOD)]
fn more_are_served_in_time_than_by_chance_and_none_is_held_to_its_end(
    #[case] load: &'static [Flow],
) {
    let product = Replay::run(Policy::Product, load);
    let random = Replay::run(Policy::Random, load);
    let in_time = sum(&product, |outcome| outcome.in_objective);
    let by_chance = sum(&random, |outcome| outcome.in_objective);
    let report = format!(
        "{:?}, by chance {:?}, bound {}",
        product.outcomes,
        random.outcomes,
        bound(load)
    );
    assert!(in_time <= bound(load), "{report}");
    assert!(in_time > by_chance || in_time == bound(load), "{report}");
    assert_eq!(product.refused_beside_an_idle_engine, 0, "{report}");
    assert_eq!(
        sum(&product, |outcome| outcome.held_to_the_end),
        0,
        "{report}"
    );
}

/// The most urgent are served in time however much waits, and the others do not starve.
#[test]
fn a_flood_of_less_urgent_requests_delays_no_urgent_one() {
    let replay = Replay::run(Policy::Product, LESS_URGENT_FLOOD);
    let (urgent, flood) = (replay.outcomes[&0], replay.outcomes[&3]);
    assert_eq!(urgent.in_objective, urgent.asked, "{urgent:?}");
    assert!(flood.in_objective + flood.late > 0, "{flood:?}");
}
