//! Keys of the settings file, by section.

use super::GatewaySettings;
use crate::ini::{Accessor, Key};

pub(super) const SECTIONS: &[(&str, &[Key<GatewaySettings>])] = &[
    ("process", PROCESS),
    ("store", STORE),
    ("peers", PEERS),
    ("bounds", BOUNDS),
    ("overload", OVERLOAD),
    ("platform", PLATFORM),
];

const fn key(
    name: &'static str,
    unit: &'static str,
    accessor: Accessor<GatewaySettings>,
    meaning: &'static str,
) -> Key<GatewaySettings> {
    Key {
        name,
        unit,
        is_required: false,
        accessor,
        meaning,
    }
}

const PROCESS: &[Key<GatewaySettings>] = &[
    Key {
        name: "vm",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|settings| &mut settings.vm),
        meaning: "Name of the VM.",
    },
    Key {
        name: "availability_zone",
        unit: "",
        is_required: true,
        accessor: Accessor::Name(|settings| &mut settings.availability_zone),
        meaning: "Availability zone in which the VM runs.",
    },
    key(
        "cpu_share",
        "",
        Accessor::Fraction(|settings| &mut settings.cpu_share),
        "Share of a core that the VM provides; VMs with more serve as relays.",
    ),
    key(
        "memory_mb",
        "MB",
        Accessor::RoundedDown(&Accessor::U32(40..=1_048_576, |settings| {
            &mut settings.memory_mb
        })),
        "Memory of the VM, from which the limits on what is held for others are derived.",
    ),
    key(
        "max_fds",
        "descriptors",
        Accessor::RoundedDown(&Accessor::U32(216..=1_048_576, |settings| {
            &mut settings.max_fds
        })),
        "Descriptors that the process may have open; 200 are reserved for files.",
    ),
    key(
        "caller_address",
        "",
        Accessor::Address(|settings| &mut settings.caller_address),
        "Address of the listener for callers.",
    ),
    key(
        "ready_address",
        "",
        Accessor::Address(|settings| &mut settings.ready_address),
        "Address of the listener for readiness checks.",
    ),
    key(
        "metrics_address",
        "",
        Accessor::Address(|settings| &mut settings.metrics_address),
        "Address of the listener for metrics.",
    ),
];

const STORE: &[Key<GatewaySettings>] = &[key(
    "address",
    "",
    Accessor::Address(|settings| &mut settings.store_address),
    "Address of the platform's store.",
)];

const PEERS: &[Key<GatewaySettings>] = &[
    key(
        "address",
        "",
        Accessor::Address(|settings| &mut settings.peer_address),
        "Address of the listener for the other VMs, UDP and TCP.",
    ),
    key(
        "seeds",
        "",
        Accessor::Addresses(|settings| &mut settings.peer_seeds),
        "Addresses of other VMs, to be contacted while no VM is known.",
    ),
];

const BOUNDS: &[Key<GatewaySettings>] = &[
    key(
        "contact_ms",
        "ms",
        Accessor::RoundedDown(&Accessor::Millis(500..=600_000, |settings| {
            &mut settings.bounds.contact_timeout
        })),
        "Time after an interruption from which a VM that is connected again has to keep all limits.",
    ),
    key(
        "drain_ms",
        "ms",
        Accessor::RoundedDown(&Accessor::Millis(500..=600_000, |settings| {
            &mut settings.bounds.drain_timeout
        })),
        "Time after which an upstream that leaves must receive no requests.",
    ),
    key(
        "lease_ms",
        "ms",
        Accessor::RoundedDown(&Accessor::Millis(500..=600_000, |settings| {
            &mut settings.bounds.lease_ttl
        })),
        "Time for which the lease that permits orders is valid.",
    ),
    key(
        "engines_check_fencing",
        "",
        Accessor::Flag(|settings| &mut settings.bounds.engines_check_fencing),
        "Whether engines refuse orders with an older fencing number.",
    ),
    key(
        "grace_s",
        "s",
        Accessor::RoundedDown(&Accessor::Seconds(1..=3_600, |settings| {
            &mut settings.bounds.shutdown_timeout
        })),
        "Maximum time from the request to stop to the end of the process.",
    ),
    key(
        "weights_ms",
        "ms",
        Accessor::RoundedDown(&Accessor::Millis(500..=600_000, |settings| {
            &mut settings.bounds.weights_timeout
        })),
        "Time after which no request is started on weights older than the target weights.",
    ),
    key(
        "retry_ratio",
        "",
        Accessor::Fraction(|settings| &mut settings.bounds.retry_ratio),
        "Retries as a fraction of requests, for all VMs together.",
    ),
    key(
        "retry_slack",
        "",
        Accessor::RoundedDown(&Accessor::U32(0..=1_000_000, |settings| {
            &mut settings.bounds.retry_slack
        })),
        "Retries beyond that fraction in a window, for all VMs together.",
    ),
    key(
        "allowance_overage",
        "",
        Accessor::Fraction(|settings| &mut settings.bounds.allowance_overage),
        "Fraction by which a customer's rate may be exceeded.",
    ),
    key(
        "allowance_slack",
        "",
        Accessor::RoundedDown(&Accessor::U64(0..=u64::MAX, |settings| {
            &mut settings.bounds.allowance_slack
        })),
        "Units beyond that in a window.",
    ),
    key(
        "allowance_window_s",
        "s",
        Accessor::RoundedDown(&Accessor::Seconds(1..=3_600, |settings| {
            &mut settings.bounds.allowance_window
        })),
        "Window in which a customer's units are counted.",
    ),
    key(
        "exposure_share",
        "",
        Accessor::OptionalFraction(|settings| &mut settings.bounds.exposure_share),
        "Maximum share of a service's requests that a bad software version gets; without it, rollouts of software versions are disabled.",
    ),
    key(
        "exposure_slack",
        "",
        Accessor::RoundedDown(&Accessor::U32(0..=1_000_000, |settings| {
            &mut settings.bounds.exposure_slack
        })),
        "Requests that a bad software version may get besides, from all VMs together.",
    ),
    key(
        "rollback_ms",
        "ms",
        Accessor::RoundedDown(&Accessor::Millis(500..=600_000, |settings| {
            &mut settings.bounds.rollback_timeout
        })),
        "Time after its 50th bad response from which a bad software version gets no requests.",
    ),
];

const OVERLOAD: &[Key<GatewaySettings>] = &[key(
    "shed_by_cost",
    "",
    Accessor::Flag(|settings| &mut settings.shed_by_cost),
    "Whether queues order and refuse requests by priority and work; on with the contract `pressure`.",
)];

const PLATFORM: &[Key<GatewaySettings>] = &[key(
    "contracts",
    "",
    Accessor::Labels(|settings| &mut settings.contracts),
    "Names of what the platform expects of the gateway; `pressure` sets `shed_by_cost`.",
)];
