//! Replays of peak loads on simulated engines that prefill one prompt after the other. They compare
//! the gateway's placement, queue and refusals with random placement without a queue.

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

const ENGINE_COUNT: usize = 4;
const SLOTS_PER_ENGINE: u32 = 64;
const ENGINE_MEMORY_TOKENS: u64 = 260_000;
/// Time from the first event of a response until its end.
const DECODE_TIME_MS: u64 = 300;
/// Expected number of output tokens of a response.
const OUTPUT_TOKENS: u64 = 60;
/// Length of the period in which requests arrive.
const REPLAY_DURATION_MS: u64 = 5_000;

/// Requests of a load that share their priority, timing and sizes.
#[derive(Debug, Clone, Copy)]
struct RequestClass {
    priority: u8,
    start_ms: u64,
    end_ms: u64,
    /// Time between batches; the requests of a batch arrive at the same time.
    batch_interval_ms: u64,
    batch_size: u64,
    /// Number of shared prefixes, one of which starts each prompt, and their length in tokens.
    shared_prefixes: u64,
    shared_prefix_tokens: u64,
    unique_tokens: u64,
    objective_ms: u64,
    deadline_ms: u64,
}

const BASE_CLASS: RequestClass = RequestClass {
    priority: 1,
    start_ms: 0,
    end_ms: REPLAY_DURATION_MS,
    batch_interval_ms: 20,
    batch_size: 1,
    shared_prefixes: 8,
    shared_prefix_tokens: 2_000,
    unique_tokens: 800,
    objective_ms: 500,
    deadline_ms: 3_000,
};

/// For two seconds, three times as many tokens arrive as the engines can prefill.
const BURST: &[RequestClass] = &[
    BASE_CLASS,
    RequestClass {
        start_ms: 2_000,
        end_ms: 4_000,
        batch_interval_ms: 5,
        unique_tokens: 3_000,
        ..BASE_CLASS
    },
];
/// Most requests arrive in batches and share one prefix.
const HOT_PREFIX: &[RequestClass] = &[
    BASE_CLASS,
    RequestClass {
        batch_interval_ms: 250,
        batch_size: 50,
        shared_prefixes: 1,
        shared_prefix_tokens: 12_000,
        unique_tokens: 1_000,
        ..BASE_CLASS
    },
];
/// A few very long prompts among many short ones.
const LONG_AMONG_SHORT: &[RequestClass] = &[
    RequestClass {
        batch_interval_ms: 4,
        shared_prefix_tokens: 400,
        unique_tokens: 400,
        ..BASE_CLASS
    },
    RequestClass {
        batch_interval_ms: 160,
        shared_prefixes: 64,
        shared_prefix_tokens: 4_000,
        unique_tokens: 16_000,
        ..BASE_CLASS
    },
];
/// Urgent requests together with a flood of requests of lower priority.
const LESS_URGENT_FLOOD: &[RequestClass] = &[
    RequestClass {
        priority: 0,
        ..BASE_CLASS
    },
    RequestClass {
        priority: 3,
        batch_interval_ms: 5,
        unique_tokens: 2_000,
        objective_ms: 1_500,
        deadline_ms: 6_000,
        ..BASE_CLASS
    },
];

#[derive(Debug, Clone, Copy)]
struct Request {
    at_ms: u64,
    class: RequestClass,
    prefix: (usize, u64),
}

/// Counts of the requests of one priority by their result.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    received: u64,
    in_objective: u64,
    late: u64,
    refused: u64,
    /// Requests that were queued, missed their objective and were then refused.
    refused_while_queued: u64,
    /// Requests whose first event came after their deadline, or that were still queued after half
    /// of the time to it.
    deadline_missed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Gateway,
    Random,
}

#[derive(Debug, Default)]
struct Engine {
    prefill_until_ms: u64,
    cached_prefixes: HashSet<(usize, u64)>,
    /// End of the prefill and number of tokens, for each prompt that is not yet prefilled.
    pending_prefill: Vec<(u64, u64)>,
    /// End and memory use in tokens, for each running request.
    running_requests: Vec<(u64, u64)>,
}

