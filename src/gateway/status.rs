//! State of a fleet as its store tells it, for operators.

use serde::Serialize;

use super::model::{Member, NamedWeights, RoutingConfig, UpstreamEntry, UpstreamStage};
use super::platform_api::{ObjectRecord, Store, StoreCallFailure, TrackedKind};
use crate::ids::{ObjectVersion, UpstreamId};
use crate::steward::LeaseRecord;

/// What the store tells of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetStatus {
    /// Version of the configuration; nothing where there is none.
    pub config_version: Option<ObjectVersion>,
    /// Names of routes with their services.
    pub routes: Vec<(String, Vec<String>)>,
    /// Customers with their rate, in units a second.
    pub customers: Vec<(String, Option<u64>)>,
    /// Upstreams.
    pub upstreams: Vec<(UpstreamId, UpstreamEntry)>,
    /// Objects that name no upstream, and why.
    pub unusable: Vec<(String, String)>,
    /// Weights that the operator named.
    pub weights: Vec<NamedWeights>,
    /// VMs.
    pub vms: Vec<Member>,
    /// Lease under which engines get orders.
    pub lease: Option<LeaseRecord>,
}

impl FleetStatus {
    /// Reads the state from a store.
    ///
    /// # Errors
    ///
    /// Returns why a call gave nothing.
    pub async fn read(store: &dyn Store) -> Result<Self, StoreCallFailure> {
        let mut status = Self {
            config_version: None,
            routes: Vec::new(),
            customers: Vec::new(),
            upstreams: Vec::new(),
            unusable: Vec::new(),
            weights: Vec::new(),
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
            for object in store.list(tracked).await?.objects {
                status.add_object(object.name, object.record);
            }
        }
        Ok(status)
    }

    /// Returns the state as text.
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
                .map(|named| format!("weights named: {} {}", named.model, named.weights)),
        );
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

    fn add_object(&mut self, name: String, record: Option<ObjectRecord>) {
        match record {
            Some(ObjectRecord::Config(config)) => self.set_config(&config),
            Some(ObjectRecord::Upstream(entry)) => self.upstreams.push((name, entry)),
            Some(ObjectRecord::Weights(named)) => self.weights.push(named),
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
