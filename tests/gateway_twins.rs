//! Comparison of the request queue and the customers' allowances with simple reference
//! implementations that scan all entries for each decision.

use std::time::Duration;

use celerylever::gateway::{
    Allowance, AllowanceSettings, Allowances, CostUnit, QueueSettings, QueuedRequest, RequestQueue,
    Ticket, VmGroup,
};
use proptest::collection::vec;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Nominal prefill rate of all engines together.
const PREFILL_TOKENS_PER_S: f64 = 16_384.0;

/// Time of the placement of a request, its tokens, and whether it was late.
type PlacedRequest = (Duration, u64, bool);

/// Request queue as a plain list that is scanned for each call.
#[derive(Debug)]
struct ReferenceQueue {
    settings: QueueSettings,
    list: Vec<(Ticket, QueuedRequest)>,
    /// Requests that were placed while others were queued.
    placed: Vec<PlacedRequest>,
    /// Since when the queue has been non-empty, and since when it has contained late requests.
    queued_since: Option<Duration>,
    late_since: Option<Duration>,
}

impl ReferenceQueue {
    fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            list: Vec::new(),
            placed: Vec::new(),
            queued_since: None,
            late_since: None,
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self.list.iter().position(|(other, _)| *other == ticket)?;
        let (_, request) = self.list.remove(index);
        if self.list.is_empty() {
            (self.queued_since, self.late_since) = (None, None);
            self.placed.clear();
        }
        Some(request)
    }

    /// Returns the tokens per second placed in the last second, or since `since` if that is later.
    /// Returns `None` if the time span is too short for an estimate.
    fn recent_tokens_per_s(
        &self,
        since: Option<Duration>,
        late_only: bool,
        now: Duration,
    ) -> Option<f64> {
        let span = (now - since?).min(MS(1_000));
        if span < MS(300) {
            return None;
        }
        let recent = self.placed.iter().filter(|(at, _, is_late)| {
            *at >= now - span && Some(*at) >= since && (*is_late || !late_only)
        });
        let tokens: u64 = recent.map(|(_, tokens, _)| tokens).sum();
        Some(tokens as f64 / span.as_secs_f64())
    }

    /// Returns the seconds until a request with `tokens_ahead` tokens before it is placed.
    fn expected_wait_s(&self, tokens_ahead: u64, request: &QueuedRequest, now: Duration) -> f64 {
        let speed = self.recent_tokens_per_s(self.queued_since, false, now);
        let speed = speed.map_or(PREFILL_TOKENS_PER_S, |recent_tokens_per_s| {
            recent_tokens_per_s.max(PREFILL_TOKENS_PER_S * 0.05)
        });
        let in_time = request.place_by.saturating_sub(now).as_secs_f64();
        let wait = tokens_ahead as f64 / speed;
        if wait <= in_time {
            return wait;
        }
        let late = self.recent_tokens_per_s(self.late_since, true, now);
        let late_speed = late.map_or(speed, |recent_tokens_per_s| {
            recent_tokens_per_s.clamp(speed * 0.01, speed)
        });
        in_time + (tokens_ahead as f64 - speed * in_time) / late_speed
    }

    fn remove_unservable(&mut self, now: Duration) -> Vec<Ticket> {
        let is_late = |request: &QueuedRequest| now > request.place_by;
        match self.list.iter().any(|(_, request)| is_late(request)) {
            true => self.late_since = self.late_since.or(Some(now)),
            false => {
                self.late_since = None;
                self.placed.iter_mut().for_each(|placed| placed.2 = false);
            }
        }
        let mut unservable = Vec::new();
        let mut tokens_ahead = 0;
        for ticket in self.placement_order(now) {
            let (_, request) = self
                .list
                .iter()
                .find(|(other, _)| *other == ticket)
                .unwrap();
            let starts_at = now.as_secs_f64() + self.expected_wait_s(tokens_ahead, request, now);
            if is_late(request) && starts_at > request.deadline.as_secs_f64() {
                unservable.push(ticket);
            }
            tokens_ahead += request.prefill_tokens;
        }
        for ticket in &unservable {
            self.remove(*ticket);
        }
        unservable
    }

    /// Returns whether `one` is to be placed before `other`.
    fn is_before(&self, one: &QueuedRequest, other: &QueuedRequest, now: Duration) -> bool {
        let key = |request: &QueuedRequest| {
            if now <= request.place_by {
                return (u64::from(request.priority), request.place_by);
            }
            let mut effective_priority = 16 + u64::from(request.priority);
            let mut promoted_at = request.place_by + self.settings.late_promotion_interval;
            while promoted_at <= now && effective_priority > 0 {
                effective_priority = effective_priority.saturating_sub(8);
                promoted_at += self.settings.late_promotion_interval;
            }
            (effective_priority, request.place_by)
        };
        key(one) < key(other)
    }

    fn admits(&self, request: &QueuedRequest, now: Duration) -> bool {
        let before = self.list.iter().map(|(_, other)| other);
        let before = before.filter(|other| !self.is_before(request, other, now));
        let tokens: u64 = before.map(|other| other.prefill_tokens).sum();
        let starts_at = now.as_secs_f64() + self.expected_wait_s(tokens, request, now);
        self.list.len() < self.settings.requests_max && starts_at <= request.deadline.as_secs_f64()
    }

    /// Returns the order of placement, found by a selection sort.
    fn placement_order(&self, now: Duration) -> Vec<Ticket> {
        let mut rest = self.list.clone();
        let mut placement_order = Vec::new();
        while !rest.is_empty() {
            let mut first = 0;
            for index in 1..rest.len() {
                if self.is_before(&rest[index].1, &rest[first].1, now) {
                    first = index;
                }
            }
            placement_order.push(rest.remove(first).0);
        }
        placement_order
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push(QueuedRequest),
    PlaceFirst,
    RemoveAt(usize),
    RemoveUnservable,
    AdvanceMs(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0_u8..4, 1_u64..20_000, 0_u64..8_000, 0_u64..12_000);
    prop_oneof![
        4 => request.prop_map(|(priority, prefill_tokens, objective_ms, deadline_ms)| Step::Push(QueuedRequest {
            priority,
            prefill_tokens,
            place_by: MS(objective_ms),
            deadline: MS(deadline_ms),
        })),
        3 => Just(Step::PlaceFirst),
        1 => (0_usize..40).prop_map(Step::RemoveAt),
        2 => Just(Step::RemoveUnservable),
        3 => (1_u64..900).prop_map(Step::AdvanceMs),
    ]
}