impl Engine {
    fn candidate(&self, rendezvous_rank: usize, request: &Request, now_ms: u64) -> Candidate {
        let tokens = |list: &[(u64, u64)]| {
            let left = list.iter().filter(|(until, _)| *until > now_ms);
            left.map(|(_, tokens)| *tokens).collect::<Vec<_>>()
        };
        Candidate {
            rendezvous_rank,
            prefill_tokens: tokens(&self.pending_prefill).iter().sum(),
            memory_tokens: tokens(&self.running_requests).iter().sum(),
            memory_capacity_tokens: ENGINE_MEMORY_TOKENS,
            requests: tokens(&self.running_requests).len() as u32,
            slots: SLOTS_PER_ENGINE,
            cached_tokens: match self.cached_prefixes.contains(&request.prefix) {
                true => request.class.shared_prefix_tokens,
                false => 0,
            },
            is_same_zone: true,
            ..Candidate::default()
        }
    }

    /// Prefills the prompt after all earlier ones and returns the time of its first event, in ms.
    fn add_request(&mut self, request: &Request, now_ms: u64) -> u64 {
        let class = request.class;
        let shared = match self.cached_prefixes.insert(request.prefix) {
            true => class.shared_prefix_tokens,
            false => 0,
        };
        let prefill_tokens = shared + class.unique_tokens;
        let per_ms = PlacementSettings::default().prefill_tokens_per_ms;
        let prefill_ms = (prefill_tokens as f64 / per_ms).ceil() as u64;
        self.prefill_until_ms = self.prefill_until_ms.max(now_ms) + prefill_ms;
        let first_event = self.prefill_until_ms;
        self.pending_prefill.retain(|(until, _)| *until > now_ms);
        self.running_requests.retain(|(until, _)| *until > now_ms);
        let memory = prefill_tokens + OUTPUT_TOKENS;
        self.pending_prefill.push((first_event, prefill_tokens));
        self.running_requests
            .push((first_event + DECODE_TIME_MS, memory));
        first_event
    }
}

struct Replay {
    policy: Policy,
    load: &'static [RequestClass],
    random: StdRng,
    engines: Vec<Engine>,
    queue: RequestQueue,
    queued: HashMap<Ticket, Request>,
    /// Times at which an engine has free capacity again, in ms.
    capacity_times_ms: BinaryHeap<Reverse<u64>>,
    outcomes: BTreeMap<u8, Outcome>,
    refused_with_idle_engine: u64,
}

impl Replay {
    fn run(policy: Policy, load: &'static [RequestClass]) -> Self {
        let mut replay = Self {
            policy,
            load,
            random: StdRng::seed_from_u64(7),
            engines: (0..ENGINE_COUNT).map(|_| Engine::default()).collect(),
            queue: RequestQueue::new(QueueSettings::default()),
            queued: HashMap::new(),
            capacity_times_ms: BinaryHeap::new(),
            outcomes: BTreeMap::new(),
            refused_with_idle_engine: 0,
        };
        for request in requests(load) {
            replay.advance_to(request.at_ms);
            replay.handle_arrival(request);
        }
        replay.advance_to(u64::MAX);
        replay
    }

    fn outcome(&mut self, priority: u8) -> &mut Outcome {
        self.outcomes.entry(priority).or_default()
    }

