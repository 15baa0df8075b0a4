//! Collects the candidates for a request and dispatches it to the chosen one.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::choice::{
    Candidate, Placement, ResourceDemand, choose_candidate, prefill_time, required_memory_tokens,
};
use super::dispatch::DispatchedRequest;
use super::prompt_prefixes::PromptPrefixes;
use super::request::PlacementRequest;
use crate::clock::Instant;
use crate::gateway::fetch_sources::{CACHE_STORE_HOLDER, FetchSources, LONG_PREFIX_TOKENS_MIN};
use crate::gateway::model::WeightNumber;
use crate::gateway::name_hash::{NameHash, hash_name};
use crate::gateway::prefix_cache_index::CachedPrefix;
use crate::gateway::prompt::PrefixHash;
use crate::gateway::service_rollout::VersionRule;
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_registry::{Upstream, UpstreamLoad};
use crate::ids::Tokens;

/// Requests per slot that a plain service may have in flight before others wait.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Fraction of the time limit for new weights after which an engine with older ones receives no
/// requests; a request may wait at its engine for the rest of that time.
const OLDER_WEIGHTS_CUTOFF_FRACTION: f64 = 0.8;
/// As [`OLDER_WEIGHTS_CUTOFF_FRACTION`], for a stream whose last allowed run begins there: if it
/// waited too long, it would have to be withdrawn and end.
const FINAL_RUN_CUTOFF_FRACTION: f64 = 0.6;
/// Time since target weights were set from which an engine without them costs more.
const OLDER_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);

/// Upstream that may receive a request, with what it has cached of the prompt.
struct EligibleUpstream<'a> {
    upstream: &'a Upstream,
    name_hash: NameHash,
    weights: WeightNumber,
    cached_tokens: Tokens,
    fetchable_tokens: Tokens,
    fetch_from: Option<SocketAddr>,
}

impl GatewayState {
    /// Chooses an upstream of the permitted versions and counts the request in its load.
    ///
    /// # Errors
    ///
    /// Returns [`Placement::NoRoom`] or [`Placement::NoCandidate`] if no upstream was chosen.
    pub(super) fn try_place_at(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &PlacementRequest,
        versions: &VersionRule,
        now: Instant,
    ) -> Result<DispatchedRequest, Placement> {
        self.refresh_peer_view(now);
        let prefixes = PromptPrefixes::new(request);
        let resource_demand = resource_demand(request);
        let eligible_upstreams =
            self.eligible_upstreams(gateway, request, versions, prefixes.as_ref(), now)?;
        let is_load_aware = self.is_load_aware(&request.service);
        let candidates: Vec<Candidate> = eligible_upstreams
            .iter()
            .enumerate()
            .map(|(rank, eligible)| {
                let has_shared_prefix = prefixes
                    .as_ref()
                    .is_some_and(|prefixes| prefixes.longest_shared_prefix().is_some());
                let rank = if has_shared_prefix { rank } else { 0 };
                let candidate = self.candidate(gateway, request, eligible, rank, now);
                let speed =
                    is_load_aware.then(|| self.engine_tokens_per_ms(eligible.upstream, now));
                Candidate {
                    prefill_tokens_per_ms: speed,
                    ..candidate
                }
            })
            .collect();
        let placement = match is_load_aware && prefixes.is_none() {
            true => {
                let upstreams = eligible_upstreams.iter().map(|eligible| eligible.upstream);
                self.choose_plain_upstream(request, upstreams.zip(&candidates), now)
            }
            false => choose_candidate(&self.placement_settings, &resource_demand, &candidates),
        };
        let Placement::Chosen(index) = placement else {
            return Err(placement);
        };
        let (eligible, candidate) = (&eligible_upstreams[index], &candidates[index]);
        let needs_permit = self.needs_permit(eligible.upstream);
        let load_estimate = is_load_aware.then(|| self.load_estimate(eligible.upstream, now));
        let available_tokens = eligible.cached_tokens.max(eligible.fetchable_tokens);
        let load = UpstreamLoad {
            requests: 1,
            prefill_tokens: resource_demand
                .prompt_tokens
                .saturating_sub(available_tokens),
            memory_tokens: required_memory_tokens(&resource_demand, eligible.cached_tokens),
        };
        let weights = prefixes.as_ref().map(|_| eligible.weights);
        let save_to = prefixes
            .as_ref()
            .and_then(|prefixes| self.save_to(prefixes, available_tokens));
        let dispatched = DispatchedRequest::new(gateway, eligible.upstream, load, weights)
            .with_cached(eligible.cached_tokens, eligible.fetch_from)
            .with_save_to(save_to)
            .with_tokens_ahead(candidate.prefill_tokens)
            .with_time_behind(self.time_behind_target(eligible.upstream, prefixes.as_ref(), now))
            .with_needs_permit(needs_permit)
            .with_load_estimate(load_estimate);
        let name_hash = eligible.name_hash;
        let prefill_tokens_total = candidate.prefill_tokens + load.prefill_tokens;
        let due = dispatched.response_due(
            prefill_time(
                candidate.speed(&self.placement_settings),
                prefill_tokens_total,
            ),
            request.objective,
        );
        if let Some(upstream) = self.upstreams.get_mut(&dispatched.instance.id) {
            upstream.own_load = upstream.own_load.plus(load);
            upstream.load_record.record_sent();
            upstream.expect_response(dispatched.number(), due);
        }
        self.record_limited_choice(&request.service, &dispatched, now);
        if prefixes.is_some() {
            let prefill_tokens = resource_demand
                .prompt_tokens
                .saturating_sub(dispatched.cached_tokens);
            self.cache_retention
                .record_prefill(&request.service, prefill_tokens, now);
        }
        if save_to.is_some() {
            self.cache_retention
                .record_store_write(resource_demand.prompt_tokens, now);
        }
        let prefixes = prefixes.iter().flat_map(|prefixes| prefixes.shared());
        let weights = dispatched.weights.unwrap_or_default();
        for (prefix, tokens) in prefixes {
            let cached = CachedPrefix {
                prefix: *prefix as NameHash,
                engine: name_hash,
                weights,
                is_long: *tokens >= LONG_PREFIX_TOKENS_MIN,
            };
            self.prefix_cache_index.record_prefill(cached, now);
            if save_to.is_some() {
                let engine = hash_name(CACHE_STORE_HOLDER);
                let saved = CachedPrefix { engine, ..cached };
                self.prefix_cache_index.record_prefill(saved, now);
            }
        }
        Ok(dispatched)
    }

