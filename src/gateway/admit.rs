//! Admission of requests: route look-up, authentication, reading of the body and rate limit.

use std::sync::Arc;
use std::time::Duration;

use http::uri::PathAndQuery;

use super::allowance::AllowanceExceeded;
use super::attempt_progress::AttemptProgress;
use super::cache_group::CacheGroup;
use super::crash_guard::RequestContent;
use super::event_log::LogEvent;
use super::model::{CostUnit, Customer, Route};
use super::peer_forward::FORWARD_HEADER;
use super::placement::{PlacementRequest, ROLLOUT_DRAW_MAX, suspects};
use super::platform_api::RequestHead;
use super::request::{AdmittedRequest, ReceivedRequest};
use super::response::{draining_refusal, retryable_refusal};
use super::state::Gateway;
use super::table::RoutingTable;
use crate::entry::{head_bytes, receive_body, strip_hop_by_hop};
use crate::error::{Code, Refusal};

/// Timeout of a request whose caller sets none.
pub(super) const REQUEST_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// Retry delay returned to the caller while no configuration is known.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Checks a request against the configuration and its customer's allowance.
///
/// The body is read only if the checks of the head succeed.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub(super) async fn admit(
    gateway: &Arc<Gateway>,
    received: &mut ReceivedRequest,
    head: RequestHead,
) -> Result<AdmittedRequest, Refusal> {
    let arrived_at = gateway.now();
    let table = gateway.table().ok_or_else(|| {
        retryable_refusal(
            Code::ConfigurationMissing,
            "the gateway has not received a configuration yet",
            CONFIG_RETRY_AFTER,
        )
    })?;
    let host = received.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let path = received.uri.path();
    let route = table.route(host, path).cloned().ok_or_else(|| {
        Refusal::new(
            Code::RouteUnknown,
            format!("no route of host {host} matches path {path}"),
        )
    })?;
    let customer = match table.requires_key(&route) {
        true => Some(authenticate(&table, &head)?),
        false => None,
    };
    let timeout = head
        .timeout
        .unwrap_or(REQUEST_TIMEOUT_DEFAULT)
        .min(route.timeout);
    let deadline = arrived_at + timeout;
    let left = deadline.saturating_sub(gateway.now());
    let receive = receive_body(
        &mut received.body,
        head_bytes(&received.headers),
        table.body_max_bytes,
        &gateway.memory,
    );
    let body = tokio::time::timeout(left, receive).await.map_err(|_| {
        Refusal::new(
            Code::BodyTimeout,
            "the request body did not arrive before the deadline",
        )
    })??;
    // The head may have arrived long before the end of the body.
    if gateway.drain.is_refusing() {
        return Err(draining_refusal());
    }
    let prompt = head.prompt.clone().map(Arc::new);
    let service = draw_service(&route).ok_or_else(|| {
        Refusal::new(
            Code::UpstreamNone,
            format!("route {} has no service", route.name),
        )
    })?;
    // The VM that handles the request charges the customer.
    let is_charge_due = !received.is_forwarded && gateway.is_cut_from(&service);
    let cost = match &customer {
        Some(customer) if !is_charge_due => charge(gateway, customer, &head).await?,
        _ => None,
    };
    if !is_charge_due {
        gateway.count_request(&service);
    }
    let event = LogEvent::Admitted {
        route: &route.name,
        service: &service,
        customer: customer.as_ref().map(|customer| customer.id.as_str()),
        cost,
        left_ms: deadline.saturating_sub(gateway.now()).as_millis() as u64,
        resumes: head.resumes.as_deref(),
        after_event: head.last_event_id,
        config: table.version,
    };
    let id = head.id.clone().unwrap_or_default();
    gateway.event_log.log_request(&id, &event);
    let target = received.uri.path_and_query();
    let content = RequestContent {
        method: &received.method,
        host,
        target: target.map_or("/", PathAndQuery::as_str),
        customer: customer.as_ref().map(|customer| customer.id.as_str()),
        prompt: prompt.as_deref(),
        body: &body.segments(),
    };
    let placement_request = PlacementRequest {
        suspects: suspects(&content, prompt.as_deref()),
        prompt,
        cache_group: CacheGroup::new(customer.as_deref(), table.isolated_customers),
        objective: route.objective,
        wait_objective: table.shortest_objective(&service, &route),
        service,
        is_final_run: false,
        is_only_attempt: route.attempts <= 1 || !route.is_repeatable(),
        tried_upstreams: Vec::new(),
        origin: None,
        preferred_upstream: None,
        rollout_draw: rand::random_range(0..=ROLLOUT_DRAW_MAX),
    };
    let mut headers = std::mem::take(&mut received.headers);
    strip_hop_by_hop(&mut headers);
    headers.remove(FORWARD_HEADER);
    Ok(AdmittedRequest {
        gateway: gateway.clone(),
        route,
        customer,
        id,
        head,
        arrived_at,
        deadline,
        placement_request,
        progress: AttemptProgress::default(),
        method: received.method.clone(),
        uri: received.uri.clone(),
        headers,
        body,
        is_forwarded: received.is_forwarded,
        is_charge_due,
    })
}

fn authenticate(table: &RoutingTable, head: &RequestHead) -> Result<Arc<Customer>, Refusal> {
    let key = head.key.as_deref().ok_or_else(|| {
        Refusal::new(
            Code::KeyMissing,
            "the authorization header is missing or is not `Bearer KEY`",
        )
    })?;
    table.customer_by_key(key).cloned().ok_or_else(|| {
        Refusal::new(
            Code::KeyUnknown,
            "the API key is invalid, unknown or revoked",
        )
    })
}

/// Deducts the cost of a request from its customer's allowance.
///
/// Returns the deducted units, or `None` if the customer has no allowance.
pub(super) async fn charge(
    gateway: &Gateway,
    customer: &Customer,
    head: &RequestHead,
) -> Result<Option<u64>, Refusal> {
    let Some(allowance) = &customer.allowance else {
        return Ok(None);
    };
    let cost = match allowance.unit {
        CostUnit::Request => 1,
        CostUnit::Token { plain_tokens } => head
            .prompt
            .as_ref()
            .map_or(plain_tokens, |prompt| prompt.charged_tokens()),
    };
    let charged = gateway.charge(customer, allowance, cost).await;
    charged.map(|()| Some(cost)).map_err(|shortage| {
        let AllowanceExceeded {
            remaining,
            share_per_s,
            vms,
            retry_after,
        } = shortage;
        let message = format!(
            "customer {}: cost {cost}, {remaining} left, share {share_per_s}/s of {}/s among {vms} VMs",
            customer.id, allowance.rate_per_s
        );
        retryable_refusal(Code::RateExceeded, message, retry_after)
    })
}

impl AdmittedRequest {
    /// Charges the customer if that was put off.
    pub(super) async fn charge_if_due(&mut self) -> Result<(), Refusal> {
        if !std::mem::take(&mut self.is_charge_due) {
            return Ok(());
        }
        if let Some(customer) = &self.customer {
            charge(&self.gateway, customer, &self.head).await?;
        }
        self.gateway.count_request(&self.placement_request.service);
        Ok(())
    }
}

/// Draws a service of a route at random, in proportion to the weights.
fn draw_service(route: &Route) -> Option<String> {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut drawn = match total {
        0 => 0,
        total => rand::random_range(0..total),
    };
    for (service, weight) in &route.services {
        if drawn < *weight || total == 0 {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    None
}