    fn handle_arrival(&mut self, request: Request) {
        let now_ms = request.at_ms;
        self.outcome(request.class.priority).received += 1;
        if self.policy == Policy::Random {
            let index = self.random.random_range(0..ENGINE_COUNT);
            return self.send(index, request, now_ms);
        }
        // As in the gateway, queued requests go before new ones except those of priority 0.
        let goes_first = self.queue.is_empty() || request.class.priority == 0;
        if goes_first && let Placement::Chosen(index) = self.place(&request, now_ms) {
            return self.send(index, request, now_ms);
        }
        let left = Duration::from_millis(request.class.deadline_ms);
        let now = Duration::from_millis(now_ms);
        let class = request.class;
        let is_cached = |engine: &Engine| engine.cached_prefixes.contains(&request.prefix);
        let prefill_tokens = match self.engines.iter().any(is_cached) {
            true => class.unique_tokens,
            false => class.shared_prefix_tokens + class.unique_tokens,
        };
        let shortest_objective = Duration::from_millis(self.shortest_objective_ms(class.priority));
        let at_engine = first_event_time_max(
            &PlacementSettings::default(),
            shortest_objective,
            prefill_tokens,
        );
        let objective_at = now + Duration::from_millis(class.objective_ms);
        let queued_request = QueuedRequest {
            priority: class.priority,
            prefill_tokens,
            place_by: objective_at.saturating_sub(at_engine),
            deadline: now + left / 2,
        };
        match self
            .queue
            .push(queued_request, total_prefill_tokens_per_s(), now)
        {
            Ok(ticket) => drop(self.queued.insert(ticket, request)),
            Err(_) => {
                let is_idle = |engine: &Engine| engine.prefill_until_ms <= now_ms;
                let any_engine_idle = self.engines.iter().any(is_idle);
                self.refused_with_idle_engine += u64::from(any_engine_idle);
                self.outcome(request.class.priority).refused += 1;
            }
        }
    }

    fn place(&self, request: &Request, now_ms: u64) -> Placement {
        let class = request.class;
        let demand = ResourceDemand {
            prompt_tokens: class.shared_prefix_tokens + class.unique_tokens,
            output_tokens: OUTPUT_TOKENS,
            wait_objective: Duration::from_millis(self.shortest_objective_ms(class.priority)),
        };
        let preferred_engine = (request.prefix.0 as u64 * 31 + request.prefix.1) as usize;
        let candidates = self.engines.iter().enumerate().map(|(index, engine)| {
            let rank = (index + ENGINE_COUNT - preferred_engine % ENGINE_COUNT) % ENGINE_COUNT;
            engine.candidate(rank, request, now_ms)
        });
        let candidates: Vec<_> = candidates.collect();
        choose_candidate(&PlacementSettings::default(), &demand, &candidates)
    }

    /// Computes the same as
    /// [`RoutingTable::shortest_objective`](celerylever::gateway::RoutingTable).
    fn shortest_objective_ms(&self, priority: u8) -> u64 {
        let urgent = self.load.iter().filter(|class| class.priority <= priority);
        urgent.map(|class| class.objective_ms).min().unwrap_or(0)
    }

    fn send(&mut self, index: usize, request: Request, now_ms: u64) {
        let first_event = self.engines[index].add_request(&request, now_ms);
        self.capacity_times_ms.push(Reverse(first_event));
        self.capacity_times_ms
            .push(Reverse(first_event + DECODE_TIME_MS));
        let after_ms = first_event - request.at_ms;
        let class = request.class;
        let outcome = self.outcome(class.priority);
        match after_ms {
            ms if ms <= class.objective_ms => outcome.in_objective += 1,
            ms if ms <= class.deadline_ms => outcome.late += 1,
            _ => outcome.deadline_missed += 1,
        }
    }

    /// Advances the time to `until_ms` and places queued requests whenever an engine has free
    /// capacity.
    fn advance_to(&mut self, until_ms: u64) {
        while let Some(Reverse(now_ms)) = self.capacity_times_ms.peek().copied()
            && now_ms <= until_ms
        {
            self.capacity_times_ms.pop();
            self.place_queued(now_ms);
        }
    }

    fn place_queued(&mut self, now_ms: u64) {
        for ticket in self.queue.placement_order(Duration::from_millis(now_ms)) {
            let request = self.queued[&ticket];
            if now_ms > request.at_ms + request.class.deadline_ms / 2 {
                self.queue.remove(ticket);
                self.outcome(request.class.priority).deadline_missed += 1;
            } else if let Placement::Chosen(index) = self.place(&request, now_ms) {
                self.queue
                    .remove_placed(ticket, Duration::from_millis(now_ms));
                self.send(index, request, now_ms);
            }
        }
        let now = Duration::from_millis(now_ms);
        for (ticket, _) in self
            .queue
            .remove_unservable(total_prefill_tokens_per_s(), now)
        {
            let priority = self.queued[&ticket].class.priority;
            self.outcome(priority).refused_while_queued += 1;
        }
    }
}

