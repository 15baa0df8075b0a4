//! Weighted fair queue by tokens per customer.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::{CustomerId, Tokens};

/// Virtual time of one token at weight one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;
/// Share of a sample taken into the estimate of the rate at which the queue empties.
const DRAIN_RATE_EWMA_WEIGHT: f64 = 0.1;
/// Bounds of the wait told to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Bounds of a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Requests waiting at once.
    pub requests_max: usize,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            requests_max: 1_024,
        }
    }
}

/// Order in which a queue serves its priorities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Priority {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Served when no interactive request waits.
    Batch,
}

/// Request that wants to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Customer that it runs for.
    pub customer: CustomerId,
    /// Share of the customer relative to others.
    pub weight: u32,
    /// Tokens that it may take.
    pub cost: Tokens,
    /// Its priority.
    pub priority: Priority,
    /// Latest time at which it may still start.
    pub deadline: Instant,
}

/// Number of a waiting request, in the order of arrival.
pub type TicketNumber = u64;

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full and no customer has more in it.
    Full {
        /// When there should be room.
        retry_after: Duration,
    },
    /// It would not start before its deadline.
    TooLate {
        /// When the wait should be over.
        retry_after: Duration,
    },
}

/// Request admitted to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Its number.
    pub ticket: TicketNumber,
    /// Request that lost its place to it.
    pub displaced: Option<(TicketNumber, Duration)>,
}

/// Place in the order of service: priority, virtual start, arrival.
type OrderKey = (Priority, u64, TicketNumber);

/// Start-time fair queue: a customer's requests start one after the other in virtual time, which
/// advances by their cost over the customer's weight.
#[derive(Debug, Default)]
pub struct FairQueue {
    settings: FairQueueSettings,
    order: BTreeMap<OrderKey, QueuedRequest>,
    customers: HashMap<CustomerId, CustomerQueue>,
    virtual_time: [u64; 2],
    next_ticket: TicketNumber,
    drain_rate: DrainRate,
}

#[derive(Debug, Default)]
struct CustomerQueue {
    virtual_finish: [u64; 2],
    keys: VecDeque<OrderKey>,
    cost: Tokens,
}

/// Tokens a second at which the queue empties while it is not empty.
#[derive(Debug, Default)]
struct DrainRate {
    tokens_per_s: f64,
    last_pop_at: Option<Instant>,
    tokens: Tokens,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: FairQueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Admits a request.
    ///
    /// A full queue gives the last place of the customer that has most tokens waiting to one with
    /// fewer.
    ///
    /// # Errors
    ///
    /// Returns at once why the request may not wait.
    pub fn push(&mut self, request: QueuedRequest, now: Instant) -> Result<Admitted, QueueRefusal> {
        let start = self.virtual_start(&request);
        let key = (request.priority, start, self.next_ticket);
        let wait = self.wait_before(key);
        if now + wait > request.deadline {
            return Err(QueueRefusal::TooLate {
                retry_after: retry_after(wait),
            });
        }
        let displaced = match self.order.len() >= self.settings.requests_max {
            true => Some(self.displace(&request)?),
            false => None,
        };
        self.next_ticket += 1;
        let customer_queue = self.customers.entry(request.customer.clone()).or_default();
        customer_queue.virtual_finish[request.priority as usize] =
            start + virtual_duration(&request);
        customer_queue.keys.push_back(key);
        customer_queue.cost += request.cost;
        let ticket = key.2;
        self.order.insert(key, request);
        Ok(Admitted { ticket, displaced })
    }

    /// Takes the next request.
    pub fn pop(&mut self, now: Instant) -> Option<(TicketNumber, QueuedRequest)> {
        let (key, request) = self.order.pop_first()?;
        self.virtual_time[key.0 as usize] = key.1;
        self.remove_from_customer(key, &request);
        self.drain_rate.record_pop(request.cost, now);
        if self.order.is_empty() {
            self.drain_rate.pause();
        }
        Some((key.2, request))
    }

