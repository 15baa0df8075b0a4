//! Placing of requests: what is known of the upstreams, put before the choice.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::dispatch::Dispatched;
use super::fleet::{Engine, Work};
use super::heartbeat::{NameHash, hash_name};
use super::model::WeightNumber;
use super::placement::{Candidate, Demand, Place, choose, memory_tokens, read_time};
use super::prompt::{ChainHash, Prompt};
use super::retention::is_likelier_stored;
use super::state::{Gateway, GatewayState, PlacementRequest};
use crate::clock::Instant;
use crate::ids::Tokens;

/// Requests that a plain service may have for each of its slots before others wait.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Part of the time for new weights after which nothing is sent to older ones any more; a request
/// may wait for the rest of it at its engine.
const OLDER_WEIGHTS_PART: f64 = 0.8;
/// Time since weights were named from which an engine without them is worth less.
const OLDER_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);

/// Name under which the store of cached prompts stands among the holders.
const CACHE_STORE: &str = "cache store";
/// Shortest shared part that is worth keeping beside the engines.
const SAVED_TOKENS_MIN: Tokens = 1_000;

/// Prompt with the chains of its parts.
struct Asked<'a> {
    prompt: &'a Prompt,
    chains: Vec<(ChainHash, Tokens)>,
}

/// Engine with what it has of a prompt.
struct EngineOption<'a> {
    engine: &'a Engine,
    name: NameHash,
    weights: WeightNumber,
    held: Tokens,
    fetched: Tokens,
    source: Option<SocketAddr>,
}

impl<'a> Asked<'a> {
    /// Returns the prompt of a request, where it has one.
    fn new(request: &'a PlacementRequest) -> Option<Self> {
        let prompt = request.prompt.as_deref()?;
        let chains = prompt.chains(request.isolated_customer.as_deref().unwrap_or_default());
        Some(Self { prompt, chains })
    }

    /// Returns the chains that other prompts may share: all but the last part.
    fn shared(&self) -> &[(ChainHash, Tokens)] {
        &self.chains[..self.chains.len().saturating_sub(1)]
    }

    /// Returns the chain that decides where its readers meet.
    fn home(&self) -> Option<ChainHash> {
        self.shared().last().map(|(chain, _)| *chain)
    }
}

impl GatewayState {
    /// Chooses an upstream and counts the request as sent to it.
    ///
    /// # Errors
    ///
    /// Returns [`Place::Wait`] or [`Place::Nowhere`].
    pub(super) fn try_place(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &PlacementRequest,
        now: Instant,
    ) -> Result<Dispatched, Place> {
        let asked = Asked::new(request);
        let demand = demand(request);
        let options = self.options(gateway, request, asked.as_ref(), now)?;
        let candidates: Vec<Candidate> = options
            .iter()
            .enumerate()
            .map(|(rank, option)| {
                let has_home = asked.as_ref().is_some_and(|asked| asked.home().is_some());
                let rank = if has_home { rank } else { 0 };
                self.candidate(gateway, request, option, rank, now)
            })
            .collect();
        let place = choose(&self.placement, &demand, &candidates);
        let Place::At(index) = place else {
            return Err(place);
        };
        let (option, candidate) = (&options[index], &candidates[index]);
        let found = option.held.max(option.fetched);
        let work = Work {
            requests: 1,
            reading_tokens: demand.prompt_tokens.saturating_sub(found),
            memory_tokens: memory_tokens(&demand, option.held),
        };
        let weights = asked.as_ref().map(|_| option.weights);
        let save_to = asked.as_ref().and_then(|asked| self.save_to(asked, found));
        let dispatched = Dispatched::new(gateway, option.engine, work, weights)
            .with_found(option.held, option.source)
            .with_save_to(save_to)
            .with_ahead(candidate.reading_tokens);
        let name = option.name;
        let tokens = candidate.reading_tokens + work.reading_tokens;
        let due = dispatched.due(read_time(&self.placement, tokens), request.objective);
        if let Some(engine) = self.fleet.get_mut(&dispatched.instance.id) {
            engine.own = engine.own.plus(work);
            engine.expect(dispatched.number(), due);
        }
        if asked.is_some() {
            let read = demand.prompt_tokens.saturating_sub(dispatched.held_tokens);
            self.retention.read(&request.service, read, now);
        }
        if save_to.is_some() {
            self.retention.saved(demand.prompt_tokens, now);
        }
        let chains = asked.iter().flat_map(|asked| asked.shared());
        for (chain, _) in chains {
            let weights = dispatched.weights.unwrap_or_default();
            self.holdings.read(*chain, name, weights, now);
            if save_to.is_some() {
                let store = hash_name(CACHE_STORE);
                self.holdings.read(*chain, store, weights, now);
            }
        }
        Ok(dispatched)
    }

