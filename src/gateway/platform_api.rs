//! Interface between the gateway and the platform: store client and message formats.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::crash_guard::{QuarantineRecord, Suspect};
use super::model::{Member, RoutingConfig, TargetWeights, UpstreamEntry, WeightNumber};
use super::prompt::Prompt;
use super::service_rollout::{RolloutEntry, RolloutStatus};
use super::upstream_capacity::AnnouncedServerLoad;
use super::upstream_limit::AnnouncedLimit;
use crate::ids::{FencingNumber, ModelId, ObjectVersion, RequestId, StoreEra, UpstreamId, VmId};
use crate::steward::{LeaseObject, LeaseRecord};

/// Kind of objects in the store that the gateway watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrackedKind {
    /// Routing configuration.
    Config,
    /// Registered upstreams.
    Upstreams,
    /// Target weights of models, set by the operator.
    Weights,
    /// Rollouts of software versions, ordered by the operator; watched where they are enabled.
    Rollouts,
}

impl TrackedKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Config, Self::Upstreams, Self::Weights, Self::Rollouts];
    /// Kinds that every gateway watches.
    ///
    /// Heartbeats state the revisions of these only, and a VM is a store relay if it watches them.
    pub const ALWAYS: [Self; 3] = [Self::Config, Self::Upstreams, Self::Weights];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Weights => "weights",
            Self::Rollouts => "rollouts",
        }
    }
}

/// Decoded content of a watched object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectRecord {
    /// Routing configuration.
    Config(Arc<RoutingConfig>),
    /// Registered upstream.
    Upstream(UpstreamEntry),
    /// Target weights of a model.
    Weights(TargetWeights),
    /// Rollout of a software version.
    Rollout(RolloutEntry),
    /// Object that cannot be used, with the reason.
    Unusable(String),
}

/// State of an object after a change, or in a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ObjectChange {
    /// Name of the object.
    pub name: String,
    /// Content of the object, or `None` if it was removed.
    pub record: Option<ObjectRecord>,
}

/// All objects of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Objects with their content.
    pub objects: Vec<ObjectChange>,
    /// Revision of the store at which the objects were listed.
    pub revision: ObjectVersion,
}

/// Changes returned by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeBatch {
    /// Changes in order; empty if the wait ended without a change.
    pub changes: Vec<ObjectChange>,
    /// Revision after which the next watch continues.
    pub revision: ObjectVersion,
}

/// Reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum StoreCallFailure {
    /// The store no longer keeps all changes after the given revision.
    ///
    /// The revision may be of an earlier era.
    #[error("the store no longer keeps the changes after the given revision")]
    HistoryGone,
    /// The store was restored from a copy during the call, or the response was sent before that.
    #[error("the store was restored from a copy during the call")]
    Restored,
    /// The store refused the call with this status and changed nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// No response was received; a write may have been applied or may still be applied.
    #[error("no response from the store: {0}")]
    NoResponse(String),
    /// The response could not be decoded.
    #[error("invalid response of the store: {0}")]
    InvalidResponse(String),
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied, and the object now has this revision.
    Applied(ObjectVersion),
    /// The object has another revision than expected; contains its current state.
    Conflict(LeaseObject),
}

/// Result of writing the status of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusWriteResult {
    /// The status was written, and the object now has this revision.
    Applied(ObjectVersion),
    /// The object has another revision than expected; contains its current content, or the reason
    /// why it cannot be used.
    Conflict(Result<RolloutEntry, String>),
    /// The object does not exist.
    Missing,
}

/// Client of the platform's store.
///
/// Every method returns a [`StoreCallFailure`] if the store refuses the call or no valid response
/// is received.
pub trait Store: Send + Sync + fmt::Debug {
    /// Lists all objects of a kind.
    fn list(&self, tracked: TrackedKind) -> BoxFuture<'_, Result<Listing, StoreCallFailure>>;
    /// Returns the changes of a kind after a revision, waiting up to `wait` for the first one.
    fn watch(
        &self,
        tracked: TrackedKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ChangeBatch, StoreCallFailure>>;
    /// Reads the lease that permits orders to engines.
    fn read_lease(&self) -> BoxFuture<'_, Result<LeaseObject, StoreCallFailure>>;
    /// Writes the lease if it has the expected revision; 0 means that it must not exist yet.
    fn write_lease(
        &self,
        expected: ObjectVersion,
        record: LeaseRecord,
    ) -> BoxFuture<'_, Result<WriteResult, StoreCallFailure>>;
    /// Lists the VMs of the fleet; an object that cannot be decoded is returned as the reason.
    fn members(&self) -> BoxFuture<'_, Result<Vec<Result<Member, String>>, StoreCallFailure>>;
    /// Registers a VM, replacing an earlier record of the same name.
    fn register(&self, member: Member) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
    /// Returns the highest era in the responses of the store so far; 0 if it does not count them.
    fn era(&self) -> StoreEra;
    /// Lists the states of what is held; one that cannot be decoded is returned as the
    /// reason.
    fn quarantined(
        &self,
    ) -> BoxFuture<'_, Result<Vec<Result<QuarantineRecord, String>>, StoreCallFailure>>;
    /// Writes a state, replacing an earlier one.
    fn put_quarantined(
        &self,
        record: QuarantineRecord,
    ) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
    /// Removes a state.
    fn remove_quarantined(&self, suspect: Suspect) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
    /// Writes the status of a rollout if its object has the expected revision.
    fn put_rollout_status(
        &self,
        name: String,
        expected: ObjectVersion,
        status: RolloutStatus,
    ) -> BoxFuture<'_, Result<StatusWriteResult, StoreCallFailure>>;
    /// Removes the record of a VM.
    fn unregister(&self, vm: VmId) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
}

/// Gateway-specific headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// Request id set by the caller.
    pub id: Option<RequestId>,
    /// API key from the `authorization` header.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the event after which a stream is to be resumed.
    pub last_event_id: Option<u64>,
    /// Id of the caller's earlier request that brought the first event of that stream.
    pub resumes: Option<RequestId>,
}

