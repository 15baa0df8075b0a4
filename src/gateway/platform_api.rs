//! Traits and types at the edge of the process: the store, and the dialect of requests and orders.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::model::{Member, NamedWeights, RoutingConfig, UpstreamEntry, WeightNumber};
use super::prompt::Prompt;
use crate::ids::{FencingNumber, ModelId, ObjectVersion, RequestId, UpstreamId, VmId};
use crate::steward::{LeaseObject, LeaseRecord};

/// Objects of the store that are followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrackedKind {
    /// The configuration.
    Config,
    /// Upstreams.
    Upstreams,
    /// Weights that the operator named.
    Weights,
}

impl TrackedKind {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Config, Self::Upstreams, Self::Weights];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Weights => "weights",
        }
    }
}

/// Content of a followed object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectRecord {
    /// Configuration.
    Config(Arc<RoutingConfig>),
    /// Upstream.
    Upstream(UpstreamEntry),
    /// Named weights.
    Weights(NamedWeights),
    /// An object that names nothing usable, and why.
    Unusable(String),
}

/// Object of a listing or an event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ObjectChange {
    /// Name of the object.
    pub name: String,
    /// Its content; nothing where it was removed.
    pub record: Option<ObjectRecord>,
}

/// Everything of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// All objects.
    pub objects: Vec<ObjectChange>,
    /// Revision of the store that the listing shows.
    pub revision: ObjectVersion,
}

/// What a watch has brought.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeBatch {
    /// Changes in their order; empty where the wait passed without any.
    pub changes: Vec<ObjectChange>,
    /// Revision to continue from.
    pub revision: ObjectVersion,
}

/// Why a call to the store gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum StoreCallFailure {
    /// The changes asked for are no longer kept.
    #[error("the history is gone")]
    HistoryGone,
    /// The store answered and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No answer came, so that a write may have been carried out or may yet.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It was done, and the object has this revision.
    Done(ObjectVersion),
    /// The object has another revision; this is how it stands.
    Conflict(LeaseObject),
}

/// Store of the platform.
pub trait Store: Send + Sync + fmt::Debug {
    /// Lists all objects of a kind.
    fn list(&self, tracked: TrackedKind) -> BoxFuture<'_, Result<Listing, StoreCallFailure>>;
    /// Waits for changes of a kind after a revision.
    fn watch(
        &self,
        tracked: TrackedKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ChangeBatch, StoreCallFailure>>;
    /// Reads the lease under which orders are given.
    fn read_lease(&self) -> BoxFuture<'_, Result<LeaseObject, StoreCallFailure>>;
    /// Writes the lease if it has the expected revision; 0 creates it.
    fn write_lease(
        &self,
        expected: ObjectVersion,
        record: LeaseRecord,
    ) -> BoxFuture<'_, Result<WriteResult, StoreCallFailure>>;
    /// Lists the VMs of the fleet, with the reason for each object that cannot be read.
    fn members(&self) -> BoxFuture<'_, Result<Vec<Result<Member, String>>, StoreCallFailure>>;
    /// Registers a VM, in place of an earlier record under its name.
    fn register(&self, member: Member) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
    /// Removes the record of a VM.
    fn unregister(&self, vm: VmId) -> BoxFuture<'_, Result<(), StoreCallFailure>>;
}

/// What a request's head says beside method, path and host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// Identifier given by the caller.
    pub id: Option<RequestId>,
    /// Bearer key.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Prompt, where the request is for a model.
    pub prompt: Option<Prompt>,
    /// Event after which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What an upstream's head says beside the status.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// Identifier of the request that is answered.
    pub request_id: Option<RequestId>,
    /// Whether the upstream states that the request did not run.
    pub is_not_run: bool,
    /// Weights that answer.
    pub weights: Option<WeightNumber>,
    /// Whether the answer bears the upstream's seal.
    pub is_sealed: bool,
}

/// Headers that the gateway sets on a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UpstreamHeaders<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// Upstream that must answer.
    pub upstream: &'a str,
    /// Customer that the request runs for.
    pub customer: Option<&'a str>,
    /// Separates cached prompts that must not meet.
    pub cache_salt: Option<&'a str>,
    /// Engine that holds parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Store that the parts of the prompt are kept in once they are read.
    pub save_to: Option<SocketAddr>,
    /// Rank at the engine; 0 is first.
    pub rank: Option<u8>,
    /// Event after which the stream is to go on.
    pub last_event: Option<u64>,
    /// Weights that the engine must have.
    pub weights: Option<WeightNumber>,
}

/// Order to an engine to load weights once its runs have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Engine that must carry it out.
    pub engine: UpstreamId,
    /// Model whose weights change.
    pub model: ModelId,
    /// Weights to load.
    pub weights: WeightNumber,
    /// VM that gives the order.
    pub holder: VmId,
    /// Term under which it is given.
    pub fencing: FencingNumber,
    /// Orders that the engine must have accepted before.
    pub expected_orders: u64,
}

/// What an engine answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// The engine has the weights already.
    Holds,
    /// Another order is under way, or others were accepted in between.
    Busy,
    /// The engine has seen a later term.
    Fenced,
    /// Another engine has the address.
    OtherEngine,
    /// The order is wrong.
    Wrong,
}

/// State that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since the engine's start.
    pub orders: u64,
    /// Weights of a model.
    pub weights: Vec<(ModelId, WeightNumber)>,
}

/// Names and formats of requests, answers and orders.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Reads the head of a caller's request.
    fn read_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Removes what an upstream must not see and sets what the gateway says.
    fn set_upstream_headers(&self, headers: &mut HeaderMap, upstream_headers: &UpstreamHeaders<'_>);
    /// Reads the head of an upstream's answer.
    fn read_response_head(&self, headers: &HeaderMap) -> ResponseHead;
    /// Sets on a refusal of the gateway what ties it to its request.
    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str);
    /// Returns the path that the balancer asks for readiness.
    fn ready_path(&self) -> &'static str;
    /// Returns the request that gives an order.
    fn order_request(&self, order: &Order) -> Request<Full<Bytes>>;
    /// Reads the answer to an order; nothing where the status is none that an engine gives.
    fn parse_order_reply(&self, status: u16) -> Option<OrderReply>;
    /// Returns the request for an engine's report.
    fn report_request(&self, engine: &str) -> Request<Full<Bytes>>;
    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
}

/// Everything that a platform supplies.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Its store.
    pub store: Arc<dyn Store>,
    /// Its dialect.
    pub dialect: Arc<dyn Dialect>,
    /// Where its store listens.
    pub store_address: SocketAddr,
}