    /// Takes out a request whose caller left or whose deadline has come.
    pub fn remove(&mut self, customer: &str, ticket: TicketNumber) -> Option<QueuedRequest> {
        let customer_queue = self.customers.get(customer)?;
        let key = *customer_queue.keys.iter().find(|key| key.2 == ticket)?;
        let request = self.order.remove(&key)?;
        self.remove_from_customer(key, &request);
        Some(request)
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self) -> Duration {
        let total = self.order.values().map(|request| request.cost).sum();
        retry_after(self.drain_rate.time_for(total))
    }

    fn virtual_start(&self, request: &QueuedRequest) -> u64 {
        let priority = request.priority as usize;
        let virtual_finish = self.customers.get(&request.customer);
        let virtual_finish =
            virtual_finish.map_or(0, |customer_queue| customer_queue.virtual_finish[priority]);
        virtual_finish.max(self.virtual_time[priority])
    }

    fn wait_before(&self, key: OrderKey) -> Duration {
        let ahead = self.order.range(..key);
        self.drain_rate
            .time_for(ahead.map(|(_, request)| request.cost).sum())
    }

    /// Makes room by the last request of the customer with most tokens waiting.
    fn displace(
        &mut self,
        request: &QueuedRequest,
    ) -> Result<(TicketNumber, Duration), QueueRefusal> {
        let retry_after = self.retry_after();
        let own_queue = self.customers.get(&request.customer);
        let own_queue_cost =
            own_queue.map_or(0, |customer_queue| customer_queue.cost) + request.cost;
        let largest_queue = self
            .customers
            .iter()
            .filter(|(customer, customer_queue)| {
                **customer != request.customer && customer_queue.cost > own_queue_cost
            })
            .max_by_key(|(customer, customer_queue)| (customer_queue.cost, *customer));
        let last_key =
            largest_queue.and_then(|(_, customer_queue)| customer_queue.keys.iter().max().copied());
        let key = last_key.ok_or(QueueRefusal::Full { retry_after })?;
        if let Some(displaced) = self.order.remove(&key) {
            self.remove_from_customer(key, &displaced);
        }
        Ok((key.2, retry_after))
    }

    fn remove_from_customer(&mut self, key: OrderKey, request: &QueuedRequest) {
        let Some(customer_queue) = self.customers.get_mut(&request.customer) else {
            return;
        };
        customer_queue.keys.retain(|other| *other != key);
        customer_queue.cost = customer_queue.cost.saturating_sub(request.cost);
        let is_ahead = (0..2)
            .any(|priority| customer_queue.virtual_finish[priority] > self.virtual_time[priority]);
        if customer_queue.keys.is_empty() && !is_ahead {
            self.customers.remove(&request.customer);
        }
    }
}

impl DrainRate {
    fn record_pop(&mut self, cost: Tokens, now: Instant) {
        self.tokens += cost;
        let Some(last_pop_at) = self.last_pop_at else {
            self.last_pop_at = Some(now);
            self.tokens = 0;
            return;
        };
        let elapsed = now.saturating_sub(last_pop_at).as_secs_f64();
        if elapsed < 0.001 {
            return;
        }
        let sample = self.tokens as f64 / elapsed;
        self.tokens_per_s = match self.tokens_per_s > 0.0 {
            true => self.tokens_per_s + DRAIN_RATE_EWMA_WEIGHT * (sample - self.tokens_per_s),
            false => sample,
        };
        self.last_pop_at = Some(now);
        self.tokens = 0;
    }

    /// Keeps the time in which nothing waits out of the estimate.
    fn pause(&mut self) {
        self.last_pop_at = None;
    }

    /// Returns the time to pop some tokens; none while no rate is known.
    fn time_for(&self, tokens: Tokens) -> Duration {
        match self.tokens_per_s > 0.0 {
            true => Duration::try_from_secs_f64(tokens as f64 / self.tokens_per_s)
                .unwrap_or(Duration::MAX / 4),
            false => Duration::ZERO,
        }
    }
}

fn virtual_duration(request: &QueuedRequest) -> u64 {
    let weight = u64::from(request.weight.max(1));
    request.cost.max(1).saturating_mul(VIRTUAL_TIME_PER_TOKEN) / weight
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