proptest! {
    /// The queue admits, orders and counts requests like the reference queue.
    #[test]
    fn the_queue_agrees_with_a_list(steps in vec(step(), 1..80), requests_max in 1_usize..30) {
        let settings = QueueSettings { requests_max, ..QueueSettings::default() };
        let mut queue = RequestQueue::new(settings);
        let mut reference = ReferenceQueue::new(settings);
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                Step::Push(request) => {
                    let pushed = queue.push(request, PREFILL_TOKENS_PER_S, now);
                    prop_assert_eq!(pushed.is_ok(), reference.admits(&request, now));
                    if let Ok(ticket) = pushed {
                        reference.queued_since = reference.queued_since.or(Some(now));
                        reference.list.push((ticket, request));
                    }
                }
                Step::PlaceFirst => {
                    if let Some(first) = queue.placement_order(now).first() {
                        queue.remove_placed(*first, now);
                        let request = reference.list.iter().find(|(ticket, _)| ticket == first);
                        let (_, request) = *request.unwrap();
                        let is_late = now > request.place_by;
                        reference.placed.push((now, request.prefill_tokens, is_late));
                        reference.remove(*first);
                    }
                }
                Step::RemoveAt(index) => {
                    if let Some((ticket, _)) = reference.list.get(index).copied() {
                        prop_assert_eq!(queue.remove(ticket), reference.remove(ticket));
                    }
                }
                Step::RemoveUnservable => {
                    let removed = queue.remove_unservable(PREFILL_TOKENS_PER_S, now);
                    let tickets: Vec<_> = removed.into_iter().map(|(ticket, _)| ticket).collect();
                    prop_assert_eq!(tickets, reference.remove_unservable(now));
                }
                Step::AdvanceMs(ms) => now += MS(ms),
            }
            prop_assert_eq!(queue.placement_order(now), reference.placement_order(now));
            prop_assert_eq!(queue.len(), reference.list.len());
            let tokens: u64 = reference.list.iter().map(|(_, request)| request.prefill_tokens).sum();
            prop_assert_eq!(queue.prefill_tokens(), tokens);
        }
    }

    /// An account's share of the rate matches a distribution of the rate in small increments.
    #[test]
    fn a_share_agrees_with_handing_out_in_small_pieces(
        own_vms in 1_usize..5,
        others in vec((1_usize..5, proptest::option::of(0.0_f64..12_000.0)), 0..5),
    ) {
        const RATE: u64 = 10_000;
        let others: Vec<VmGroup> = others.into_iter().map(|(vms, demand_per_s)| VmGroup { vms, demand_per_s }).collect();
        let allowance = Allowance {
            unit: CostUnit::Token { plain_tokens: 200 },
            rate_per_s: RATE,
            burst: RATE,
        };
        let mut accounts = Allowances::new(AllowanceSettings::default());
        // The cost exceeds the capacity of any account, so the refusal reports the share.
        let cost = 100 * RATE;
        accounts.try_take("teifi", &allowance, cost, own_vms, &others, Duration::ZERO).ok();
        let refused = accounts.try_take("teifi", &allowance, cost, own_vms, &others, Duration::ZERO);
        let share = refused.unwrap_err().share_per_s;
        let expected = reference_share(RATE, own_vms, &others);
        prop_assert!(share.abs_diff(expected) <= RATE / 500, "share {share}, reference {expected}");
    }
}

/// Distributes the rate in small increments, each to the group with the least rate per VM among
/// those below their demand, and returns the rate of the own group. VMs of unknown demand keep
/// their equal share of the rate. The demand of the own group is infinite, so nothing is left over.
fn reference_share(rate: u64, own_vms: usize, others: &[VmGroup]) -> u64 {
    const INCREMENTS: u64 = 10_000;
    let all_vms = own_vms + others.iter().map(|group| group.vms).sum::<usize>();
    let unresponsive = others.iter().filter(|group| group.demand_per_s.is_none());
    let unresponsive_vms = unresponsive.map(|group| group.vms).sum::<usize>();
    let mut left = rate as f64 * (1.0 - unresponsive_vms as f64 / all_vms as f64);
    let increment = rate as f64 / INCREMENTS as f64;
    let responsive = others
        .iter()
        .filter_map(|group| Some((group.vms as f64, group.demand_per_s?)));
    let mut groups: Vec<(f64, f64, f64)> =
        responsive.map(|(vms, demand)| (vms, demand, 0.0)).collect();
    groups.push((own_vms as f64, f64::INFINITY, 0.0));
    while left >= increment {
        let unsatisfied = groups
            .iter_mut()
            .filter(|(_, demand, granted)| granted < demand);
        let least =
            unsatisfied.min_by(|one, other| (one.2 / one.0).total_cmp(&(other.2 / other.0)));
        let Some((_, _, granted)) = least else { break };
        *granted += increment;
        left -= increment;
    }
    groups.last().map_or(0.0, |(_, _, granted)| *granted) as u64
}
