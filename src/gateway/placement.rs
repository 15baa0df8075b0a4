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
    pub prefill_tokens_per_ms: f64,
    /// Cost of fetching parts of a prompt from another engine.
    pub fetch_cost: Duration,
    /// Cost of another availability zone; a distance of two hops of about a millisecond each, and
    /// bytes between zones that are paid for.
    pub cross_zone_cost: Duration,
    /// Cost of an engine that failed a moment ago.
    pub avoided_cost: Duration,
    /// Cost of weights that are no longer the newest named.
    pub older_weights_cost: Duration,
    /// Cost of each step away from the home of a shared part, so that requests that leave it meet.
    pub rendezvous_rank_cost: Duration,
    /// Share of an engine's memory that requests may take, so that running ones are not preempted.
    pub memory_fraction: f64,
    /// Share of the bounding objective that the wait for a prompt's turn may take.
    pub wait_fraction: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 80.0,
            // A long part takes about 10 ms over a link.
            fetch_cost: Duration::from_millis(12),
            cross_zone_cost: Duration::from_millis(4),
            avoided_cost: Duration::from_secs(2),
            older_weights_cost: Duration::from_millis(150),
            rendezvous_rank_cost: Duration::from_millis(2),
            memory_fraction: 0.85,
            wait_fraction: 0.5,
        }
    }
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceDemand {
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
    pub rendezvous_rank: usize,
    /// Prompt tokens sent to it by all VMs whose first event has not come.
    pub prefill_tokens: Tokens,
    /// Tokens of requests that take memory.
    pub memory_tokens: Tokens,
    /// Tokens that fit into its memory.
    pub memory_capacity_tokens: Tokens,
    /// Requests that it runs.
    pub requests: u32,
    /// Requests that it runs at once at most.
    pub slots: u32,
    /// Tokens of the prompt that it has cached.
    pub cached_tokens: Tokens,
    /// Tokens of the prompt that it can fetch from another engine.
    pub fetchable_tokens: Tokens,
    /// Whether it runs in this VM's availability zone.
    pub is_same_zone: bool,
    /// Whether it failed a moment ago.
    pub is_avoided: bool,
    /// Whether its weights are older than the newest named.
    pub has_older_weights: bool,
    /// Whether it is about to load weights, or turned a request away a moment ago.
    pub is_last_resort: bool,
}

/// Outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The candidate at this position.
    Chosen(usize),
    /// No candidate has room now.
    NoRoom,
    /// There is no candidate.
    NoCandidate,
}

/// Chooses the candidate from which the first event is expected first.
pub fn choose_candidate(
    settings: &PlacementSettings,
    demand: &ResourceDemand,
    candidates: &[Candidate],
) -> Placement {
    if candidates.is_empty() {
        return Placement::NoCandidate;
    }
    let has_regular = candidates.iter().any(|candidate| !candidate.is_last_resort);
    let eligible = candidates.iter().enumerate().filter(|(_, candidate)| {
        (!candidate.is_last_resort || !has_regular) && has_room(settings, demand, candidate)
    });
    let best = eligible.min_by_key(|(_, candidate)| cost(settings, demand, candidate));
    best.map_or(Placement::NoRoom, |(index, _)| Placement::Chosen(index))
}

/// Returns the memory that a request takes at an engine that has some tokens of its prompt cached.
///
/// Requests that run at once share what is cached, so that a hot part takes its memory once.
pub fn required_memory_tokens(demand: &ResourceDemand, cached_tokens: Tokens) -> Tokens {
    demand.prompt_tokens.saturating_sub(cached_tokens) + demand.output_tokens
}

/// Returns the most time from the choice of an engine to the first event, where the engine has to
/// read some tokens of the prompt.
pub fn first_event_time_max(
    settings: &PlacementSettings,
    wait_objective: Duration,
    prefill_tokens: Tokens,
) -> Duration {
    wait_objective.mul_f64(settings.wait_fraction) + prefill_time(settings, prefill_tokens)
}

/// Returns the time that an engine takes to read some tokens.
pub(super) fn prefill_time(settings: &PlacementSettings, tokens: Tokens) -> Duration {
    Duration::from_secs_f64(tokens as f64 / settings.prefill_tokens_per_ms / 1_000.0)
}

fn has_room(settings: &PlacementSettings, demand: &ResourceDemand, candidate: &Candidate) -> bool {
    if candidate.requests == 0 {
        return true;
    }
    let memory = candidate.memory_tokens + required_memory_tokens(demand, candidate.cached_tokens);
    let memory_max = candidate.memory_capacity_tokens as f64 * settings.memory_fraction;
    let wait = prefill_time(settings, candidate.prefill_tokens);
    candidate.requests < candidate.slots
        && (memory as f64) <= memory_max
        && (candidate.prefill_tokens == 0
            || wait <= demand.wait_objective.mul_f64(settings.wait_fraction))
}

fn cost(settings: &PlacementSettings, demand: &ResourceDemand, candidate: &Candidate) -> Duration {
    let available = candidate.cached_tokens.max(candidate.fetchable_tokens);
    let uncached = demand.prompt_tokens.saturating_sub(available);
    let mut cost = prefill_time(settings, candidate.prefill_tokens + uncached);
    if candidate.fetchable_tokens > candidate.cached_tokens {
        cost += settings.fetch_cost;
    }
    cost += settings.rendezvous_rank_cost * candidate.rendezvous_rank as u32;
    if !candidate.is_same_zone {
        cost += settings.cross_zone_cost;
    }
    if candidate.is_avoided {
        cost += settings.avoided_cost;
    }
    if candidate.has_older_weights {
        cost += settings.older_weights_cost;
    }
    cost
}