    /// Returns the tokens of a prompt that some engine will have to read, as far as is known.
    pub(super) fn unread_tokens(&self, request: &PlacementRequest, now: Instant) -> Tokens {
        let Some(asked) = Asked::new(request) else {
            return 0;
        };
        let weights: HashSet<WeightNumber> = self
            .fleet
            .ready(&request.service)
            .map(|engine| engine.weights(&asked.prompt.model).unwrap_or_default())
            .collect();
        let is_held = |chain: ChainHash| {
            let mut weights = weights.iter();
            weights.any(|number| self.holdings.holders(chain, *number, now).next().is_some())
        };
        let held = asked
            .shared()
            .iter()
            .rev()
            .find(|(chain, _)| is_held(*chain));
        let held = held.map_or(0, |(_, tokens)| *tokens);
        asked.prompt.prompt_tokens.saturating_sub(held)
    }

    /// Returns the upstreams that the request may go to, the home of its shared part first.
    fn options<'a>(
        &'a self,
        gateway: &Gateway,
        request: &'a PlacementRequest,
        asked: Option<&Asked<'_>>,
        now: Instant,
    ) -> Result<Vec<EngineOption<'a>>, Place> {
        let untried = self
            .fleet
            .ready(&request.service)
            .filter(|engine| !request.tried_upstreams.contains(&engine.instance.id));
        let engines: Vec<&Engine> = untried.collect();
        if engines.is_empty() {
            return Err(Place::Nowhere);
        }
        let last_start = gateway
            .settings
            .bounds
            .weights_timeout
            .mul_f64(OLDER_WEIGHTS_PART);
        let in_time = engines
            .into_iter()
            .filter(|engine| self.behind(engine, asked, now) < last_start);
        let seed = asked.and_then(Asked::home).unwrap_or_else(rand::random);
        let mut options: Vec<_> = in_time
            .map(|engine| self.option(request, engine, asked, now))
            .collect();
        options.sort_by_cached_key(|option| {
            Reverse(xxh3_64_with_seed(
                option.engine.instance.id.as_bytes(),
                seed,
            ))
        });
        match options.is_empty() {
            true => Err(Place::Wait),
            false => Ok(options),
        }
    }

    fn option<'a>(
        &self,
        request: &PlacementRequest,
        engine: &'a Engine,
        asked: Option<&Asked<'_>>,
        now: Instant,
    ) -> EngineOption<'a> {
        let name = hash_name(&engine.instance.id);
        let mut option = EngineOption {
            engine,
            name,
            weights: 0,
            held: 0,
            fetched: 0,
            source: None,
        };
        let Some(asked) = asked else {
            return option;
        };
        option.weights = engine.weights(&asked.prompt.model).unwrap_or_default();
        for (chain, tokens) in asked.shared().iter().rev() {
            if option.held == 0 && self.holdings.holds(*chain, name, option.weights, now) {
                option.held = *tokens;
            }
            if option.source.is_none() && *tokens >= option.held {
                option.source = self.source(request, *chain, option.weights, name, now);
                option.fetched = option.source.map_or(0, |_| *tokens);
            }
        }
        option
    }

    /// Returns where else a chain is held: at the engine that used it last or in the store of cached
    /// prompts, whichever is less likely to have forgotten it.
    ///
    /// A source is named also for an engine that is believed to hold the chain: it may have
    /// forgotten it, and a fetch of nothing costs next to nothing.
    fn source(
        &self,
        request: &PlacementRequest,
        chain: ChainHash,
        weights: WeightNumber,
        but: NameHash,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut others = self
            .holdings
            .holders(chain, weights, now)
            .filter_map(|holder| {
                let mut engines = self.fleet.ready(&request.service);
                let engine =
                    engines.find(|engine| hash_name(&engine.instance.id) == holder.engine)?;
                let is_usable = holder.engine != but && !engine.is_avoided(now);
                is_usable.then_some((engine.entry.address, now.saturating_sub(holder.used_at)))
            });
        match (others.next(), self.stored(chain, weights, now)) {
            (Some((engine, engine_age)), Some((store, store_age))) => {
                let engine_keeps = self.engine_keeps(&request.service, now);
                let store_keeps = self.store_keeps(now);
                match is_likelier_stored(store_age, store_keeps, engine_age, engine_keeps) {
                    true => Some(store),
                    false => Some(engine),
                }
            }
            (engine, store) => engine.or(store).map(|(address, _)| address),
        }
    }

    /// Returns the store of cached prompts and the age of a chain there, where it holds the chain.
    fn stored(
        &self,
        chain: ChainHash,
        weights: WeightNumber,
        now: Instant,
    ) -> Option<(SocketAddr, Duration)> {
        let store = self.cache_store?;
        let used_at = self
            .holdings
            .used_at(chain, hash_name(CACHE_STORE), weights)?;
        let age = now.saturating_sub(used_at);
        (age < self.store_keeps(now)).then_some((store.address, age))
    }

    fn engine_keeps(&self, service: &str, now: Instant) -> Duration {
        let engines = self.fleet.ready(service).count();
        let memory = self.engine_profiles.get(service);
        let memory = memory.map_or(Tokens::MAX, |profile| profile.memory_tokens);
        self.retention
            .at_engine(service, memory, engines, self.fleet_size(), now)
    }

    fn store_keeps(&self, now: Instant) -> Duration {
        let capacity = self.cache_store.map_or(0, |store| store.capacity_tokens);
        self.retention.at_store(capacity, self.fleet_size(), now)
    }

    /// Returns the store that a prompt is to be kept in: its shared parts are long, and neither
    /// engines nor the store are known to hold them.
    fn save_to(&self, asked: &Asked<'_>, found: Tokens) -> Option<SocketAddr> {
        let shared = asked.shared().last().map_or(0, |(_, tokens)| *tokens);
        let missed = shared.saturating_sub(found);
        let store = self.cache_store.filter(|_| missed >= SAVED_TOKENS_MIN);
        store.map(|store| store.address)
    }

    /// Returns for how long an engine has lacked weights that were named.
    fn behind(&self, engine: &Engine, asked: Option<&Asked<'_>>, now: Instant) -> Duration {
        let since = asked.and_then(|asked| {
            let has = engine.weights(&asked.prompt.model).unwrap_or_default();
            self.named_weights
                .get(&asked.prompt.model)?
                .behind_since(has)
        });
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn candidate(
        &self,
        gateway: &Gateway,
        request: &PlacementRequest,
        option: &EngineOption<'_>,
        rank: usize,
        now: Instant,
    ) -> Candidate {
        let engine = option.engine;
        let work = self.work_at(engine);
        let profile = self.engine_profiles.get(&request.service);
        let slots = engine.entry.slots;
        Candidate {
            rank,
            reading_tokens: work.reading_tokens,
            memory_tokens: work.memory_tokens,
            memory_max_tokens: profile.map_or(Tokens::MAX, |profile| profile.memory_tokens),
            requests: work.requests,
            slots: match request.prompt {
                None => slots * PLAIN_REQUESTS_PER_SLOT,
                Some(_) => slots,
            },
            held_tokens: option.held,
            fetched_tokens: option.fetched,
            is_same_zone: engine.entry.availability_zone == gateway.settings.availability_zone,
            is_avoided: engine.is_avoided(now),
            is_older: self.is_older(engine, request, now),
            is_rolling: engine.is_closed(now)
                || (request.prompt.is_some() && self.is_rolling(option.name, engine, now)),
        }
    }

    fn is_older(&self, engine: &Engine, request: &PlacementRequest, now: Instant) -> bool {
        let since = request.prompt.as_ref().and_then(|prompt| {
            let has = engine.weights(&prompt.model).unwrap_or_default();
            self.named_weights.get(&prompt.model)?.behind_since(has)
        });
        since.is_some_and(|since| now.saturating_sub(since) >= OLDER_WEIGHTS_GRACE)
    }

    fn is_rolling(&self, name: NameHash, engine: &Engine, now: Instant) -> bool {
        self.engines_in_rollout.contains(&engine.instance.id) || self.peers.is_rolling(name, now)
    }
}

fn demand(request: &PlacementRequest) -> Demand {
    let prompt = request.prompt.as_ref();
    Demand {
        prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
        output_tokens: prompt.map_or(0, |prompt| prompt.expected_output()),
        wait_objective: request.wait_objective,
    }
}
