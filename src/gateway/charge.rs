//! Charging of customers' accounts, at this VM or at the VM of the zone that owns the account.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::account_groups::AccountGroups;
use super::allowance::AllowanceExceeded;
use super::datagram::{Message, send};
use super::model::{Allowance, Customer};
use super::name_hash::{NameHash, hash_name};
use super::state::{Gateway, GatewayState};
use crate::clock::Instant;

/// Timeout of a charge request to the owner of an account; within a zone the response takes less
/// than a millisecond.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(40);

/// Request to the VM that owns an account to charge it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChargeRequest {
    pub(super) id: u64,
    pub(super) customer: NameHash,
    pub(super) cost: u64,
}

/// Response to a charge request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChargeResponse {
    pub(super) id: u64,
    /// Reason for a refusal; `None` if the account was charged.
    pub(super) shortage: Option<AllowanceExceeded>,
}

impl Gateway {
    /// Charges the cost of a request to its customer's allowance.
    ///
    /// # Errors
    ///
    /// Returns the remaining units and the retry delay if the allowance is exceeded.
    pub(super) async fn charge(
        &self,
        customer: &Customer,
        allowance: &Allowance,
        cost: u64,
    ) -> Result<(), AllowanceExceeded> {
        let now = self.now();
        let owner = {
            let state = self.state();
            state
                .peers
                .account_owner(&customer.id, now)
                .map(|peer| peer.heartbeat.address)
        };
        if let Some(address) = owner {
            if let Some(response) = self.charge_at_peer(address, customer, cost).await {
                self.state()
                    .allowances
                    .record_charged_elsewhere(&customer.id);
                return response.shortage.map_or(Ok(()), Err);
            }
            // The owner may be down: this VM charges its own share of the allowance.
            return self.state().charge(customer, allowance, cost, true, now);
        }
        self.state().charge(customer, allowance, cost, false, now)
    }

    /// Records which customers' accounts are kept by other VMs of this zone.
    pub(super) fn record_account_owners(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let now = self.now();
        let mut state = self.state();
        for customer in table.customers() {
            if state.peers.account_owner(&customer.id, now).is_some() {
                state.allowances.record_other_owner(&customer.id, now);
            }
        }
    }

    async fn charge_at_peer(
        &self,
        address: SocketAddr,
        customer: &Customer,
        cost: u64,
    ) -> Option<ChargeResponse> {
        let socket = self.peer_socket.get()?;
        let (id, response) = self.pending_charges.register();
        let request = ChargeRequest {
            id,
            customer: hash_name(&customer.id),
            cost,
        };
        let is_sent = send(socket, &Message::ChargeRequest(request), address);
        let wait = if is_sent {
            CHARGE_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.pending_charges.wait(id, response, wait).await
    }

    /// Handles a charge request of another VM of the zone and sends the response.
    pub(super) fn handle_charge(&self, request: ChargeRequest, from: SocketAddr) {
        let Some(table) = self.table() else {
            return;
        };
        let is_charged = |customer: &&Arc<Customer>| hash_name(&customer.id) == request.customer;
        let Some(customer) = table.customers().iter().find(is_charged) else {
            return;
        };
        let now = self.now();
        let result = match &customer.allowance {
            Some(allowance) => self
                .state()
                .charge(customer, allowance, request.cost, false, now),
            None => Ok(()),
        };
        let response = ChargeResponse {
            id: request.id,
            shortage: result.err(),
        };
        if let Some(socket) = self.peer_socket.get() {
            // If the response is lost, the requester charges its own share after the timeout.
            send(socket, &Message::ChargeResponse(response), from);
        }
    }

    /// Delivers the response to a charge request to the task that waits for it.
    pub(super) fn complete_charge(&self, response: ChargeResponse) {
        self.pending_charges.complete(response.id, response);
    }
}

impl GatewayState {
    /// Charges the account at this VM, which covers the share of the VM's whole zone, or only the
    /// VM's own share if `is_this_vm_only`.
    fn charge(
        &mut self,
        customer: &Customer,
        allowance: &Allowance,
        cost: u64,
        is_this_vm_only: bool,
        now: Instant,
    ) -> Result<(), AllowanceExceeded> {
        let groups = self
            .peers
            .account_groups(&customer.id, is_this_vm_only, now);
        let AccountGroups { own_vms, others } = groups;
        self.allowances
            .try_take(&customer.id, allowance, cost, own_vms, &others, now)
    }
}
