//! The `status` command: prints VMs, their document versions, upstreams and customers.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::document_reader;
use super::error::CommandError;
use super::printer::{Printer, table};
use super::store::Store;
use super::wait::read_status_reports;
use crate::config::{self, EntryStatus};
use crate::document::{Customer, Document, Upstream, UpstreamKind, UpstreamState};
use crate::ids::VmId;
use crate::platform::{VmListing, VmState};

/// Prints the state of the VMs and the upstreams and customers of the stored document.
pub(super) async fn show_status(
    store: &impl Store,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let current = document_reader::read_current(store).await?;
    let version = document_reader::version_or_zero(current.as_ref());
    let document = document_reader::document_or_empty(current.as_ref());
    let vms = store.list_vms().await?;
    let reports = read_status_reports(store).await?;
    let text = format!(
        "document version {version}, environment {}\n\n{}\n{}\n{}",
        document.environment,
        vm_table(&vms, &reports),
        upstream_table(&document),
        customer_table(&document),
    );
    let json = json!({
        "version": version,
        "environment": document.environment,
        "vms": join_vms(&vms, &reports).into_iter().map(vm_json).collect::<Value>(),
        "upstreams": document.upstreams.iter().map(upstream_json).collect::<Value>(),
        "customers": document.customers.iter().map(customer_json).collect::<Value>(),
    });
    Ok(printer.print_result(&text, json)?)
}

fn vm_table(vms: &[VmListing], reports: &BTreeMap<VmId, EntryStatus>) -> String {
    let mut rows = vec![row(["VM", "ZONE", "LISTED", "REPORTED", "VERSION"])];
    for (id, (listing, report)) in join_vms(vms, reports) {
        let zone = listing
            .map(|vm| &vm.availability_zone)
            .or(report.map(|report| &report.availability_zone));
        let listed = listing.map_or("-", |vm| listed_state_name(vm.state));
        let reported = report.map_or("-", |report| reported_state_name(report.state));
        let version = report.map_or("-".to_owned(), |report| report.document_version.to_string());
        rows.push(row([
            id,
            zone.map_or("-", String::as_str),
            listed,
            reported,
            &version,
        ]));
    }
    table(&rows)
}

/// Joins the store's list of VMs with the status reports of the entries by VM.
fn join_vms<'a>(
    vms: &'a [VmListing],
    reports: &'a BTreeMap<VmId, EntryStatus>,
) -> BTreeMap<&'a VmId, (Option<&'a VmListing>, Option<&'a EntryStatus>)> {
    let mut joined = BTreeMap::new();
    for (id, report) in reports {
        joined.insert(id, (None, Some(report)));
    }
    for vm in vms {
        joined.entry(&vm.vm).or_insert((None, None)).0 = Some(vm);
    }
    joined
}

fn upstream_table(document: &Document) -> String {
    let mut rows = vec![row(["UPSTREAM", "ZONE", "KIND", "STATE", "MODELS"])];
    for (id, upstream) in &document.upstreams {
        let models = match upstream.models.is_empty() {
            true => "-".to_owned(),
            false => upstream.models.join(", "),
        };
        let zone = upstream.availability_zone.as_str();
        let (kind, state) = (
            upstream_kind_name(upstream.kind),
            upstream_state_name(upstream.state),
        );
        rows.push(row([id, zone, kind, state, &models]));
    }
    table(&rows)
}

fn customer_table(document: &Document) -> String {
    let mut rows = vec![row([
        "CUSTOMER",
        "KEYS",
        "TOKENS/S",
        "BURST TOKENS",
        "WEIGHT",
    ])];
    for (id, customer) in &document.customers {
        rows.push(vec![
            id.clone(),
            customer.key_digests.len().to_string(),
            customer.rate_tokens_per_s.to_string(),
            customer.burst_tokens.to_string(),
            customer.weight.to_string(),
        ]);
    }
    table(&rows)
}

fn vm_json((id, (listing, report)): (&VmId, (Option<&VmListing>, Option<&EntryStatus>))) -> Value {
    json!({
        "vm": id,
        "availability_zone": listing.map(|vm| &vm.availability_zone),
        "listed": listing.map(|vm| listed_state_name(vm.state)),
        "report": report,
    })
}

fn upstream_json((id, upstream): (&String, &Upstream)) -> Value {
    json!({
        "upstream": id,
        "availability_zone": upstream.availability_zone,
        "kind": upstream_kind_name(upstream.kind),
        "state": upstream_state_name(upstream.state),
        "models": upstream.models,
    })
}

fn customer_json((id, customer): (&String, &Customer)) -> Value {
    json!({
        "customer": id,
        "keys": customer.key_digests.len(),
        "rate_tokens_per_s": customer.rate_tokens_per_s,
        "burst_tokens": customer.burst_tokens,
        "weight": customer.weight,
    })
}

fn row(cells: [&str; 5]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

fn listed_state_name(state: VmState) -> &'static str {
    match state {
        VmState::Live => "live",
        VmState::Leaving => "leaving",
    }
}

fn reported_state_name(state: config::EntryState) -> &'static str {
    match state {
        config::EntryState::Serving => "serving",
        config::EntryState::Draining => "draining",
    }
}

fn upstream_kind_name(kind: UpstreamKind) -> &'static str {
    match kind {
        UpstreamKind::Engine => "engine",
        UpstreamKind::PlainService => "plain_service",
        UpstreamKind::KeptCacheStore => "kept_cache_store",
    }
}

fn upstream_state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Serving => "serving",
        UpstreamState::Leaving => "leaving",
    }
}
