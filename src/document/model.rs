//! Typed model of the operators' document.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZoneId, CustomerId, ModelId, Tokens, UpstreamId, WeightVersion};

/// Length of a SHA-256 key digest.
pub const KEY_DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key.
pub type KeyDigest = [u8; KEY_DIGEST_BYTES];

/// Name of a route.
pub type RouteId = String;

/// Customers, models, upstreams and routes of one environment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Environment that the document is meant for, such as `trial`.
    pub environment: String,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Routes to plain services by name.
    pub routes: BTreeMap<RouteId, Route>,
}

/// Customer with its keys, limits and models.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    /// Digests of the customer's valid keys.
    pub key_digests: Vec<KeyDigest>,
    /// Rate over all VMs together, in tokens a second.
    pub rate_tokens_per_s: Tokens,
    /// Burst over all VMs together, in tokens.
    pub burst_tokens: Tokens,
    /// Share of a saturated upstream, relative to other customers.
    pub weight: u32,
    /// Models that the customer may call.
    pub models: Vec<ModelId>,
    /// Group whose members share cached prefixes; `None` if the customer shares with no other.
    pub shared_group: Option<String>,
}

/// Model that callers may request by its name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// Weight version that must produce the responses.
    pub weight_version: WeightVersion,
    /// Adapter loaded over the weights, if any.
    pub adapter: Option<String>,
    /// Maximum length of prompt and output together, in tokens.
    pub context_max_tokens: Tokens,
    /// Maximum length of the output, in tokens, and its default where the caller sets no limit.
    pub output_max_tokens: Tokens,
}

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Model engine.
    #[default]
    Engine,
    /// HTTP service without a model, called through routes.
    PlainService,
    /// Store of exported cache pieces.
    KeptCacheStore,
}

/// How an upstream handles an order with an outdated fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// The upstream refuses the order.
    Refuses,
    /// The upstream does not check the number and carries out the order.
    #[default]
    Ignores,
}

/// Whether an upstream receives new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream receives new requests.
    #[default]
    Serving,
    /// The upstream finishes the requests in flight and receives no new ones.
    Leaving,
}

/// Back end to which requests are forwarded.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Upstream {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone in which the upstream runs.
    pub availability_zone: AvailabilityZoneId,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Models that the upstream serves; empty unless it is an engine.
    pub models: Vec<ModelId>,
    /// Whether a request that may already have run may be sent again.
    pub repeatable: bool,
    /// Whether the upstream runs requests with the same idempotency key only once.
    pub honours_idempotency_key: bool,
    /// How the upstream handles outdated fencing numbers.
    pub fencing: FencingCheck,
    /// Bearer credential sent to the upstream, if any.
    pub credential: Option<String>,
    /// Whether the upstream receives new requests.
    pub state: UpstreamState,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            availability_zone: AvailabilityZoneId::default(),
            kind: UpstreamKind::default(),
            models: Vec::new(),
            repeatable: false,
            honours_idempotency_key: false,
            fencing: FencingCheck::default(),
            credential: None,
            state: UpstreamState::default(),
        }
    }
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upstream")
            .field("address", &self.address)
            .field("availability_zone", &self.availability_zone)
            .field("kind", &self.kind)
            .field("models", &self.models)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Requests with a customer's key.
    #[default]
    Key,
    /// All requests, with or without a key.
    Open,
}

/// Path prefix whose requests are forwarded to plain services.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Path prefix, starting with a slash.
    pub path_prefix: String,
    /// Plain services that serve the route.
    pub upstreams: Vec<UpstreamId>,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Tokens charged to the customer for each request.
    pub cost_tokens: Tokens,
}
