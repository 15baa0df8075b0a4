//! Engines and the cache store from which the shared prefixes of a prompt can be fetched.
//!
//! Load pattern: each request is compared with every engine of its service. Where a prefix can be
//! fetched from depends only on the prefix and the weights, so it is determined once per request
//! and not once per engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::cache_retention::is_store_likelier;
use super::model::WeightNumber;
use super::name_hash::{NameHash, hash_name};
use super::prompt::PrefixHash;
use super::state::GatewayState;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Name of the cache store among the holders in the prefix cache index; it is hashed.
pub(super) const CACHE_STORE_HOLDER: &str = "cache store";

/// Sources of the prefixes of one prompt.
#[derive(Debug)]
pub(super) struct FetchSources {
    sources: Vec<PrefixSources>,
    engine_retention: Duration,
    cache_store_retention: Duration,
    /// Cache store that may hold the prompt although no VM has announced it.
    unconfirmed_store: Option<SocketAddr>,
}

/// Sources of one prefix that was cached under some weights.
#[derive(Debug)]
struct PrefixSources {
    prefix: PrefixHash,
    weights: WeightNumber,
    /// Engines that used the prefix last, most recent first. One of them may be the engine that
    /// fetches, so two are enough.
    engines: Vec<EngineSource>,
    cache_store: Option<CacheStoreSource>,
}

#[derive(Debug, Clone, Copy)]
struct EngineSource {
    name_hash: NameHash,
    address: SocketAddr,
    age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct CacheStoreSource {
    address: SocketAddr,
    age: Duration,
}

/// Minimum length of a shared prefix that is worth a transfer: to process fewer tokens takes about
/// as long. Shorter prefixes are not saved, and announced only if there is room.
pub(super) const LONG_PREFIX_TOKENS_MIN: Tokens = 1_000;
/// Number of engines kept per prefix.
const ENGINES_PER_PREFIX: usize = 2;

impl FetchSources {
    /// Returns the cache store if it may hold more of the prompt than an engine does.
    ///
    /// A VM learns of only some of the prompts that the others have saved, and a fetch without any
    /// data costs much less than to process a long prefix again.
    pub(super) fn unconfirmed_store(&self) -> Option<SocketAddr> {
        self.unconfirmed_store
    }

    /// Returns where an engine can fetch a prefix from: the engine that used it last or the cache
    /// store, whichever is less likely to have evicted it.
    ///
    /// A source is returned even for an engine that is assumed to have the prefix cached: it may
    /// have evicted it, and a fetch without any data costs almost nothing.
    pub(super) fn address(
        &self,
        prefix: PrefixHash,
        weights: WeightNumber,
        fetching_engine: NameHash,
    ) -> Option<SocketAddr> {
        let found = self
            .sources
            .iter()
            .find(|sources| sources.prefix == prefix && sources.weights == weights)?;
        let engine = found
            .engines
            .iter()
            .find(|engine| engine.name_hash != fetching_engine);
        match (engine, found.cache_store) {
            (Some(engine), Some(store)) => {
                let is_store_likelier = is_store_likelier(
                    store.age,
                    self.cache_store_retention,
                    engine.age,
                    self.engine_retention,
                );
                Some(match is_store_likelier {
                    true => store.address,
                    false => engine.address,
                })
            }
            (engine, store) => engine
                .map(|engine| engine.address)
                .or(store.map(|store| store.address)),
        }
    }
}

impl GatewayState {
    /// Collects the sources of a prompt's shared prefixes under each of the weights.
    pub(super) fn fetch_sources(
        &self,
        service: &str,
        shared: &[(PrefixHash, Tokens)],
        weights: &BTreeSet<WeightNumber>,
        now: Instant,
    ) -> FetchSources {
        let keys = shared
            .iter()
            .flat_map(|(prefix, _)| weights.iter().map(move |weights| (*prefix, *weights)));
        let sources = keys.map(|(prefix, weights)| PrefixSources {
            prefix,
            weights,
            engines: self.source_engines(service, prefix, weights, now),
            cache_store: self.cache_store_copy(prefix, weights, now),
        });
        let shared_tokens = shared.last().map_or(0, |(_, tokens)| *tokens);
        let store = self
            .cache_store
            .filter(|_| shared_tokens >= LONG_PREFIX_TOKENS_MIN);
        FetchSources {
            sources: sources.collect(),
            unconfirmed_store: store.map(|store| store.address),
            engine_retention: self.engine_retention(service, now),
            cache_store_retention: self.cache_store_retention(now),
        }
    }

    fn source_engines(
        &self,
        service: &str,
        prefix: PrefixHash,
        weights: WeightNumber,
        now: Instant,
    ) -> Vec<EngineSource> {
        let holders = self.prefix_cache_index.holders(prefix, weights, now);
        let usable = holders.filter_map(|holder| {
            let upstream = self.upstreams.by_hash(holder.engine)?;
            let is_usable = upstream.entry.service == service
                && upstream.is_ready()
                && !upstream.is_avoided(now);
            is_usable.then(|| EngineSource {
                name_hash: holder.engine,
                address: upstream.entry.address,
                age: now.saturating_sub(holder.last_used_at),
            })
        });
        usable.take(ENGINES_PER_PREFIX).collect()
    }

    /// Returns the cache store if it is assumed to hold a prefix.
    fn cache_store_copy(
        &self,
        prefix: PrefixHash,
        weights: WeightNumber,
        now: Instant,
    ) -> Option<CacheStoreSource> {
        let store = self.cache_store?;
        let last_used_at =
            self.prefix_cache_index
                .last_used_at(prefix, hash_name(CACHE_STORE_HOLDER), weights)?;
        let age = now.saturating_sub(last_used_at);
        (age < self.cache_store_retention(now)).then_some(CacheStoreSource {
            address: store.address,
            age,
        })
    }

    fn engine_retention(&self, service: &str, now: Instant) -> Duration {
        let upstreams = self.upstreams.ready(service).count();
        let memory = self.engine_profiles.get(service);
        let memory = memory.map_or(Tokens::MAX, |profile| profile.memory_tokens);
        self.cache_retention
            .engine_retention(service, memory, upstreams, self.fleet_size(), now)
    }

    fn cache_store_retention(&self, now: Instant) -> Duration {
        let capacity = self.cache_store.map_or(0, |store| store.capacity_tokens);
        self.cache_retention
            .cache_store_retention(capacity, self.fleet_size(), now)
    }
}
