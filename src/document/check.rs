//! Checks of the document that involve more than one key or section.

use std::collections::BTreeMap;
use std::fmt::Display;

use super::{Document, RouteAccess, UpstreamKind};
use crate::error::Fault;
use crate::ini::mask;

/// Path prefixes of the entry's own API; routes must not lie under them.
const RESERVED_PATH_PREFIXES: [&str; 3] = ["/v1/chat", "/v1/completions", "/v1/models"];

/// Appends a fault for each violation of a rule that involves more than one key or section.
pub(super) fn cross_check(document: &Document, faults: &mut Vec<Fault>) {
    check_customers(document, faults);
    check_key_digests(document, faults);
    check_models(document, faults);
    check_upstreams(document, faults);
    check_routes(document, faults);
    check_path_prefixes(document, faults);
}

fn check_customers(document: &Document, faults: &mut Vec<Fault>) {
    for (id, customer) in &document.customers {
        let section = format!("customer.{id}");
        check_model_names(document, &section, &customer.models, faults);
        let cost_max = request_cost_max(document, &customer.models);
        if customer.burst_tokens < cost_max {
            let allowed = format!("at least {cost_max}, the most that one request may cost");
            faults.push(key_fault(
                &section,
                "burst_tokens",
                customer.burst_tokens,
                allowed,
            ));
        }
    }
}

fn request_cost_max(document: &Document, models: &[String]) -> u64 {
    let context_limits = models
        .iter()
        .filter_map(|name| document.models.get(name))
        .map(|model| model.context_max_tokens);
    let route_costs = document
        .routes
        .values()
        .filter(|route| route.access == RouteAccess::Key)
        .map(|route| route.cost_tokens);
    context_limits.chain(route_costs).max().unwrap_or_default()
}

fn check_key_digests(document: &Document, faults: &mut Vec<Fault>) {
    let mut owners = BTreeMap::new();
    for (id, customer) in &document.customers {
        for digest in &customer.key_digests {
            if let Some(owner) = owners.insert(digest, id) {
                let allowed =
                    format!("digests that no other customer has; one also belongs to {owner}");
                faults.push(key_fault(
                    &format!("customer.{id}"),
                    "key_digests",
                    mask(),
                    allowed,
                ));
            }
        }
    }
}

fn check_models(document: &Document, faults: &mut Vec<Fault>) {
    for (id, model) in &document.models {
        if model.output_max_tokens > model.context_max_tokens {
            let allowed = format!("at most context_max_tokens, {}", model.context_max_tokens);
            let section = format!("model.{id}");
            faults.push(key_fault(
                &section,
                "output_max_tokens",
                model.output_max_tokens,
                allowed,
            ));
        }
    }
}

fn check_upstreams(document: &Document, faults: &mut Vec<Fault>) {
    for (id, upstream) in &document.upstreams {
        let section = format!("upstream.{id}");
        check_model_names(document, &section, &upstream.models, faults);
        if upstream.address.port() == 0 {
            let allowed = "an address with a port above 0";
            faults.push(key_fault(&section, "address", upstream.address, allowed));
        }
        let is_engine = upstream.kind == UpstreamKind::Engine;
        match upstream.models.is_empty() {
            true if is_engine => {
                faults.push(key_fault(
                    &section,
                    "models",
                    "",
                    "at least one model for an engine",
                ));
            }
            false if !is_engine => {
                let models = upstream.models.join(", ");
                faults.push(key_fault(
                    &section,
                    "models",
                    models,
                    "none, as only engines have models",
                ));
            }
            _ => {}
        }
    }
}

fn check_model_names(
    document: &Document,
    section: &str,
    models: &[String],
    faults: &mut Vec<Fault>,
) {
    for model in models {
        if !document.models.contains_key(model) {
            let allowed = format!("models that have a section [model.{model}]");
            faults.push(key_fault(section, "models", model, allowed));
        }
    }
}

fn check_routes(document: &Document, faults: &mut Vec<Fault>) {
    for (id, route) in &document.routes {
        let section = format!("route.{id}");
        if route.upstreams.is_empty() {
            faults.push(key_fault(
                &section,
                "upstreams",
                "",
                "at least one plain service",
            ));
        }
        for name in &route.upstreams {
            match document.upstreams.get(name) {
                Some(upstream) if upstream.kind == UpstreamKind::PlainService => {}
                Some(_) => {
                    let allowed = "upstreams of kind plain_service";
                    faults.push(key_fault(&section, "upstreams", name, allowed));
                }
                None => {
                    let allowed = format!("upstreams that have a section [upstream.{name}]");
                    faults.push(key_fault(&section, "upstreams", name, allowed));
                }
            }
        }
    }
}

fn check_path_prefixes(document: &Document, faults: &mut Vec<Fault>) {
    let mut owners = BTreeMap::new();
    for (id, route) in &document.routes {
        let prefix = route.path_prefix.as_str();
        let section = format!("route.{id}");
        if RESERVED_PATH_PREFIXES
            .iter()
            .any(|reserved| is_under(prefix, reserved))
        {
            let allowed = format!(
                "a path that is not under {}",
                RESERVED_PATH_PREFIXES.join(", ")
            );
            faults.push(key_fault(&section, "path_prefix", prefix, allowed));
        }
        if let Some(owner) = owners.insert(prefix, id) {
            let allowed = format!("a path other than that of [route.{owner}]");
            faults.push(key_fault(&section, "path_prefix", prefix, allowed));
        }
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

fn key_fault(section: &str, key: &str, value: impl Display, allowed: impl Into<String>) -> Fault {
    Fault {
        section: section.to_owned(),
        key: Some(key.to_owned()),
        value: Some(value.to_string()),
        allowed: allowed.into(),
    }
}
