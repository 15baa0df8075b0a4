//! Choice of the engine for a request, by cached prefixes and load.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::engine::MeanWait;
use super::engine_table::{EngineTable, ModelPool};
use super::placement::{Placements, build_placements};
use super::{
    CachedPrefix, EngineNumber, HitRatio, Prefix, PrefixIndex, PrefixIndexSettings, PrefixInfo,
    Reason, TokenCost,
};
use crate::clock::Instant;
use crate::document::Snapshot;
use crate::ids::{AvailabilityZoneId, ModelId, Tokens, UpstreamId, WeightVersion};

/// Number of random engines that are considered beside those that a prefix leads to.
const RANDOM_CANDIDATES: usize = 2;
/// Largest number of placement ranks searched for distinct usable engines of a prefix.
const PLACEMENT_RANKS_MAX: usize = 96;
/// Fraction of the prompt's cost added to the score of an engine that the prefix is not placed on.
const UNPLACED_COST_FRACTION: f64 = 0.25;
/// Weight of a recomputed token without a backlog; it also delays the requests behind it.
const RECOMPUTE_WEIGHT_MIN: f64 = 2.0;
/// Backlog that raises the weight of a recomputed token by one.
///
/// A busy engine must not recompute what others have cached: each miss there adds to the backlog,
/// which would cause further misses.
const BACKLOG_PER_RECOMPUTE_WEIGHT: Duration = Duration::from_millis(50);
/// Time added to the score of an engine in another availability zone.
const CROSS_ZONE_COST: Duration = Duration::from_micros(1_500);

/// Settings of a [`Chooser`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChooserSettings {
    /// Availability zone of this VM.
    pub availability_zone: AvailabilityZoneId,
    /// Size of the prefix index.
    pub index: PrefixIndexSettings,
    /// Seed of the random draws.
    pub seed: u64,
}

/// Request for which an engine is to be chosen.
#[derive(Debug, Clone)]
pub struct RoutingRequest {
    /// Requested model.
    pub model: ModelId,
    /// Weight version that must answer the request.
    pub weight_version: WeightVersion,
    /// Prefix hashes of its prompt.
    pub prefix: Prefix,
    /// Engines that the request was sent to before.
    pub tried: Vec<UpstreamId>,
    known: Option<PrefixInfo>,
}

impl RoutingRequest {
    /// Creates a request that was sent to no engine yet.
    pub fn new(model: ModelId, weight_version: WeightVersion, prefix: Prefix) -> Self {
        Self {
            model,
            weight_version,
            prefix,
            tried: Vec::new(),
            known: None,
        }
    }
}

/// Engine chosen for a request, with the estimates behind the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Number of the engine.
    pub engine: EngineNumber,
    /// Name of the engine.
    pub upstream: UpstreamId,
    /// Why it was chosen.
    pub reason: Reason,
    /// Number of leading pieces that it is expected to have cached.
    pub held_pieces: usize,
    /// Time at which it was last known to have them cached.
    pub held_at: Instant,
    /// Prompt tokens that it is expected to compute, because they are not cached.
    pub missed_tokens: Tokens,
    /// Estimated wait before it starts to compute them.
    pub backlog: Duration,
    /// Time of the choice.
    pub at: Instant,
}

/// Reason why no engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChooseError {
    /// No engine serves the model, or the request was sent to all of them before.
    NoEngine,
    /// The best engine has reached its limit of requests in flight.
    Saturated(QueuedWork),
}

/// Work of a request that waits for a saturated engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedWork {
    /// Number of the engine.
    pub engine: EngineNumber,
    /// Prompt tokens that the engine is expected to compute.
    pub missed_tokens: Tokens,
}

/// Chooses engines, from the state of engines and prefixes, without clock or I/O.
#[derive(Debug)]
pub struct Chooser {
    pub(super) zone: AvailabilityZoneId,
    pub(super) engine_table: EngineTable,
    pub(super) index: PrefixIndex,
    pub(super) cost: TokenCost,
    pub(super) mean_wait: MeanWait,
    pub(super) hit_ratio: HitRatio,
    rng: SmallRng,
}

/// Engine that is considered for a request; the lowest score wins.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    engine: EngineNumber,
    reason: Reason,
    held_pieces: usize,
    held_at: Instant,
    missed_tokens: Tokens,
    backlog: Duration,
    score: Duration,
}

