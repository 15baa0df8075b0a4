//! Orders that the holders of the lease may send, and the times between those of two holders.

use std::time::Duration;

use celerylever::steward::HeldTerm;
use rand::Rng;

use super::Simulation;

/// Order of steps before the first order of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FirstOrder {
    /// The write that clears the idle time has been applied.
    AfterWrite,
    /// The holder sends orders without that write.
    WithoutWrite,
}

impl Simulation {
    /// Records the time between the windows in which two nodes may send orders.
    pub(super) fn check_orders(&mut self, node: usize, held: HeldTerm) {
        let local = self.local(node);
        if self.acquired[node].is_none_or(|(term, _)| term != held.fencing_number) {
            self.acquired[node] = Some((held.fencing_number, local));
        }
        let is_paused = self.now < self.nodes[node].paused_until;
        if is_paused || !self.may_order(node, held, local) {
            return;
        }
        self.outcome.order_ticks += 1;
        let is_other = |(last, _): &(usize, u64)| *last != node;
        let shorter =
            |known: Option<u64>, gap: u64| Some(known.map_or(gap, |known| known.min(gap)));
        if let Some((_, at)) = self.last_orders.filter(is_other) {
            let gap = self.now - at;
            let outcome = &mut self.outcome;
            outcome.order_gap_micros_min = shorter(outcome.order_gap_micros_min, gap);
            let (_, acquired_at) = self.acquired[node].unwrap();
            let is_inherited = local < acquired_at + self.settings.lease_ttl;
            outcome.inherited_terms += usize::from(is_inherited);
        }
        self.last_orders = Some((node, self.now));
        self.deliver_order(node);
    }

    /// Returns whether the node may send orders; lets it prepare that if some are due.
    fn may_order(&mut self, node: usize, held: HeldTerm, local: Duration) -> bool {
        let is_ready = self.has_due_orders && self.order_window.can_open(held, local);
        match self.first_order {
            FirstOrder::WithoutWrite => is_ready,
            FirstOrder::AfterWrite => {
                if is_ready {
                    let core = &mut self.nodes[node].core;
                    core.begin_acting(held.fencing_number, local);
                }
                self.order_window.is_open(held, local)
            }
        }
    }

    /// Lets an order arrive late, within the time that is left for it.
    fn deliver_order(&mut self, node: usize) {
        let delay_max = self.settings.lease_ttl.as_micros() as u64 / 4;
        let arrives_at = self.now + self.random.random_range(0..delay_max);
        self.last_arrival = match self.last_arrival {
            Some((last, at)) if last == node => Some((node, at.max(arrives_at))),
            Some((_, at)) => {
                let gap = self.now.saturating_sub(at);
                let shortest = self.outcome.arrival_gap_micros_min.unwrap_or(gap);
                self.outcome.arrival_gap_micros_min = Some(shortest.min(gap));
                Some((node, arrives_at))
            }
            None => Some((node, arrives_at)),
        };
    }
}
