//! State of a fleet as recorded in the store, for operators.

use serde::Serialize;

use super::model::{Member, RoutingConfig, TargetWeights, UpstreamEntry, UpstreamStage};
use super::platform_api::{ObjectRecord, Store, StoreCallFailure, TrackedKind};
use super::service_rollout::{RolloutEntry, RolloutProgress, RolloutState};
use super::store_relay::RelayClient;
use crate::ids::{ObjectVersion, UpstreamId};
use crate::steward::LeaseRecord;

/// State of a fleet, read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetStatus {
    /// Version of the configuration, or `None` if there is none.
    pub config_version: Option<ObjectVersion>,
    /// Names of the routes, each with its services.
    pub routes: Vec<(String, Vec<String>)>,
    /// Customers, each with its rate in units per second, or `None` if it has no limit.
    pub customers: Vec<(String, Option<u64>)>,
    /// Upstreams by name.
    pub upstreams: Vec<(UpstreamId, UpstreamEntry)>,
    /// Objects that cannot be used, each with the reason.
    pub unusable: Vec<(String, String)>,
    /// Target weights set by the operator.
    pub weights: Vec<TargetWeights>,
    /// Rollouts of software versions; empty if the store does not know the kind.
    pub rollouts: Vec<RolloutEntry>,
    /// How far they are, from the VM that holds the lease if it replies.
    pub rollout_progress: Vec<RolloutProgress>,
    /// Registered VMs.
    pub vms: Vec<Member>,
    /// Lease that permits orders to engines.
    pub lease: Option<LeaseRecord>,
}

impl FleetStatus {
    /// Reads the state from a store.
    ///
    /// # Errors
    ///
    /// Returns the failure of the first call to the store that failed.
    pub async fn read(store: &dyn Store) -> Result<Self, StoreCallFailure> {
        let mut status = Self {
            config_version: None,
            routes: Vec::new(),
            customers: Vec::new(),
            upstreams: Vec::new(),
            unusable: Vec::new(),
            weights: Vec::new(),
            rollouts: Vec::new(),
            rollout_progress: Vec::new(),
            vms: Vec::new(),
            lease: None,
        };
        let lease = store.read_lease().await?;
        status.lease = lease.record;
        let fault = lease
            .parse_error
            .map(|fault| ("lease on orders".into(), fault));
        status.unusable.extend(fault);
        for member in store.members().await? {
            match member {
                Ok(member) => status.vms.push(member),
                Err(reason) => status.unusable.push(("vm".into(), reason)),
            }
        }
        for tracked in TrackedKind::ALL {
            let listed = match (tracked, store.list(tracked).await) {
                // Only deployments with rollouts have objects of the kind.
                (TrackedKind::Rollouts, Err(StoreCallFailure::Refused(_))) => continue,
                (_, listed) => listed?,
            };
            for object in listed.objects {
                status.add_object(object.name, object.record);
            }
        }
        status.rollout_progress = status.read_progress().await;
        Ok(status)
    }

    /// Returns how far the rollouts are; nothing if the holder of the lease does not reply.
    async fn read_progress(&self) -> Vec<RolloutProgress> {
        let holder = self.lease.as_ref().and_then(|lease| lease.holder.as_ref());
        let member = holder.and_then(|holder| self.vms.iter().find(|vm| vm.vm == holder.vm));
        let is_running = |entry: &RolloutEntry| !entry.state().is_some_and(RolloutState::is_final);
        match member.filter(|_| self.rollouts.iter().any(is_running)) {
            Some(member) => {
                let mut client = RelayClient::new(member.peer_address);
                client.rollout_progress().await.unwrap_or_default()
            }
            None => Vec::new(),
        }
    }

    /// Returns the state as text, one line per item.
    pub fn text(&self) -> String {
        let version = self
            .config_version
            .map_or("none".into(), |version| version.to_string());
        let holder = self
            .lease
            .as_ref()
            .and_then(|lease| Some((lease.holder.as_ref()?, lease)));
        let lease = holder.map_or("nobody".into(), |(holder, lease)| {
            format!("{}, fencing number {}", holder.vm, lease.fencing_number)
        });
        let mut lines = vec![
            format!(
                "configuration: version {version}, {} routes",
                self.routes.len()
            ),
            format!("orders: {lease}"),
        ];
        lines.extend(
            self.weights
                .iter()
                .map(|target| format!("weights named: {} {}", target.model, target.weights)),
        );
        lines.extend(self.rollouts.iter().map(|entry| self.rollout_line(entry)));
        lines.extend(self.vms.iter().map(|member| {
            format!(
                "vm: {} in {} at {}",
                member.vm, member.availability_zone, member.peer_address
            )
        }));
        lines.extend(
            self.upstreams
                .iter()
                .map(|(id, entry)| upstream_line(id, entry)),
        );
        lines.extend(
            self.unusable
                .iter()
                .map(|(name, reason)| format!("unusable: {name}: {reason}")),
        );
        lines.extend(self.customers.iter().map(|(id, rate)| match rate {
            Some(rate) => format!("customer: {id}, {rate} a second"),
            None => format!("customer: {id}, no limit"),
        }));
        lines.join("\n")
    }

    fn rollout_line(&self, entry: &RolloutEntry) -> String {
        let order = &entry.order;
        let state = entry.state().map_or("not begun", RolloutState::name);
        let mut progress = self.rollout_progress.iter();
        let progress = progress
            .find(|progress| progress.service == order.service && progress.target == order.target);
        let progress = progress.map(|progress| {
            format!(
                ", {} per mille granted, {} of {} requests in {} ms",
                progress.share_permille,
                progress.sent_to_target,
                progress.sent,
                progress.elapsed_ms
            )
        });
        let (service, target) = (&order.service, &order.target);
        let progress = progress.unwrap_or_default();
        format!("rollout: {service} to {target}, {state}{progress}")
    }

    fn add_object(&mut self, name: String, record: Option<ObjectRecord>) {
        match record {
            Some(ObjectRecord::Config(config)) => self.set_config(&config),
            Some(ObjectRecord::Upstream(entry)) => self.upstreams.push((name, entry)),
            Some(ObjectRecord::Weights(target)) => self.weights.push(target),
            Some(ObjectRecord::Rollout(entry)) => self.rollouts.push(entry),
            Some(ObjectRecord::Unusable(reason)) => self.unusable.push((name, reason)),
            None => {}
        }
    }

    fn set_config(&mut self, config: &RoutingConfig) {
        self.config_version = Some(config.version);
        self.routes = config
            .routes
            .iter()
            .map(|route| {
                let services = route.services.iter().map(|(service, _)| service.clone());
                (route.name.clone(), services.collect())
            })
            .collect();
        self.customers = config
            .customers
            .iter()
            .map(|customer| {
                let rate = customer.allowance.map(|allowance| allowance.rate_per_s);
                (customer.id.clone(), rate)
            })
            .collect();
    }
}

fn upstream_line(id: &str, entry: &UpstreamEntry) -> String {
    let stage = match entry.stage {
        UpstreamStage::Ready => "ready",
        UpstreamStage::Draining => "draining",
    };
    let weights = entry
        .models
        .iter()
        .map(|loaded| format!(", {} {}", loaded.model, loaded.weights));
    let (service, zone) = (&entry.service, &entry.availability_zone);
    format!(
        "upstream: {id} of {service} in {zone}, {stage}{}",
        weights.collect::<String>()
    )
}
