//! State shared by all requests of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use super::connections::{ConnectionLimits, Connections};
use super::drain::Drain;
use crate::caller_memory::{CallerMemory, MemoryLimits};
use crate::clock::SharedClock;
use crate::config::{EntryState, EntryStatus};
use crate::document::{Customer, Snapshot};
use crate::error::{Code, Refusal};
use crate::idempotency::{ClaimSettings, Claims};
use crate::ids::{CustomerId, Incarnation, ObjectVersion, RequestId, Tokens, new_incarnation};
use crate::limit::{FleetMembership, Limiter, LimiterSettings, Reservation};
use crate::membership::Membership;
use crate::peer::PeerHolderClient;
use crate::platform::StoreClient;
use crate::retry::SharedRetryBudget;
use crate::route::{ChooserSettings, LoadTable, Router};
use crate::settings::Settings;
use crate::telemetry::{Metrics, Telemetry};
use crate::upstream::{UnreachableUpstreams, UpstreamClient};

/// Connections of operators, health checks and readers of metrics.
const OPERATOR_CONNECTIONS_MAX: usize = 256;

/// State shared by all requests of an entry: configuration, clients, limits and metrics.
#[derive(Debug)]
pub struct App {
    pub(super) settings: Settings,
    pub(super) clock: SharedClock,
    pub(super) telemetry: Telemetry,
    pub(super) metrics: Metrics,
    pub(super) client: UpstreamClient,
    pub(super) loads: LoadTable,
    pub(super) router: Router,
    pub(super) drain: Drain,
    pub(super) connections: Connections,
    /// Connections of operators, which do not delay a shutdown.
    pub(super) operator_connections: Connections,
    pub(super) memory: Arc<CallerMemory>,
    pub(super) retry_budget: SharedRetryBudget,
    pub(super) claims: Claims,
    membership: Membership,
    pub(super) unreachable: UnreachableUpstreams,
    snapshot: ArcSwapOption<Snapshot>,
    version: watch::Sender<ObjectVersion>,
    limiter: Arc<Limiter>,
    holder_client: PeerHolderClient,
    incarnation: Incarnation,
    request_number: AtomicU64,
}

impl App {
    /// Creates the state of an entry that has no configuration yet.
    pub fn new(settings: Settings, clock: SharedClock, telemetry: Telemetry) -> Self {
        let metrics = telemetry.metrics();
        let store = store_client(&settings, &metrics);
        let incarnation = new_incarnation();
        let drain = Drain::default();
        let chooser = ChooserSettings {
            availability_zone: settings.process.availability_zone.clone(),
            seed: rand::random(),
            ..ChooserSettings::default()
        };
        let limits = &settings.limits;
        let memory_limits = MemoryLimits::new(limits.memory_mb, u32::MAX);
        let caller_limits = ConnectionLimits {
            idle_timeout: limits.connection_idle_timeout,
            connections_max: limits.connections_max,
            descriptors_max: usize::MAX,
            heads_max_bytes: memory_limits.heads_bytes,
            may_close_idle: false,
        };
        let operator_limits = ConnectionLimits {
            connections_max: OPERATOR_CONNECTIONS_MAX,
            may_close_idle: true,
            ..caller_limits.clone()
        };
        let membership = Membership::new(&settings, incarnation, clock.clone());
        let holder_client = PeerHolderClient::new(membership.clone());
        let limiter = Limiter::new(
            LimiterSettings::default(),
            clock.clone(),
            metrics.clone(),
            Arc::new(FleetMembership::new(membership.clone(), &settings.process)),
            Arc::new(holder_client.clone()),
        );
        Self {
            connections: Connections::new(caller_limits, clock.clone(), drain.clone()),
            operator_connections: Connections::new(
                operator_limits,
                clock.clone(),
                Drain::default(),
            ),
            memory: CallerMemory::new(&memory_limits, clock.clone()),
            claims: Claims::new(store, &ClaimSettings::default(), clock.clone()),
            unreachable: UnreachableUpstreams::new(clock.clone()),
            client: UpstreamClient::new(&settings.upstream, clock.clone()),
            retry_budget: SharedRetryBudget::new(settings.upstream.retry_percent, clock.clone()),
            loads: LoadTable::default(),
            router: Router::new(chooser, clock.clone(), metrics.clone()),
            drain,
            snapshot: ArcSwapOption::empty(),
            version: watch::Sender::new(0),
            limiter: Arc::new(limiter),
            holder_client,
            membership,
            incarnation,
            request_number: AtomicU64::new(0),
            settings,
            clock,
            metrics,
            telemetry,
        }
    }

