//! Decisions about waiting and admission beside simpler programs that decide the same by looking
//! at everything.

use std::time::Duration;

use celerylever::gateway::{
    Allowance, AllowanceSettings, Allowances, CostUnit, QueueSettings, QueuedRequest, RequestQueue,
    Ticket, VmGroup,
};
use proptest::collection::vec;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Tokens a second that the engines are said to read.
const TOKENS_PER_S: f64 = 16_384.0;

/// When a request was placed, its tokens, and whether it was late.
type GivenOut = (Duration, u64, bool);

/// List of waiting requests that is looked through for each question.
#[derive(Debug)]
struct NaiveQueue {
    settings: QueueSettings,
    list: Vec<(Ticket, QueuedRequest)>,
    /// What was placed while requests waited.
    given_out: Vec<GivenOut>,
    /// Since when requests have waited without a break, and late ones.
    waits_since: Option<Duration>,
    late_since: Option<Duration>,
}

impl NaiveQueue {
    fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            list: Vec::new(),
            given_out: Vec::new(),
            waits_since: None,
            late_since: None,
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self.list.iter().position(|(other, _)| *other == ticket)?;
        let (_, waiting) = self.list.remove(index);
        if self.list.is_empty() {
            (self.waits_since, self.late_since) = (None, None);
            self.given_out.clear();
        }
        Some(waiting)
    }

    /// Returns the tokens a second given out in the last second, or since requests wait.
    fn seen(&self, since: Option<Duration>, late_only: bool, now: Duration) -> Option<f64> {
        let span = (now - since?).min(MS(1_000));
        if span < MS(300) {
            return None;
        }
        let recent = self.given_out.iter().filter(|(at, _, is_late)| {
            *at >= now - span && Some(*at) >= since && (*is_late || !late_only)
        });
        let tokens: u64 = recent.map(|(_, tokens, _)| tokens).sum();
        Some(tokens as f64 / span.as_secs_f64())
    }

    /// Returns in how many seconds a request behind some tokens is placed.
    fn starts_in(&self, ahead: u64, waiting: &QueuedRequest, now: Duration) -> f64 {
        let speed = self.seen(self.waits_since, false, now);
        let speed = speed.map_or(TOKENS_PER_S, |seen| seen.max(TOKENS_PER_S * 0.05));
        let in_time = waiting.place_by.saturating_sub(now).as_secs_f64();
        let wait = ahead as f64 / speed;
        if wait <= in_time {
            return wait;
        }
        let late = self.seen(self.late_since, true, now);
        let late_speed = late.map_or(speed, |seen| seen.clamp(speed * 0.01, speed));
        in_time + (ahead as f64 - speed * in_time) / late_speed
    }

    fn give_up(&mut self, now: Duration) -> Vec<Ticket> {
        let is_late = |waiting: &QueuedRequest| now > waiting.place_by;
        match self.list.iter().any(|(_, waiting)| is_late(waiting)) {
            true => self.late_since = self.late_since.or(Some(now)),
            false => {
                self.late_since = None;
                self.given_out.iter_mut().for_each(|given| given.2 = false);
            }
        }
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        for ticket in self.order(now) {
            let (_, waiting) = self
                .list
                .iter()
                .find(|(other, _)| *other == ticket)
                .unwrap();
            let starts_at = now.as_secs_f64() + self.starts_in(ahead, waiting, now);
            if is_late(waiting) && starts_at > waiting.deadline.as_secs_f64() {
                hopeless.push(ticket);
            }
            ahead += waiting.prefill_tokens;
        }
        for ticket in &hopeless {
            self.remove(*ticket);
        }
        hopeless
    }

    /// Returns whether one request is to be placed before another.
    fn is_before(&self, one: &QueuedRequest, other: &QueuedRequest, now: Duration) -> bool {
        let key = |waiting: &QueuedRequest| {
            if now <= waiting.place_by {
                return (u64::from(waiting.priority), waiting.place_by);
            }
            let mut rank = 16 + u64::from(waiting.priority);
            let mut passed = waiting.place_by + self.settings.late_promotion_interval;
            while passed <= now && rank > 0 {
                rank = rank.saturating_sub(8);
                passed += self.settings.late_promotion_interval;
            }
            (rank, waiting.place_by)
        };
        key(one) < key(other)
    }

    fn admits(&self, waiting: &QueuedRequest, now: Duration) -> bool {
        let before = self.list.iter().map(|(_, other)| other);
        let before = before.filter(|other| !self.is_before(waiting, other, now));
        let tokens: u64 = before.map(|other| other.prefill_tokens).sum();
        let starts_at = now.as_secs_f64() + self.starts_in(tokens, waiting, now);
        self.list.len() < self.settings.requests_max && starts_at <= waiting.deadline.as_secs_f64()
    }

    /// Picks the first of all, then the first of the rest, and so on.
    fn order(&self, now: Duration) -> Vec<Ticket> {
        let mut rest = self.list.clone();
        let mut order = Vec::new();
        while !rest.is_empty() {
            let mut first = 0;
            for index in 1..rest.len() {
                if self.is_before(&rest[index].1, &rest[first].1, now) {
                    first = index;
                }
            }
            order.push(rest.remove(first).0);
        }
        order
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push(QueuedRequest),
    TakeFirst,
    TakeOne(usize),
    GiveUp,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let waiting = (0_u8..4, 1_u64..20_000, 0_u64..8_000, 0_u64..12_000);
    prop_oneof![
        4 => waiting.prop_map(|(priority, prefill_tokens, objective_ms, deadline_ms)| Step::Push(QueuedRequest {
            priority,
            prefill_tokens,
            place_by: MS(objective_ms),
            deadline: MS(deadline_ms),
        })),
        3 => Just(Step::TakeFirst),
        1 => (0_usize..40).prop_map(Step::TakeOne),
        2 => Just(Step::GiveUp),
        3 => (1_u64..900).prop_map(Step::Pass),
    ]
}