/// Returns the number of tokens that all engines together prefill in a second.
fn total_prefill_tokens_per_s() -> f64 {
    ENGINE_COUNT as f64 * PlacementSettings::default().prefill_tokens_per_ms * 1_000.0
}

fn requests(load: &[RequestClass]) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(11);
    let mut requests = Vec::new();
    for (number, class) in load.iter().enumerate() {
        let batches = (class.start_ms..class.end_ms).step_by(class.batch_interval_ms as usize);
        for at_ms in batches.flat_map(|at_ms| (0..class.batch_size).map(move |_| at_ms)) {
            let prefix = (number, random.random_range(0..class.shared_prefixes));
            requests.push(Request {
                at_ms,
                class: *class,
                prefix,
            });
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    requests
}

/// Returns an upper bound on the number of requests served within their objective in any order:
/// the engines are never idle, prefill only the unique tokens, and take the shortest prompts first.
fn in_objective_upper_bound(load: &[RequestClass]) -> u64 {
    let requests = requests(load);
    let mut own: Vec<u64> = requests
        .iter()
        .map(|request| request.class.unique_tokens)
        .collect();
    own.sort_unstable();
    let slack_ms = load
        .iter()
        .map(|class| class.objective_ms)
        .max()
        .unwrap_or(0);
    let per_ms = PlacementSettings::default().prefill_tokens_per_ms * ENGINE_COUNT as f64;
    let mut left = per_ms * (REPLAY_DURATION_MS + slack_ms) as f64;
    let servable = own.iter().take_while(|tokens| {
        left -= **tokens as f64;
        left >= 0.0
    });
    servable.count() as u64
}

fn sum(replay: &Replay, of: impl Fn(&Outcome) -> u64) -> u64 {
    replay.outcomes.values().map(of).sum()
}

#[rstest]
#[case::burst(BURST)]
#[case::hot_part(HOT_PREFIX)]
#[case::long_among_short(LONG_AMONG_SHORT)]
#[case::less_urgent_flood(LESS_URGENT_FLOOD)]
fn more_are_served_in_time_than_by_chance_and_none_is_held_to_its_end(
    #[case] load: &'static [RequestClass],
) {
    let gateway_replay = Replay::run(Policy::Gateway, load);
    let random_replay = Replay::run(Policy::Random, load);
    let gateway_in_objective = sum(&gateway_replay, |outcome| outcome.in_objective);
    let random_in_objective = sum(&random_replay, |outcome| outcome.in_objective);
    let report = format!(
        "gateway {:?}, random placement {:?}, upper bound {}",
        gateway_replay.outcomes,
        random_replay.outcomes,
        in_objective_upper_bound(load)
    );
    assert!(
        gateway_in_objective <= in_objective_upper_bound(load),
        "{report}"
    );
    assert!(
        gateway_in_objective > random_in_objective
            || gateway_in_objective == in_objective_upper_bound(load),
        "{report}"
    );
    assert_eq!(gateway_replay.refused_with_idle_engine, 0, "{report}");
    assert_eq!(
        sum(&gateway_replay, |outcome| outcome.deadline_missed),
        0,
        "{report}"
    );
}

/// Requests of priority 0 are served within their objective however long the queue is, and the
/// others do not starve.
#[test]
fn a_flood_of_less_urgent_requests_delays_no_urgent_one() {
    let replay = Replay::run(Policy::Gateway, LESS_URGENT_FLOOD);
    let (urgent, flood) = (replay.outcomes[&0], replay.outcomes[&3]);
    assert_eq!(urgent.in_objective, urgent.received, "{urgent:?}");
    assert!(flood.in_objective + flood.late > 0, "{flood:?}");
}