    /// Returns the prompt tokens that no engine is known to have cached.
    pub(in crate::gateway) fn prefill_tokens(
        &self,
        request: &PlacementRequest,
        now: Instant,
    ) -> Tokens {
        let Some(prefixes) = PromptPrefixes::new(request) else {
            return 0;
        };
        let weights: HashSet<WeightNumber> = self
            .serving(&request.service, now)
            .map(|upstream| upstream.weights(&prefixes.prompt.model).unwrap_or_default())
            .collect();
        let is_cached = |prefix: PrefixHash| {
            let mut weights = weights.iter();
            weights.any(|number| {
                self.prefix_cache_index
                    .holders(prefix, *number, now)
                    .next()
                    .is_some()
            })
        };
        let cached_tokens = prefixes
            .shared()
            .iter()
            .rev()
            .find(|(prefix, _)| is_cached(*prefix));
        let cached_tokens = cached_tokens.map_or(0, |(_, tokens)| *tokens);
        prefixes.prompt.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Returns the upstreams that may receive the request, in the rendezvous order of its longest
    /// shared prefix.
    fn eligible_upstreams<'a>(
        &'a self,
        gateway: &Gateway,
        request: &'a PlacementRequest,
        versions: &VersionRule,
        prefixes: Option<&PromptPrefixes<'_>>,
        now: Instant,
    ) -> Result<Vec<EligibleUpstream<'a>>, Placement> {
        let untried = self
            .upstreams
            .ready(&request.service)
            .filter(|upstream| request.permits(upstream))
            .filter(|upstream| versions.permits(upstream.entry.software.as_ref()));
        let upstreams: Vec<&Upstream> = untried.collect();
        if upstreams.is_empty() {
            return Err(Placement::NoCandidate);
        }
        let weights_timeout = gateway.settings.bounds.weights_timeout;
        let cutoff = match request.is_final_run {
            true => weights_timeout.mul_f64(FINAL_RUN_CUTOFF_FRACTION),
            false => older_weights_cutoff(weights_timeout),
        };
        let recent_enough = upstreams
            .into_iter()
            .filter(|upstream| self.unavailable_until(upstream, now).is_none())
            .filter(|upstream| self.time_behind_target(upstream, prefixes, now) < cutoff);
        let seed = prefixes
            .and_then(PromptPrefixes::longest_shared_prefix)
            .unwrap_or_else(rand::random);
        let mut recent_enough: Vec<&Upstream> = recent_enough.collect();
        let preferred = request.preferred_upstream.as_ref();
        let is_preferred = |upstream: &&Upstream| Some(&upstream.instance.id) == preferred;
        if let Some(upstream) = recent_enough.iter().copied().find(is_preferred) {
            recent_enough = vec![upstream];
        }
        let sources = prefixes.map(|prefixes| {
            let weights = recent_enough
                .iter()
                .map(|upstream| upstream.weights(&prefixes.prompt.model).unwrap_or_default())
                .collect();
            self.fetch_sources(&request.service, prefixes.shared(), &weights, now)
        });
        let mut eligible_upstreams: Vec<_> = recent_enough
            .into_iter()
            .map(|upstream| self.evaluate(upstream, prefixes.zip(sources.as_ref()), now))
            .collect();
        eligible_upstreams.sort_by_cached_key(|eligible| {
            Reverse(xxh3_64_with_seed(
                eligible.upstream.instance.id.as_bytes(),
                seed,
            ))
        });
        match eligible_upstreams.is_empty() {
            true => Err(Placement::NoRoom),
            false => Ok(eligible_upstreams),
        }
    }

    fn evaluate<'a>(
        &self,
        upstream: &'a Upstream,
        prompt: Option<(&PromptPrefixes<'_>, &FetchSources)>,
        now: Instant,
    ) -> EligibleUpstream<'a> {
        let name_hash = upstream.name_hash;
        let mut eligible = EligibleUpstream {
            upstream,
            name_hash,
            weights: 0,
            cached_tokens: 0,
            fetchable_tokens: 0,
            fetch_from: None,
        };
        let Some((prefixes, sources)) = prompt else {
            return eligible;
        };
        eligible.weights = upstream.weights(&prefixes.prompt.model).unwrap_or_default();
        for (prefix, tokens) in prefixes.shared().iter().rev() {
            if eligible.cached_tokens == 0
                && self
                    .prefix_cache_index
                    .is_cached(*prefix, name_hash, eligible.weights, now)
            {
                eligible.cached_tokens = *tokens;
            }
            if eligible.fetch_from.is_none() && *tokens >= eligible.cached_tokens {
                eligible.fetch_from = sources.address(*prefix, eligible.weights, name_hash);
                eligible.fetchable_tokens = eligible.fetch_from.map_or(0, |_| *tokens);
            }
        }
        eligible.fetch_from = eligible.fetch_from.or(sources.unconfirmed_store());
        eligible
    }

    /// Returns the cache store if the prompt should be saved there: its shared prefix is long, and
    /// neither the engines nor the store are known to hold it.
    fn save_to(
        &self,
        prefixes: &PromptPrefixes<'_>,
        available_tokens: Tokens,
    ) -> Option<SocketAddr> {
        let shared_tokens = prefixes.shared().last().map_or(0, |(_, tokens)| *tokens);
        let uncached = shared_tokens.saturating_sub(available_tokens);
        let store = self
            .cache_store
            .filter(|_| uncached >= LONG_PREFIX_TOKENS_MIN);
        store.map(|store| store.address)
    }

    /// Returns for how long an engine has lacked target weights.
    fn time_behind_target(
        &self,
        upstream: &Upstream,
        prefixes: Option<&PromptPrefixes<'_>>,
        now: Instant,
    ) -> Duration {
        let since = prefixes.and_then(|prefixes| {
            let current = upstream.weights(&prefixes.prompt.model).unwrap_or_default();
            self.weight_histories
                .get(&prefixes.prompt.model)?
                .behind_since(current)
        });
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn candidate(
        &self,
        gateway: &Gateway,
        request: &PlacementRequest,
        eligible: &EligibleUpstream<'_>,
        rank: usize,
        now: Instant,
    ) -> Candidate {
        let upstream = eligible.upstream;
        let load = self.total_load(upstream);
        let profile = self.engine_profiles.get(&request.service);
        let slots = upstream.entry.slots;
        Candidate {
            rendezvous_rank: rank,
            prefill_tokens: load.prefill_tokens,
            memory_tokens: load.memory_tokens,
            memory_capacity_tokens: profile.map_or(Tokens::MAX, |profile| profile.memory_tokens),
            requests: load.requests,
            slots: match request.prompt {
                None => slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT),
                Some(_) => slots,
            },
            prefill_tokens_per_ms: None,
            cached_tokens: eligible.cached_tokens,
            fetchable_tokens: eligible.fetchable_tokens,
            is_same_zone: upstream.entry.availability_zone == gateway.settings.availability_zone,
            is_avoided: upstream.is_avoided(now)
                || (self.peer_view.is_reported_unreachable(upstream.name_hash)
                    && !upstream.has_responded_recently(now)),
            has_older_weights: self.has_older_weights(upstream, request, now),
            is_last_resort: upstream.is_rejecting(now)
                || (request.prompt.is_some()
                    && self.is_in_rollout(eligible.name_hash, upstream, now)),
        }
    }

    fn has_older_weights(
        &self,
        upstream: &Upstream,
        request: &PlacementRequest,
        now: Instant,
    ) -> bool {
        let since = request.prompt.as_ref().and_then(|prompt| {
            let current = upstream.weights(&prompt.model).unwrap_or_default();
            self.weight_histories
                .get(&prompt.model)?
                .behind_since(current)
        });
        since.is_some_and(|since| now.saturating_sub(since) >= OLDER_WEIGHTS_GRACE)
    }

    fn is_in_rollout(&self, name_hash: NameHash, upstream: &Upstream, now: Instant) -> bool {
        self.engines_in_rollout.contains(&upstream.instance.id)
            || upstream.is_order_assumed(now)
            || self.peer_view.is_in_rollout(name_hash)
    }
}

/// Returns the time since target weights were set after which engines without them receive no
/// requests.
pub(in crate::gateway) fn older_weights_cutoff(weights_timeout: Duration) -> Duration {
    weights_timeout.mul_f64(OLDER_WEIGHTS_CUTOFF_FRACTION)
}

fn resource_demand(request: &PlacementRequest) -> ResourceDemand {
    let prompt = request.prompt.as_ref();
    ResourceDemand {
        prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
        output_tokens: prompt.map_or(0, |prompt| prompt.expected_output_tokens()),
        wait_objective: request.wait_objective,
    }
}
