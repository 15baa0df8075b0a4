//! Routing table: a configuration compiled for look-ups.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::cache_group::{IsolatedSet, isolated_set};
use super::model::{CacheStore, Customer, EngineProfile, Route, RoutingConfig, Service, ServiceId};
use crate::document::{KeyDigest, digest_key};
use crate::ids::ObjectVersion;

/// One version of the configuration, indexed for look-ups and immutable.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: ObjectVersion,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// Customers that share no cached prompts with others.
    pub isolated_customers: IsolatedSet,
    requires_keys: bool,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    customers_by_key: HashMap<KeyDigest, Arc<Customer>>,
    customers: Vec<Arc<Customer>>,
}

impl RoutingTable {
    /// Compiles a configuration.
    pub fn new(config: &RoutingConfig) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default();
            host.push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let customers: Vec<_> = config.customers.iter().cloned().map(Arc::new).collect();
        let mut customers_by_key = HashMap::new();
        for customer in &customers {
            customers_by_key.extend(customer.keys.iter().map(|key| (*key, customer.clone())));
        }
        let services = config.services.iter().cloned();
        let isolated = customers.iter().filter(|customer| customer.is_isolated);
        Self {
            version: config.version,
            body_max_bytes: config.body_max_bytes,
            isolated_customers: isolated_set(isolated.map(|customer| customer.id.as_str())),
            requires_keys: !customers.is_empty(),
            routes_by_host,
            services: services
                .map(|service| (service.id.clone(), service))
                .collect(),
            customers_by_key,
            customers,
        }
    }

    /// Returns the route of a host whose path prefix is the longest that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.routes_by_host.get(name) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the shortest objective among the routes of a service that are at least as urgent as
    /// the given route.
    ///
    /// If a longer objective limited the work queued at an engine, the other routes would miss
    /// theirs.
    pub fn shortest_objective(&self, service: &str, route: &Route) -> Duration {
        let urgent = self.routes().filter(|other| {
            let is_of_service = other.services.iter().any(|(id, _)| id == service);
            is_of_service && other.priority <= route.priority
        });
        let objectives = urgent.map(|other| other.objective);
        objectives.fold(route.objective, Duration::min)
    }

    /// Returns whether requests to a route require an API key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.is_public
    }

    /// Returns the customer that an API key belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers_by_key.get(&digest_key(key))
    }

    /// Returns all customers.
    pub fn customers(&self) -> &[Arc<Customer>] {
        &self.customers
    }

    /// Returns the engine profile of each service that runs models.
    pub fn engine_profiles(&self) -> HashMap<ServiceId, EngineProfile> {
        let services = self.services.values();
        let engines =
            services.filter_map(|service| Some((service.id.clone(), service.engine.clone()?)));
        engines.collect()
    }

    /// Returns the cache store for prompts, if there is one.
    pub fn cache_store(&self) -> Option<CacheStore> {
        self.services
            .values()
            .find_map(|service| service.cache_store)
    }

    /// Returns the names of all services.
    pub fn service_ids(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns the service with a name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.get(id)
    }
}