proptest! {
    /// The queue admits, orders and counts as a list does that is looked through each time.
    #[test]
    fn the_queue_agrees_with_a_list(steps in vec(step(), 1..80), requests_max in 1_usize..30) {
        let settings = QueueSettings { requests_max, ..QueueSettings::default() };
        let mut queue = RequestQueue::new(settings);
        let mut naive = NaiveQueue::new(settings);
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                Step::Push(waiting) => {
                    let pushed = queue.push(waiting, TOKENS_PER_S, now);
                    prop_assert_eq!(pushed.is_ok(), naive.admits(&waiting, now));
                    if let Ok(ticket) = pushed {
                        naive.waits_since = naive.waits_since.or(Some(now));
                        naive.list.push((ticket, waiting));
                    }
                }
                Step::TakeFirst => {
                    if let Some(first) = queue.placement_order(now).first() {
                        queue.remove_placed(*first, now);
                        let waiting = naive.list.iter().find(|(ticket, _)| ticket == first);
                        let (_, waiting) = *waiting.unwrap();
                        let is_late = now > waiting.place_by;
                        naive.given_out.push((now, waiting.prefill_tokens, is_late));
                        naive.remove(*first);
                    }
                }
                Step::TakeOne(index) => {
                    if let Some((ticket, _)) = naive.list.get(index).copied() {
                        prop_assert_eq!(queue.remove(ticket), naive.remove(ticket));
                    }
                }
                Step::GiveUp => {
                    let given_up = queue.remove_unservable(TOKENS_PER_S, now);
                    let tickets: Vec<_> = given_up.into_iter().map(|(ticket, _)| ticket).collect();
                    prop_assert_eq!(tickets, naive.give_up(now));
                }
                Step::Pass(ms) => now += MS(ms),
            }
            prop_assert_eq!(queue.placement_order(now), naive.order(now));
            prop_assert_eq!(queue.len(), naive.list.len());
            let tokens: u64 = naive.list.iter().map(|(_, waiting)| waiting.prefill_tokens).sum();
            prop_assert_eq!(queue.prefill_tokens(), tokens);
        }
    }

    /// An account's part of the rate is what handing the rate out in small pieces gives.
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
        // More than any account holds: the refusal tells the part.
        let cost = 100 * RATE;
        accounts.try_take("teifi", &allowance, cost, own_vms, &others, Duration::ZERO).ok();
        let refused = accounts.try_take("teifi", &allowance, cost, own_vms, &others, Duration::ZERO);
        let share = refused.unwrap_err().share_per_s;
        let expected = hand_out(RATE, own_vms, &others);
        prop_assert!(share.abs_diff(expected) <= RATE / 500, "{share}, by pieces {expected}");
    }
}

/// Hands a rate out in pieces, each to the VM that has least, until all that ask have enough; what
/// is left is shared by all that were heard. The own account asks for more than there is.
fn hand_out(rate: u64, own_vms: usize, others: &[VmGroup]) -> u64 {
    const PIECES: u64 = 10_000;
    let all_vms = own_vms + others.iter().map(|group| group.vms).sum::<usize>();
    let silent = others.iter().filter(|group| group.demand_per_s.is_none());
    let silent_vms = silent.map(|group| group.vms).sum::<usize>();
    let mut left = rate as f64 * (1.0 - silent_vms as f64 / all_vms as f64);
    let piece = rate as f64 / PIECES as f64;
    let heard = others
        .iter()
        .filter_map(|group| Some((group.vms as f64, group.demand_per_s?)));
    let mut parts: Vec<(f64, f64, f64)> = heard.map(|(vms, asks)| (vms, asks, 0.0)).collect();
    parts.push((own_vms as f64, f64::INFINITY, 0.0));
    while left >= piece {
        let asking = parts.iter_mut().filter(|(_, asks, has)| has < asks);
        let least = asking.min_by(|one, other| (one.2 / one.0).total_cmp(&(other.2 / other.0)));
        let Some((_, _, has)) = least else { break };
        *has += piece;
        left -= piece;
    }
    parts.last().map_or(0.0, |(_, _, has)| *has) as u64
}
