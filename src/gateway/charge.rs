//! Charges of customers' accounts, at this VM or at the VM of the zone that keeps the account.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::allowance::{AllowanceExceeded, VmGroup};
use super::beat::{ShortName, short_name};
use super::gossip::Message;
use super::hub::{Core, Hub};
use super::model::{Allowance, Customer};
use crate::clock::Instant;

/// Wait for the VM that keeps an account; within a zone an answer takes less than a millisecond.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Charge sent to the VM that keeps an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Charge {
    pub(super) number: u64,
    pub(super) customer: ShortName,
    pub(super) cost: u64,
}

/// Answer to a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Charged {
    pub(super) number: u64,
    /// What is missing, where too little was left.
    pub(super) shortage: Option<AllowanceExceeded>,
}

/// Charges that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct PendingCharges {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Charged>>>,
}

impl PendingCharges {
    fn open(&self) -> (u64, oneshot::Receiver<Charged>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(number, sender);
        (number, receiver)
    }

    fn close(&self, number: u64) -> Option<oneshot::Sender<Charged>> {
        self.lock().remove(&number)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Charged>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hub {
    /// Takes a request's cost out of its customer's allowance.
    ///
    /// # Errors
    ///
    /// Returns what is missing.
    pub(super) async fn charge(
        &self,
        customer: &Customer,
        allowance: &Allowance,
        cost: u64,
    ) -> Result<(), AllowanceExceeded> {
        let now = self.now();
        let keeper = {
            let core = self.core();
            core.peers
                .account_owner(&customer.id, now)
                .map(|peer| peer.beat.address)
        };
        if let Some(address) = keeper {
            if let Some(charged) = self.charge_at(address, customer, cost).await {
                return charged.shortage.map_or(Ok(()), Err);
            }
            // The keeper may be gone: this VM goes on with its own part.
            return self.core().charge(customer, allowance, cost, true, now);
        }
        self.core().charge(customer, allowance, cost, false, now)
    }

    async fn charge_at(
        &self,
        address: SocketAddr,
        customer: &Customer,
        cost: u64,
    ) -> Option<Charged> {
        let socket = self.peer_socket.get()?;
        let (number, answer) = self.charges.open();
        let charge = Charge {
            number,
            customer: short_name(&customer.id),
            cost,
        };
        let is_sent = send(socket, &Message::Charge(charge), address);
        let wait = if is_sent {
            ANSWER_TIMEOUT
        } else {
            Duration::ZERO
        };
        let answer = tokio::time::timeout(wait, answer).await;
        self.charges.close(number);
        answer.ok()?.ok()
    }

    /// Answers a charge of another VM of the zone.
    pub(super) fn charged_by(&self, charge: Charge, from: SocketAddr) {
        let Some(table) = self.table() else {
            return;
        };
        let named =
            |customer: &&std::sync::Arc<Customer>| short_name(&customer.id) == charge.customer;
        let Some(customer) = table.customers().iter().find(named) else {
            return;
        };
        let now = self.now();
        let result = match &customer.allowance {
            Some(allowance) => self
                .core()
                .charge(customer, allowance, charge.cost, false, now),
            None => Ok(()),
        };
        let charged = Charged {
            number: charge.number,
            shortage: result.err(),
        };
        if let Some(socket) = self.peer_socket.get() {
            // The asker goes on with its own part where the answer is lost.
            send(socket, &Message::Charged(charged), from);
        }
    }

    /// Takes the answer to a charge.
    pub(super) fn charge_answered(&self, charged: Charged) {
        if let Some(sender) = self.charges.close(charged.number) {
            // The asker may have given up.
            let _ = sender.send(charged);
        }
    }
}

impl Core {
    /// Charges the account at this VM, which stands for its zone unless `is_alone`.
    fn charge(
        &mut self,
        customer: &Customer,
        allowance: &Allowance,
        cost: u64,
        is_alone: bool,
        now: Instant,
    ) -> Result<(), AllowanceExceeded> {
        let name = short_name(&customer.id);
        let in_zone = self.peers.fresh_in_zone(now).count();
        let silent = self.peers.stale_in_zone(now) + self.peers.unheard_vms();
        let (own_vms, silent) = match is_alone {
            true => (1, silent + in_zone),
            false => (1 + in_zone, silent),
        };
        let zones = self.peers.other_zones().map(|peer| VmGroup {
            vms: peer.beat.vms(),
            demand_per_s: self.peers.is_fresh(peer, now).then(|| {
                let demands = &peer.beat.demands;
                let demand = demands.iter().find(|(customer, _)| *customer == name);
                demand.map_or(0.0, |(_, units)| f64::from(*units))
            }),
        });
        let mut others: Vec<VmGroup> = zones.collect();
        others.push(VmGroup {
            vms: silent,
            demand_per_s: None,
        });
        self.allowances
            .try_take(&customer.id, allowance, cost, own_vms, &others, now)
    }
}

fn send(socket: &UdpSocket, message: &Message, address: SocketAddr) -> bool {
    match postcard::to_stdvec(message) {
        Ok(bytes) => socket.try_send_to(&bytes, address).is_ok(),
        Err(_) => false,
    }
}
