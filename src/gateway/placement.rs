//! Choice of an engine for a prompt.
//!
//! Load pattern: clumps of long prompts whose parts are shared by many, on engines that read
//! prompts one after the other. Each VM sees part of the traffic only, so where a shared part is
//! cached follows from a hash that all VMs agree on, and load moves a request away from there.

use std::time::Duration;

use crate::ids::Tokens;

/// Weights of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Cost of fetching parts of a prompt from another engine.
    pub fetch: Duration,
    /// Cost of another availability zone; a distance of two hops of about a millisecond each, and
    /// bytes between zones that are paid for.
    pub zone_distance: Duration,
    /// Cost of an engine that failed a moment ago.
    pub avoided: Duration,
    /// Cost of weights that are no longer the newest named.
    pub older_weights: Duration,
    /// Cost of each step away from the home of a shared part, so that requests that leave it meet.
    pub rank_step: Duration,
    /// Share of an engine's memory that requests may take, so that running ones are not preempted.
    pub memory_share: f64,
    /// Share of the bounding objective that the wait for a prompt's turn may take.
    pub wait_share: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 80.0,
            // A long part takes about 10 ms over a link.
            fetch: Duration::from_millis(12),
            zone_distance: Duration::from_millis(4),
            avoided: Duration::from_secs(2),
            older_weights: Duration::from_millis(150),
            rank_step: Duration::from_millis(2),
            memory_share: 0.85,
            wait_share: 0.5,
        }
    }
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens that the answer is expected to have.
    pub output_tokens: Tokens,
    /// Time to the first event that bounds the work before the request.
    pub wait_objective: Duration,
}

/// Engine that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Candidate {
    /// Place in the order that the hash of the shared part gives; 0 is its home.
    pub rank: usize,
    /// Prompt tokens sent to it by all VMs whose first event has not come.
    pub reading_tokens: Tokens,
    /// Tokens of requests that take memory.
    pub memory_tokens: Tokens,
    /// Tokens that fit into its memory.
    pub memory_max_tokens: Tokens,
    /// Requests that it runs.
    pub requests: u32,
    /// Requests that it runs at once at most.
    pub slots: u32,
    /// Tokens of the prompt that it has cached.
    pub held_tokens: Tokens,
    /// Tokens of the prompt that it can fetch from another engine.
    pub fetched_tokens: Tokens,
    /// Whether it runs in this VM's availability zone.
    pub is_same_zone: bool,
    /// Whether it failed a moment ago.
    pub is_avoided: bool,
    /// Whether its weights are older than the newest named.
    pub is_older: bool,
    /// Whether it is about to load weights, or turned a request away a moment ago.
    pub is_rolling: bool,
}

/// Outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The candidate at this position.
    At(usize),
    /// No candidate has room now.
    Wait,
    /// There is no candidate.
    Nowhere,
}

/// Chooses the candidate from which the first event is expected first.
pub fn choose(settings: &PlacementSettings, demand: &Demand, candidates: &[Candidate]) -> Place {
    if candidates.is_empty() {
        return Place::Nowhere;
    }
    let is_steady = candidates.iter().any(|candidate| !candidate.is_rolling);
    let open = candidates.iter().enumerate().filter(|(_, candidate)| {
        (!candidate.is_rolling || !is_steady) && has_room(settings, demand, candidate)
    });
    let best = open.min_by_key(|(_, candidate)| cost(settings, demand, candidate));
    best.map_or(Place::Wait, |(index, _)| Place::At(index))
}

/// Returns the memory that a request takes at an engine that has some tokens of its prompt cached.
///
/// Requests that run at once share what is cached, so that a hot part takes its memory once.
pub fn memory_tokens(demand: &Demand, held_tokens: Tokens) -> Tokens {
    demand.prompt_tokens.saturating_sub(held_tokens) + demand.output_tokens
}

/// Returns the most time from the choice of an engine to the first event, where the engine has to
/// read some tokens of the prompt.
pub fn time_at_engine(
    settings: &PlacementSettings,
    wait_objective: Duration,
    unread_tokens: Tokens,
) -> Duration {
    wait_objective.mul_f64(settings.wait_share) + read_time(settings, unread_tokens)
}

/// Returns the time that an engine takes to read some tokens.
pub(super) fn read_time(settings: &PlacementSettings, tokens: Tokens) -> Duration {
    Duration::from_secs_f64(tokens as f64 / settings.read_tokens_per_ms / 1_000.0)
}

fn has_room(settings: &PlacementSettings, demand: &Demand, candidate: &Candidate) -> bool {
    if candidate.requests == 0 {
        return true;
    }
    let memory = candidate.memory_tokens + memory_tokens(demand, candidate.held_tokens);
    let memory_max = candidate.memory_max_tokens as f64 * settings.memory_share;
    let wait = read_time(settings, candidate.reading_tokens);
    candidate.requests < candidate.slots
        && (memory as f64) <= memory_max
        && (candidate.reading_tokens == 0
            || wait <= demand.wait_objective.mul_f64(settings.wait_share))
}

fn cost(settings: &PlacementSettings, demand: &Demand, candidate: &Candidate) -> Duration {
    let found = candidate.held_tokens.max(candidate.fetched_tokens);
    let missed = demand.prompt_tokens.saturating_sub(found);
    let mut cost = read_time(settings, candidate.reading_tokens + missed);
    if candidate.fetched_tokens > candidate.held_tokens {
        cost += settings.fetch;
    }
    cost += settings.rank_step * candidate.rank as u32;
    if !candidate.is_same_zone {
        cost += settings.zone_distance;
    }
    if candidate.is_avoided {
        cost += settings.avoided;
    }
    if candidate.is_older {
        cost += settings.older_weights;
    }
    cost
}
