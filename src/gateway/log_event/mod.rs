//! Decisions and state changes that the gateway logs.

mod kind;

use serde::Serialize;

use super::attempt_failure::FailureCause;
use super::event_log::AbortStage;
use super::model::WeightNumber;
use super::platform_api::TrackedKind;
use crate::ids::{FencingNumber, ObjectVersion, StoreEra, Tokens};
use crate::platform::serialize_position;

/// Decision about a request, or change of the gateway's state.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(in crate::gateway) enum LogEvent<'a> {
    Started {
        availability_zone: &'a str,
        store: String,
    },
    Stopping {
        requests: usize,
        connections: usize,
    },
    Stopped {
        requests_cut: usize,
        connections: usize,
        stopping_ms: Option<u64>,
    },
    Reloaded {
        is_changed: bool,
    },
    ReloadRefused {
        code: u16,
        reason: String,
    },
    /// Bodies, responses and connections for which there was no room since the last such line.
    CallerMemoryFull {
        evicted_bodies: u64,
        refused_bodies: u64,
        evicted_responses: u64,
        refused_responses: u64,
        closed_connections: u64,
        held_bytes: u64,
    },
    /// A connection of a caller or another VM could not be accepted.
    AcceptFailed {
        reason: String,
    },
    StoreLost {
        tracked: TrackedKind,
        reason: String,
    },
    StoreBack {
        tracked: TrackedKind,
        away_ms: u64,
    },
    HistoryGone {
        tracked: TrackedKind,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    TakenFromPeer {
        tracked: TrackedKind,
        peer: &'a str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    PeerReadFailed {
        tracked: TrackedKind,
        peer: &'a str,
        reason: String,
    },
    /// The store was restored from a copy.
    StoreRestored {
        era: StoreEra,
        earlier: StoreEra,
    },
    ConfigInForce {
        version: ObjectVersion,
        earlier: ObjectVersion,
    },
    ObjectUnusable {
        tracked: TrackedKind,
        name: &'a str,
        reason: &'a str,
    },
    UpstreamListed {
        upstream: &'a str,
        service: &'a str,
        software: Option<&'a str>,
        born_ms: u64,
        is_ready: bool,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    UpstreamGone {
        upstream: &'a str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    /// New connections to upstreams of a service fail.
    PathLost {
        service: &'a str,
    },
    PathRestored {
        service: &'a str,
        after_ms: u64,
    },
    UpstreamLeaving {
        upstream: &'a str,
    },
    UpstreamHeldOff {
        upstream: &'a str,
        for_ms: u64,
    },
    /// An upstream names a limit, another one, or none any more.
    UpstreamLimit {
        /// `None` if this VM does not list it.
        upstream: Option<&'a str>,
        /// Requests a second from all VMs together; `None` without a limit.
        limit_per_s: Option<f64>,
    },
    /// Upstreams of a service state that they fall over when they reject too many requests, or no
    /// longer do.
    ServiceBrittle {
        /// `None` if the configuration of this VM does not name it.
        service: Option<&'a str>,
        /// Rejections a second that each of them bears; `None` at the end.
        rejections_max_per_s: Option<f64>,
    },
    /// An upstream had no room for a request.
    UpstreamRejected {
        upstream: &'a str,
        /// Requests of this VM in flight there, the rejected one included.
        own_requests: u32,
        /// Requests of all VMs in flight there, as far as heartbeats tell.
        fleet_requests: u32,
        slots: u32,
        /// Requests that it announced last as running and waiting, if it did.
        #[serde(skip_serializing_if = "Option::is_none")]
        announced_running: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        announced_waiting: Option<u32>,
        /// Rejections a second that it bears, if it is known to be brittle.
        rejections_max_per_s: Option<f64>,
    },
    /// An upstream's process announces its load in a form that cannot be read; logged once.
    ServerLoadUnreadable {
        code: u16,
        upstream: &'a str,
        value: &'a str,
    },
    WeightsNamed {
        model: &'a str,
        weights: WeightNumber,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
        age_ms: u64,
    },
    /// The operator orders the rollout of a software version.
    RolloutOrdered {
        service: &'a str,
        target: &'a str,
        within_ms: u64,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    RolloutRemoved {
        service: &'a str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    /// The share that this VM may send to the target has changed.
    RolloutShare {
        service: &'a str,
        target: &'a str,
        share_permille: u16,
        fencing: FencingNumber,
    },
    /// Step of the holder of the lease, with the requests of all VMs since the order.
    RolloutStep {
        service: &'a str,
        target: &'a str,
        share_permille: u16,
        is_handover: bool,
        sent: u64,
        sent_to_target: u64,
        elapsed_ms: u64,
    },
    /// What the holder of the lease found bad about the target.
    RolloutBad {
        service: &'a str,
        target: &'a str,
        reason: String,
    },
    /// This VM learns that a rollout is done or rolled back.
    RolloutConcluded {
        service: &'a str,
        target: &'a str,
        state: &'static str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    RolloutStatusWritten {
        service: &'a str,
        target: &'a str,
        state: &'static str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
        fencing: FencingNumber,
    },
    /// The status of a rollout was not written.
    RolloutCallFailed {
        service: &'a str,
        reason: String,
    },
    LeaseHeld {
        fencing: FencingNumber,
    },
    LeaseLost {
        fencing: FencingNumber,
    },
    LeaseMalformed {
        version: ObjectVersion,
        reason: &'a str,
    },
    LeaseCallFailed {
        reason: String,
    },
    OrderSent {
        upstream: &'a str,
        model: &'a str,
        weights: WeightNumber,
        fencing: FencingNumber,
        expected_orders: u64,
        reply: String,
    },
    OrderNotSent {
        upstream: &'a str,
        reason: String,
    },
    WeightsInPlace {
        upstream: &'a str,
        model: &'a str,
        weights: WeightNumber,
        after_ms: u64,
    },
    MembershipCallFailed {
        call: &'static str,
        reason: String,
    },
    BeatFailed {
        reason: String,
    },
    Admitted {
        route: &'a str,
        service: &'a str,
        customer: Option<&'a str>,
        /// Units deducted from the customer's allowance; `None` if the customer has no allowance.
        cost: Option<u64>,
        left_ms: u64,
        /// Request that brought the first event of the stream that the caller takes up.
        resumes: Option<&'a str>,
        after_event: Option<u64>,
        config: ObjectVersion,
    },
    Queued {
        service: &'a str,
        requests: usize,
        tokens: Tokens,
        left_ms: u64,
    },
    /// The queue refused the request by its priority and work.
    Shed {
        service: &'a str,
        cause: &'static str,
        priority: u8,
        /// Time that the caller had left.
        left_ms: u64,
        retry_after_ms: u64,
    },
    Placed {
        upstream: &'a str,
        attempt: u32,
        weights: Option<WeightNumber>,
        held_tokens: u64,
        ahead_tokens: u64,
        /// Time for which the upstream has lacked target weights; 0 if it lacks none.
        behind_ms: u64,
        waited_ms: u64,
        /// Estimated requests at the upstream, and the age of what it announced, in services that
        /// announce how long work takes.
        #[serde(skip_serializing_if = "Option::is_none")]
        estimated_requests: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        load_age_ms: Option<u64>,
    },
    /// The first event came from an engine that lacks target weights.
    OlderWeightsUsed {
        upstream: &'a str,
        weights: Option<WeightNumber>,
        behind_ms: u64,
        after_ms: u64,
    },
    Refused {
        code: u16,
        name: &'static str,
        reason: &'a str,
        retry_after_ms: u64,
        config: ObjectVersion,
    },
    AttemptFailed {
        upstream: &'a str,
        attempt: u32,
        outcome: &'static str,
        cause: FailureCause,
        reason: &'a str,
        after_ms: u64,
        /// Parts of the prompt that other prompts may share.
        parts: Option<String>,
        /// Equal for copies of the request.
        fingerprint: String,
        /// Time since the process was requested to stop.
        stopping_ms: Option<u64>,
    },
    /// A part of prompts, or a request with its copies, is kept from engines, tried once more or
    /// released.
    PartState {
        kind: &'static str,
        part: String,
        part_id: Option<&'a str>,
        is_held: bool,
        round: u32,
        crashes: u16,
        trials: u32,
        is_ambiguous: bool,
        /// Processes that crashed with requests with the part, where this VM drew the conclusion.
        processes: String,
        source: &'static str,
    },
    QuarantineCallFailed {
        call: &'static str,
        reason: String,
    },
    /// An engine no longer listens after the connections of requests to it broke.
    UpstreamCrashed {
        upstream: &'a str,
        born_ms: u64,
        /// Hash of the process lifetime, by which VMs refer to the crash.
        process: String,
        /// Requests of this VM that it had.
        requests: usize,
    },
    /// Another VM was asked to handle the request.
    Forwarded {
        helper: String,
        outcome: &'static str,
    },
    /// A caller takes up a stream that this began.
    TakenUp {
        service: &'a str,
        software: Option<&'a str>,
    },
    /// It is not known what began a stream that a caller takes up.
    OriginUnknown {
        /// VMs that were asked and that answered, this one included.
        asked_vms: usize,
        answering_vms: usize,
        /// Shortest time for which an answering VM has kept records.
        kept_ms_min: Option<u64>,
        /// Time for which this VM has seen all software versions.
        seen_ms: u64,
        /// Software versions seen lately in the services of the route.
        seen_versions: usize,
        /// Whether the services of the route have changed lately.
        is_moved: bool,
    },
    Resumed {
        upstream: &'a str,
        /// Last event that was forwarded to the caller, after which the engine goes on.
        after_event: Option<u64>,
    },
    StreamBroken {
        reason: &'a str,
        after_event: Option<u64>,
        /// Number of upstreams that ran the request or may have run it.
        runs: u32,
        stopping_ms: Option<u64>,
    },
    /// The shutdown ended the request before its response was complete.
    Aborted {
        stage: AbortStage,
        stopping_ms: Option<u64>,
    },
    Answered {
        upstream: &'a str,
        status: u16,
        after_ms: u64,
    },
    CallerLeft {
        upstream: &'a str,
        after_ms: u64,
    },
    LinesLeftOut {
        kind: &'static str,
        lines: u64,
    },
}