    /// Installs a configuration unless the current one has the same or a higher version.
    ///
    /// Returns whether the configuration was installed.
    pub fn install_snapshot(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version;
        let snapshot = Arc::new(snapshot);
        let previous = self.snapshot.rcu(|current| match current {
            Some(current) if current.version >= snapshot.version => Some(current.clone()),
            _ => Some(snapshot.clone()),
        });
        if previous.is_some_and(|previous| previous.version >= version) {
            return false;
        }
        self.router.configure(&snapshot);
        self.version.send_if_modified(|current| {
            let is_higher = version > *current;
            *current = version.max(*current);
            is_higher
        });
        true
    }

    /// Creates a client of the platform's store that has its own connections.
    pub(crate) fn store_client(&self) -> StoreClient {
        store_client(&self.settings, &self.metrics)
    }

    /// Returns a receiver that is notified when a configuration of a higher version is installed.
    pub(super) fn subscribe_version(&self) -> watch::Receiver<ObjectVersion> {
        self.version.subscribe()
    }

    /// Returns the client for the shares of customers' rates that other VMs hold.
    pub fn holder_client(&self) -> &PeerHolderClient {
        &self.holder_client
    }

    /// Returns the clock used for deadlines and timeouts.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Returns the current configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Code::ConfigurationMissing`] until the first configuration is installed.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        self.snapshot.load_full().ok_or_else(|| {
            Refusal::new(
                Code::ConfigurationMissing,
                "no configuration has been received yet",
            )
            .with_retry_after(std::time::Duration::from_secs(1))
        })
    }

    /// Returns the incarnation of this process, a number unique to each start.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns this VM's membership: its lease and its view of the other VMs.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Rejects requests that need an API key while this VM cannot learn of withdrawn keys.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Isolated`] while neither the store nor enough other VMs can be reached.
    pub(super) fn check_isolation(&self) -> Result<(), Refusal> {
        if !self.membership.is_isolated() {
            return Ok(());
        }
        let message = "neither the store nor enough other VMs can be reached";
        let refusal = Refusal::new(Code::Isolated, message);
        Err(refusal.with_retry_after(std::time::Duration::from_secs(1)))
    }

    /// Returns the router that chooses an engine for each completion request.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the state of the graceful shutdown.
    pub fn drain(&self) -> &Drain {
        &self.drain
    }

    /// Returns the settings of this process.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the status of this process as reported to operators.
    pub fn status(&self) -> EntryStatus {
        EntryStatus {
            vm: self.settings.process.vm.clone(),
            incarnation: self.incarnation,
            availability_zone: self.settings.process.availability_zone.clone(),
            document_version: self
                .snapshot
                .load()
                .as_ref()
                .map_or(0, |current| current.version),
            state: match self.drain.is_started() {
                true => EntryState::Draining,
                false => EntryState::Serving,
            },
        }
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(super) fn next_request_id(&self) -> RequestId {
        let number = self.request_number.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:016x}-{number}",
            self.settings.process.vm, self.incarnation
        )
    }

    /// Returns the rate limiter of all customers.
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.limiter
    }

    /// Reserves `tokens`, the maximum cost of a request, from the customer's rate limit.
    pub(super) async fn reserve(
        &self,
        id: &CustomerId,
        customer: &Customer,
        tokens: Tokens,
    ) -> Result<Reservation, Refusal> {
        self.limiter.reserve(id, customer, tokens).await
    }
}

fn store_client(settings: &Settings, metrics: &Metrics) -> StoreClient {
    StoreClient::new(settings.platform.clone()).with_metrics(metrics.clone())
}
