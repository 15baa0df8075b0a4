//! Tables of the keys of each section of the document.

use super::{
    Customer, Document, FencingCheck, Model, Route, RouteAccess, Upstream, UpstreamKind,
    UpstreamState,
};
use crate::ini::{Accessor, Key};

const UPSTREAM_KINDS: [UpstreamKind; 3] = [
    UpstreamKind::Engine,
    UpstreamKind::PlainService,
    UpstreamKind::KeptCacheStore,
];
const FENCING_CHECKS: [FencingCheck; 2] = [FencingCheck::Refuses, FencingCheck::Ignores];
const UPSTREAM_STATES: [UpstreamState; 2] = [UpstreamState::Serving, UpstreamState::Leaving];
const ROUTE_ACCESSES: [RouteAccess; 2] = [RouteAccess::Key, RouteAccess::Open];
const TOKENS_MAX: u64 = 1_000_000_000_000;
const CONTEXT_LIMIT_MAX_TOKENS: u64 = 100_000_000;

/// Keys of `[document]`.
pub(super) const DOCUMENT_KEYS: &[Key<Document>] = &[Key {
    name: "environment",
    unit: "",
    is_required: true,
    accessor: Accessor::Name(|d| &mut d.environment),
    meaning: "Environment that the document is meant for.",
}];

/// Keys of `[customer.NAME]`.
pub(super) const CUSTOMER_KEYS: &[Key<Customer>] = &[
    Key {
        name: "key_digests",
        unit: "",
        is_required: false,
        accessor: Accessor::KeyDigests(|c| &mut c.key_digests),
        meaning: "Digests of the customer's valid keys.",
    },
    Key {
        name: "rate_tokens_per_s",
        unit: "tokens/s",
        is_required: true,
        accessor: Accessor::U64(1..=TOKENS_MAX, |c| &mut c.rate_tokens_per_s),
        meaning: "Rate over all VMs together.",
    },
    Key {
        name: "burst_tokens",
        unit: "tokens",
        is_required: true,
        accessor: Accessor::U64(1..=TOKENS_MAX, |c| &mut c.burst_tokens),
        meaning: "Burst over all VMs together; at least the largest cost of one request.",
    },
    Key {
        name: "weight",
        unit: "",
        is_required: true,
        accessor: Accessor::U32(1..=1_000_000, |c| &mut c.weight),
        meaning: "Share of a saturated upstream, relative to other customers.",
    },
    Key {
        name: "models",
        unit: "",
        is_required: false,
        accessor: Accessor::Names(|c| &mut c.models),
        meaning: "Models that the customer may call.",
    },
    Key {
        name: "shared_group",
        unit: "",
        is_required: false,
        accessor: Accessor::OptionalName(|c| &mut c.shared_group),
        meaning: "Group whose members share cached prefixes; without one, the customer shares with no other.",
    },
];

/// Keys of `[model.NAME]`.
pub(super) const MODEL_KEYS: &[Key<Model>] = &[
    Key {
        name: "weight_version",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|m| &mut m.weight_version),
        meaning: "Weight version that must produce the responses.",
    },
    Key {
        name: "adapter",
        unit: "",
        is_required: false,
        accessor: Accessor::OptionalName(|m| &mut m.adapter),
        meaning: "Adapter loaded over the weights.",
    },
    Key {
        name: "context_max_tokens",
        unit: "tokens",
        is_required: true,
        accessor: Accessor::U64(1..=CONTEXT_LIMIT_MAX_TOKENS, |m| &mut m.context_max_tokens),
        meaning: "Maximum length of prompt and output together.",
    },
    Key {
        name: "output_max_tokens",
        unit: "tokens",
        is_required: true,
        accessor: Accessor::U64(1..=CONTEXT_LIMIT_MAX_TOKENS, |m| &mut m.output_max_tokens),
        meaning: "Maximum length of the output, and its default where the caller sets no limit.",
    },
];

/// Keys of `[upstream.NAME]`.
pub(super) const UPSTREAM_KEYS: &[Key<Upstream>] = &[
    Key {
        name: "address",
        unit: "",
        is_required: true,
        accessor: Accessor::Address(|u| &mut u.address),
        meaning: "Address on which the upstream listens.",
    },
    Key {
        name: "availability_zone",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|u| &mut u.availability_zone),
        meaning: "Availability zone in which the upstream runs.",
    },
    Key {
        name: "kind",
        unit: "",
        is_required: true,
        accessor: Accessor::Choice {
            names: &["engine", "plain_service", "kept_cache_store"],
            get: |u| index_of(&UPSTREAM_KINDS, u.kind),
            set: |u, index| u.kind = UPSTREAM_KINDS[index],
        },
        meaning: "Kind of the upstream.",
    },
    Key {
        name: "models",
        unit: "",
        is_required: false,
        accessor: Accessor::Names(|u| &mut u.models),
        meaning: "Models that the upstream serves; engines have at least one, others none.",
    },
    Key {
        name: "repeatable",
        unit: "",
        is_required: false,
        accessor: Accessor::Flag(|u| &mut u.repeatable),
        meaning: "Whether a request that may already have run may be sent again.",
    },
    Key {
        name: "honours_idempotency_key",
        unit: "",
        is_required: false,
        accessor: Accessor::Flag(|u| &mut u.honours_idempotency_key),
        meaning: "Whether the upstream runs requests with the same idempotency key only once.",
    },
    Key {
        name: "fencing",
        unit: "",
        is_required: false,
        accessor: Accessor::Choice {
            names: &["refuses", "ignores"],
            get: |u| index_of(&FENCING_CHECKS, u.fencing),
            set: |u, index| u.fencing = FENCING_CHECKS[index],
        },
        meaning: "How the upstream handles an order with an outdated fencing number.",
    },
    Key {
        name: "credential",
        unit: "",
        is_required: false,
        accessor: Accessor::Credential(|u| &mut u.credential),
        meaning: "Bearer credential sent to the upstream.",
    },
    Key {
        name: "state",
        unit: "",
        is_required: false,
        accessor: Accessor::Choice {
            names: &["serving", "leaving"],
            get: |u| index_of(&UPSTREAM_STATES, u.state),
            set: |u, index| u.state = UPSTREAM_STATES[index],
        },
        meaning: "Whether the upstream receives new requests.",
    },
];

/// Keys of `[route.NAME]`.
pub(super) const ROUTE_KEYS: &[Key<Route>] = &[
    Key {
        name: "path_prefix",
        unit: "",
        is_required: true,
        accessor: Accessor::PathPrefix(|r| &mut r.path_prefix),
        meaning: "Path prefix of the route, matched on whole segments.",
    },
    Key {
        name: "upstreams",
        unit: "",
        is_required: true,
        accessor: Accessor::Names(|r| &mut r.upstreams),
        meaning: "Plain services that serve the route.",
    },
    Key {
        name: "access",
        unit: "",
        is_required: false,
        accessor: Accessor::Choice {
            names: &["key", "open"],
            get: |r| index_of(&ROUTE_ACCESSES, r.access),
            set: |r, index| r.access = ROUTE_ACCESSES[index],
        },
        meaning: "Whether a customer's key is needed.",
    },
    Key {
        name: "cost_tokens",
        unit: "tokens",
        is_required: false,
        accessor: Accessor::U64(0..=TOKENS_MAX, |r| &mut r.cost_tokens),
        meaning: "Tokens charged to the customer for each request.",
    },
];

fn index_of<V: PartialEq>(values: &[V], value: V) -> usize {
    values
        .iter()
        .position(|known| *known == value)
        .unwrap_or_default()
}