impl Chooser {
    /// Creates a chooser without engines.
    pub fn new(settings: ChooserSettings) -> Self {
        Self {
            zone: settings.availability_zone,
            engine_table: EngineTable::default(),
            index: PrefixIndex::new(settings.index),
            cost: TokenCost::default(),
            mean_wait: MeanWait::default(),
            hit_ratio: HitRatio::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Applies the engines of a configuration that is newer than the current one.
    pub fn configure(&mut self, snapshot: &Snapshot, now: Instant) {
        self.configure_with_placements(snapshot, build_placements(snapshot), now);
    }

    /// Applies a configuration for which the placements were built beforehand.
    pub(super) fn configure_with_placements(
        &mut self,
        snapshot: &Snapshot,
        placements: Placements,
        now: Instant,
    ) {
        if snapshot.version > self.engine_table.version {
            self.engine_table
                .configure(snapshot, placements, &self.zone, now);
        }
    }

    /// Chooses an engine and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`ChooseError::NoEngine`] if no engine is left, and [`ChooseError::Saturated`] if
    /// the best engine is saturated and the request was not sent to any engine before.
    pub fn choose(
        &mut self,
        request: &mut RoutingRequest,
        now: Instant,
    ) -> Result<Choice, ChooseError> {
        let known = match request.known {
            Some(known) => known,
            None => self.index.record_request(&request.prefix, now),
        };
        request.known = Some(known);
        let candidate = self.best_candidate(request, known, now)?;
        self.adapt_replicas(request, known, candidate, now);
        let engine = self.engine_table.engine_mut(candidate.engine);
        engine.record_start(candidate.missed_tokens, now);
        Ok(Choice {
            engine: candidate.engine,
            upstream: self.engine_table.names[usize::from(candidate.engine)].clone(),
            reason: candidate.reason,
            held_pieces: candidate.held_pieces,
            held_at: candidate.held_at,
            missed_tokens: candidate.missed_tokens,
            backlog: candidate.backlog,
            at: now,
        })
    }

    fn best_candidate(
        &mut self,
        request: &RoutingRequest,
        known: PrefixInfo,
        now: Instant,
    ) -> Result<Candidate, ChooseError> {
        let draws: [usize; RANDOM_CANDIDATES] =
            std::array::from_fn(|_| self.rng.random_range(0..usize::MAX));
        let pool = self
            .engine_table
            .pool(&request.model)
            .ok_or(ChooseError::NoEngine)?;
        let usable = |number: EngineNumber| {
            let engine = self.engine_table.engine(number);
            engine.health.is_up()
                && !self.engine_table.is_leaving(number)
                && engine.accepts(&request.weight_version, now)
                && !self.is_tried(request, number)
        };
        let cached_prefixes = self.index.cached_prefixes(&request.prefix);
        let candidates = self.candidates(request, known, pool, &cached_prefixes, &draws, &usable);
        let scored = candidates.into_iter().map(|(number, reason)| {
            self.score(request, known, number, reason, &cached_prefixes, now)
        });
        let best = match scored.min_by_key(|candidate| candidate.score) {
            Some(best) => best,
            None => return self.last_resort(request, known, pool, &cached_prefixes, now),
        };
        if request.tried.is_empty() && self.engine_table.engine(best.engine).is_saturated() {
            return Err(ChooseError::Saturated(QueuedWork {
                engine: best.engine,
                missed_tokens: best.missed_tokens,
            }));
        }
        Ok(best)
    }

    /// Adds a waiting request to the pending work of its engine.
    pub fn add_queued(&mut self, queued: QueuedWork) {
        self.engine_table
            .engine_mut(queued.engine)
            .add_pending_tokens(queued.missed_tokens);
    }

    /// Removes a request that no longer waits from the pending work of its engine.
    pub fn remove_queued(&mut self, queued: QueuedWork) {
        self.engine_table
            .engine_mut(queued.engine)
            .remove_pending_tokens(queued.missed_tokens);
    }

    /// Returns whether an engine is below its limit of requests in flight.
    pub fn has_room(&self, engine: EngineNumber) -> bool {
        !self.engine_table.engine(engine).is_saturated()
    }

    /// Chooses among the untried engines when none of them is known to be usable.
    fn last_resort(
        &self,
        request: &RoutingRequest,
        known: PrefixInfo,
        pool: &ModelPool,
        cached_prefixes: &[CachedPrefix],
        now: Instant,
    ) -> Result<Candidate, ChooseError> {
        let untried = pool.members.iter().copied();
        let untried = untried.filter(|number| {
            !self.is_tried(request, *number) && !self.engine_table.is_leaving(*number)
        });
        let number = untried
            .min_by_key(|number| {
                let engine = self.engine_table.engine(*number);
                (!engine.health.is_up(), engine.in_flight)
            })
            .ok_or(ChooseError::NoEngine)?;
        Ok(self.score(
            request,
            known,
            number,
            Reason::LastResort,
            cached_prefixes,
            now,
        ))
    }

    fn candidates(
        &self,
        request: &RoutingRequest,
        known: PrefixInfo,
        pool: &ModelPool,
        cached_prefixes: &[CachedPrefix],
        draws: &[usize; RANDOM_CANDIDATES],
        usable: &impl Fn(EngineNumber) -> bool,
    ) -> Vec<(EngineNumber, Reason)> {
        let mut found: Vec<(EngineNumber, Reason)> = Vec::with_capacity(32);
        let mut add = |number: EngineNumber, reason: Reason| {
            let is_new = found.iter().all(|(known, _)| *known != number);
            if is_new && usable(number) {
                found.push((number, reason));
            }
            found.len()
        };
        if request.prefix.pieces() > 0 {
            let hash = request.prefix.hashes()[known.placement_pieces];
            let wanted = (known.replicas + 1).min(pool.members.len());
            for rank in 0..PLACEMENT_RANKS_MAX {
                let Some(index) = pool.placement.engine(hash, rank) else {
                    break;
                };
                let reason = match rank {
                    0 => Reason::Home,
                    _ => Reason::Placed,
                };
                let count = add(pool.members[index], reason);
                if count >= wanted {
                    break;
                }
            }
        }
        for cached in cached_prefixes {
            if pool.contains(cached.engine) {
                add(cached.engine, Reason::Held);
            }
        }
        for draw in draws {
            add(pool.members[draw % pool.members.len()], Reason::Drawn);
        }
        if found.len() > known.replicas && request.prefix.pieces() > 0 {
            // The candidate after the replicas in use becomes a new replica if it is chosen.
            found[known.replicas].1 = match found[known.replicas].1 {
                Reason::Placed => Reason::Replicated,
                reason => reason,
            };
        }
        found
    }

    fn score(
        &self,
        request: &RoutingRequest,
        known: PrefixInfo,
        number: EngineNumber,
        reason: Reason,
        cached_prefixes: &[CachedPrefix],
        now: Instant,
    ) -> Candidate {
        let engine = self.engine_table.engine(number);
        let token_cost = self.cost.per_token();
        let backlog = engine.backlog(token_cost, self.mean_wait.get(now), now);
        let cached_prefix = cached_prefixes
            .iter()
            .find(|h| h.engine == number && engine.may_have_cached(h.at, now + backlog));
        let held_pieces = cached_prefix.map_or(0, |cached| cached.pieces);
        let is_placed = matches!(reason, Reason::Home | Reason::Placed);
        let placed_pieces = match reason {
            Reason::Home if known.shared_pieces >= known.placement_pieces => known.shared_pieces,
            Reason::Home => request.prefix.pieces(),
            _ => 0,
        };
        let missed_tokens = request
            .prefix
            .missed_tokens(placed_pieces.max(self.hit_ratio.expected_pieces(held_pieces)));
        let zone_cost = match self.engine_table.is_same_zone[usize::from(number)] {
            true => Duration::ZERO,
            false => CROSS_ZONE_COST,
        };
        let unplaced_cost = match is_placed {
            true => Duration::ZERO,
            false => prompt_cost(token_cost, request.prefix.prompt_tokens())
                .mul_f64(UNPLACED_COST_FRACTION),
        };
        Candidate {
            engine: number,
            reason,
            held_pieces,
            held_at: cached_prefix.map_or(Instant::ZERO, |cached| cached.at),
            missed_tokens,
            backlog,
            score: prompt_cost(token_cost, missed_tokens).mul_f64(recompute_weight(backlog))
                + backlog
                + zone_cost
                + unplaced_cost,
        }
    }

    fn adapt_replicas(
        &mut self,
        request: &RoutingRequest,
        known: PrefixInfo,
        chosen: Candidate,
        now: Instant,
    ) {
        let hash = request.prefix.hashes()[known.placement_pieces];
        match chosen.reason {
            Reason::Replicated => self.index.add_replica(hash, now),
            Reason::Home | Reason::Placed if chosen.backlog > Duration::ZERO => {
                self.index.keep_replicas(hash, now);
            }
            _ => {}
        }
    }

    fn is_tried(&self, request: &RoutingRequest, number: EngineNumber) -> bool {
        let name = &self.engine_table.names[usize::from(number)];
        request.tried.contains(name)
    }
}

/// Returns the weight of a token that is computed behind a backlog.
fn recompute_weight(backlog: Duration) -> f64 {
    RECOMPUTE_WEIGHT_MIN + backlog.as_secs_f64() / BACKLOG_PER_RECOMPUTE_WEIGHT.as_secs_f64()
}

/// Returns the time to compute a number of tokens.
fn prompt_cost(token_cost: Duration, tokens: Tokens) -> Duration {
    token_cost * u32::try_from(tokens).unwrap_or(u32::MAX)
}
