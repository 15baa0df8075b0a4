//! What the gateway knows of routes, services, customers, upstreams and weights.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::KeyDigest;
use crate::ids::{AvailabilityZoneId, CustomerId, ModelId, ObjectVersion, Tokens, VmId};

/// Name of a service.
pub type ServiceId = String;

/// Number of a version of a model's weights; it only rises.
pub type WeightNumber = u64;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming,
}

/// Requests of a host and path prefix, and where they go.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that the request must name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank; 0 is first.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another upstream.
    pub is_resumable: bool,
}

/// Memory and speed of a service's model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory.
    pub memory_tokens: Tokens,
}

/// Upstreams of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// Connections that one upstream accepts from all VMs together; 0 where none is stated.
    pub connections_max: u32,
    /// What its engines are like, where they are model engines.
    pub engine: Option<EngineProfile>,
    /// What it keeps, where it is no more than a store of cached prompts.
    pub cache_store: Option<CacheStore>,
}

/// Store of cached prompts beside the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CacheStore {
    /// Address.
    pub address: SocketAddr,
    /// Tokens that it keeps.
    pub capacity_tokens: Tokens,
}

/// What a request costs a customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CostUnit {
    /// One for each request.
    Request,
    /// Its prompt and output tokens, or a fixed number where it names none.
    Token {
        /// Cost of a request that names no tokens.
        plain_tokens: Tokens,
    },
}

/// Rate and burst of a customer over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Allowance {
    /// What is counted.
    pub unit: CostUnit,
    /// Units a second.
    pub rate_per_s: u64,
    /// Units saved up at most.
    pub burst: u64,
}

/// Customer with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Customer {
    /// Name.
    pub id: CustomerId,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before its routes' ranks.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt with others.
    pub is_isolated: bool,
    /// Its rate; nothing where it has no limit.
    pub allowance: Option<Allowance>,
}

/// Whole configuration of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingConfig {
    /// Version; it only rises.
    pub version: ObjectVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Customers; empty where requests need no key.
    pub customers: Vec<Customer>,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// How long a caller's connection may sit idle.
    pub connection_idle: Duration,
}

/// Weights of a model that an upstream has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Number of its weights.
    pub weights: WeightNumber,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStage {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What an upstream says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamEntry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZoneId,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: UpstreamStage,
    /// Weights that it has.
    pub models: Vec<LoadedModel>,
    /// Unix time of its start, in milliseconds; tells two starts under one name apart.
    pub born_ms: u64,
}

/// Weights that the operator wants the engines of a model to have.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NamedWeights {
    /// Name of the model.
    pub model: ModelId,
    /// Number of the weights.
    pub weights: WeightNumber,
}

/// VM of the fleet, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it listens for beats and for reads by peers.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZoneId,
}