/// Gateway-specific headers of an upstream's response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the upstream states that the request did not run.
    pub is_not_run: bool,
    /// Weights that produced the response.
    pub weights: Option<WeightNumber>,
    /// Whether the response carries the seal that upstreams set.
    pub is_sealed: bool,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Time for which an upstream that rejects the request wants no others of this VM.
    pub retry_after: Option<Duration>,
    /// Requests that the upstream takes from all VMs together.
    pub limit: AnnouncedLimit,
    /// Rejections a second beyond which the upstream falls over.
    pub rejections_max: AnnouncedLimit,
    /// Load of the upstream, if it announces one that can be read.
    pub load: Option<AnnouncedServerLoad>,
    /// Start of an announced load that cannot be read.
    pub unreadable_load: Option<String>,
}

impl ResponseHead {
    /// Returns whether the upstream announces a load, readable or not.
    pub fn has_load(&self) -> bool {
        self.load.is_some() || self.unreadable_load.is_some()
    }
}

/// Headers that the gateway sets on a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UpstreamHeaders<'a> {
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Upstream that must handle the request.
    pub upstream: &'a str,
    /// Customer that the request belongs to.
    pub customer: Option<&'a str>,
    /// Salt of the prompt cache; requests share cached prompts only if their salts are equal.
    pub cache_salt: Option<&'a str>,
    /// Address of an engine or cache store to fetch cached parts of the prompt from.
    pub fetch_from: Option<SocketAddr>,
    /// Address of the cache store to save the prompt to after prefill.
    pub save_to: Option<SocketAddr>,
    /// Priority at the engine; 0 is the highest.
    pub priority: Option<u8>,
    /// Id of the event after which the stream is to be resumed.
    pub last_event_id: Option<u64>,
    /// Weights that the engine must have loaded.
    pub weights: Option<WeightNumber>,
}

/// Order to an engine to load weights after its running requests have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Engine that the order is for.
    pub engine: UpstreamId,
    /// Model whose weights are loaded.
    pub model: ModelId,
    /// Weights to load.
    pub weights: WeightNumber,
    /// VM that holds the lease and sends the order.
    pub holder: VmId,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// Number of orders that the engine must have accepted so far.
    pub expected_orders: u64,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine accepted the order and executes it.
    Accepted,
    /// The engine already has the weights.
    AlreadyLoaded,
    /// The engine executes another order, or has accepted more orders than expected.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another engine listens at the address.
    WrongEngine,
    /// The engine rejected the order as invalid.
    Invalid,
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Whether the engine executes an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine's start.
    pub orders: u64,
    /// Loaded weights of each model.
    pub weights: Vec<(ModelId, WeightNumber)>,
}

/// Header names and formats of the platform for requests, responses, reports and orders.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Parses the headers of a caller's request.
    fn read_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Removes headers that an upstream must not receive, and sets those of the gateway.
    fn set_upstream_headers(&self, headers: &mut HeaderMap, upstream_headers: &UpstreamHeaders<'_>);
    /// Sets the time for which the caller still waits, in a request that another VM is to handle.
    fn set_timeout(&self, headers: &mut HeaderMap, timeout: Duration);
    /// Parses the headers of an upstream's response.
    fn read_response_head(&self, headers: &HeaderMap) -> ResponseHead;
    /// Sets the headers that assign a refusal of the gateway to its request.
    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str);
    /// Returns the path of the load balancer's readiness checks.
    fn ready_path(&self) -> &'static str;
    /// Returns the HTTP request of an order.
    fn order_request(&self, order: &Order) -> Request<Full<Bytes>>;
    /// Parses the status of the response to an order; returns `None` for an unexpected status.
    fn parse_order_reply(&self, status: u16) -> Option<OrderReply>;
    /// Returns the HTTP request for an engine's report.
    fn report_request(&self, engine: &str) -> Request<Full<Bytes>>;
    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Returns the reason why the report is invalid.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
}

/// Everything that a platform provides to the gateway.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Client of the platform's store.
    pub store: Arc<dyn Store>,
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
}
