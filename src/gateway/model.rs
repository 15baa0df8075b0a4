//! Data model of routes, services, customers, upstreams and weights.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::KeyDigest;
use crate::ids::{AvailabilityZoneId, CustomerId, ModelId, ObjectVersion, Tokens, VmId};

/// Name of a service.
pub type ServiceId = String;

/// Name of a version of the software that an upstream runs. Versions have no order.
pub type SoftwareVersion = String;

/// Version number of a model's weights; newer weights have higher numbers.
pub type WeightNumber = u64;

/// Kind of a route, which determines whether its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are streams of events.
    Streaming,
}

/// Route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the request must name.
    pub host: String,
    /// Prefix of the path, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Kind, which determines whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Target time to the first event or to the response.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services, each with its weight in the random choice.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub is_resumable: bool,
}

impl Route {
    /// Returns whether requests may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// Capacity of each engine of a service that runs models.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineProfile {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into the memory of an engine.
    pub memory_tokens: Tokens,
}

/// Service that is provided by a group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Maximum number of connections that one upstream accepts from all VMs together; 0 if unknown.
    pub connections_max: u32,
    /// Capacity of its engines, if it runs models.
    pub engine: Option<EngineProfile>,
    /// Address and capacity, if the service is a cache store for prompts.
    pub cache_store: Option<CacheStore>,
}

/// Cache store for prompts that engines can save to and fetch from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CacheStore {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Number of tokens that it can store.
    pub capacity_tokens: Tokens,
}

/// Unit in which requests are charged to a customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CostUnit {
    /// One unit per request.
    Request,
    /// Prompt and output tokens of the request, or a fixed number if it has no prompt.
    Token {
        /// Cost of a request without a prompt.
        plain_tokens: Tokens,
    },
}

/// Rate and burst of a customer, for all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Allowance {
    /// Unit that is counted.
    pub unit: CostUnit,
    /// Rate in units per second.
    pub rate_per_s: u64,
    /// Maximum burst in units.
    pub burst: u64,
}

/// Customer with its API keys and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Whether its cached prompts are not shared with other customers.
    pub is_isolated: bool,
    /// Rate limit, or `None` if the customer has no limit.
    pub allowance: Option<Allowance>,
}

/// Complete configuration of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingConfig {
    /// Version; newer configurations have higher versions.
    pub version: ObjectVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers; if empty, no request needs an API key.
    pub customers: Vec<Customer>,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// Idle timeout of a caller's connection.
    pub connection_idle: Duration,
}

/// Model with the weights that an upstream has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version number of the loaded weights.
    pub weights: WeightNumber,
}

/// Stage of an upstream's life, which determines whether it accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStage {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
}

/// Entry of an upstream in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamEntry {
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub availability_zone: AvailabilityZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; `None` if a VM that does not know of versions has passed the entry on.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
    /// Stage, which determines whether it accepts new requests.
    pub stage: UpstreamStage,
    /// Loaded models with their weights.
    pub models: Vec<LoadedModel>,
    /// Unix time of its start in milliseconds, which distinguishes two starts with the same name.
    pub born_ms: u64,
}

/// Target weights of a model, set by the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetWeights {
    /// Name of the model.
    pub model: ModelId,
    /// Version number of the target weights.
    pub weights: WeightNumber,
}

/// VM of the fleet, as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which it receives heartbeats (UDP) and reads by peers (TCP).
    pub peer_address: SocketAddr,
    /// Availability zone in which it runs.
    pub availability_zone: AvailabilityZoneId,
}
