//! Cost-based choice of the upstream that serves a request.
//!
//! Load pattern: bursts of long prompts that share prefixes, on engines that process prompts
//! sequentially. Each VM sees only part of the traffic, so the preferred engine of a shared prefix
//! is determined by rendezvous hashing, on which all VMs agree; load can move a request away from
//! it.

use std::time::Duration;

use crate::ids::Tokens;

/// Costs and limits that [`choose_candidate`] applies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of fetching cached parts of a prompt from another engine or the cache store.
    pub fetch_cost: Duration,
    /// Cost of an upstream in another availability zone: two hops of about 1 ms each, and traffic
    /// between zones that is billed.
    pub cross_zone_cost: Duration,
    /// Cost of an upstream that failed recently or does not respond.
    pub avoided_cost: Duration,
    /// Cost of an engine whose weights are older than the target weights.
    pub older_weights_cost: Duration,
    /// Cost of each rank in the rendezvous order of a shared prefix, so that requests that cannot
    /// use its preferred engine choose the same next one.
    pub rendezvous_rank_cost: Duration,
    /// Fraction of an engine's memory that requests may use, so that running ones are not
    /// preempted.
    pub memory_fraction: f64,
    /// Fraction of the objective in [`ResourceDemand::wait_objective`] that prompts ahead of a
    /// request may take.
    pub wait_fraction: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 80.0,
            // Transferring a long prefix over a link takes about 10 ms.
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

/// Resources that a request needs at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceDemand {
    /// Length of the prompt; 0 for a request without one.
    pub prompt_tokens: Tokens,
    /// Expected length of the generated output.
    pub output_tokens: Tokens,
    /// Time-to-first-event objective that limits the prompt work ahead of the request: its own
    /// objective or that of a more urgent route.
    pub wait_objective: Duration,
}

/// Upstream that may be chosen, with the state that determines its cost.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Candidate {
    /// Rank in the rendezvous order of the prompt's shared prefix; 0 is its preferred engine.
    pub rendezvous_rank: usize,
    /// Prompt tokens that all VMs have sent to it and whose first event has not arrived.
    pub prefill_tokens: Tokens,
    /// Tokens that its requests hold in memory.
    pub memory_tokens: Tokens,
    /// Tokens that its memory can hold.
    pub memory_capacity_tokens: Tokens,
    /// Requests in flight at it.
    pub requests: u32,
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Prompt tokens that it processes per millisecond; `None` if only the common speed is known.
    pub prefill_tokens_per_ms: Option<f64>,
    /// Prompt tokens that it has cached.
    pub cached_tokens: Tokens,
    /// Prompt tokens that it can fetch from another engine or the cache store.
    pub fetchable_tokens: Tokens,
    /// Whether it is in this VM's availability zone.
    pub is_same_zone: bool,
    /// Whether it failed recently or does not respond.
    pub is_avoided: bool,
    /// Whether its weights are older than the target weights.
    pub has_older_weights: bool,
    /// Whether it is chosen only if all candidates are last resorts: it takes part in a weight
    /// rollout, or rejected a request recently.
    pub is_last_resort: bool,
}

impl Candidate {
    /// Returns the prompt tokens that it processes per millisecond.
    pub(in crate::gateway) fn speed(&self, settings: &PlacementSettings) -> f64 {
        self.prefill_tokens_per_ms
            .unwrap_or(settings.prefill_tokens_per_ms)
    }
}

/// Result of [`choose_candidate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Index of the chosen candidate.
    Chosen(usize),
    /// No candidate currently has room.
    NoRoom,
    /// The list of candidates is empty.
    NoCandidate,
}

/// Chooses the candidate with the lowest cost, an estimate of the time to its first event, among
/// those that have room.
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

/// Returns the memory, in tokens, that a request needs at an engine that has `cached_tokens` of
/// its prompt cached.
///
/// Concurrent requests share cached tokens, so a popular prefix is counted once.
pub fn required_memory_tokens(demand: &ResourceDemand, cached_tokens: Tokens) -> Tokens {
    demand.prompt_tokens.saturating_sub(cached_tokens) + demand.output_tokens
}

/// Returns the maximum time from the choice of an engine to the first event, if the engine has to
/// process `prefill_tokens` of the prompt.
pub fn first_event_time_max(
    settings: &PlacementSettings,
    wait_objective: Duration,
    prefill_tokens: Tokens,
) -> Duration {
    wait_objective.mul_f64(settings.wait_fraction)
        + prefill_time(settings.prefill_tokens_per_ms, prefill_tokens)
}

/// Returns the time that an engine takes to process prompt tokens.
pub(in crate::gateway) fn prefill_time(tokens_per_ms: f64, tokens: Tokens) -> Duration {
    Duration::from_secs_f64(tokens as f64 / tokens_per_ms / 1_000.0)
}

fn has_room(settings: &PlacementSettings, demand: &ResourceDemand, candidate: &Candidate) -> bool {
    if candidate.requests == 0 {
        return true;
    }
    let memory = candidate.memory_tokens + required_memory_tokens(demand, candidate.cached_tokens);
    let memory_max = candidate.memory_capacity_tokens as f64 * settings.memory_fraction;
    let wait = prefill_time(candidate.speed(settings), candidate.prefill_tokens);
    candidate.requests < candidate.slots
        && (memory as f64) <= memory_max
        && (candidate.prefill_tokens == 0
            || wait <= demand.wait_objective.mul_f64(settings.wait_fraction))
}

fn cost(settings: &PlacementSettings, demand: &ResourceDemand, candidate: &Candidate) -> Duration {
    let available = candidate.cached_tokens.max(candidate.fetchable_tokens);
    let uncached = demand.prompt_tokens.saturating_sub(available);
    let mut cost = prefill_time(
        candidate.speed(settings),
        candidate.prefill_tokens + uncached,
    );
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
