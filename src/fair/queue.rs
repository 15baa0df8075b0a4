//! Weighted fair queue that shares service between customers by tokens.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::{CustomerId, Tokens};

/// Virtual time units of one token at weight one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;
/// Weight of a sample in the estimated drain rate.
const DRAIN_RATE_EWMA_WEIGHT: f64 = 0.1;
/// Bounds of the retry delay sent to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Settings of a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Largest number of waiting requests.
    pub requests_max: usize,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            requests_max: 1_024,
        }
    }
}

/// Priority of a request; a queue serves the priorities strictly in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Priority {
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// Served only while no interactive request waits.
    Batch,
}

/// Request to be queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Weight of the customer relative to others; 0 counts as 1.
    pub weight: u32,
    /// Tokens that it may cost; 0 counts as 1 for its place in the queue.
    pub cost: Tokens,
    /// Priority of the request.
    pub priority: Priority,
    /// Latest time at which it may start.
    pub deadline: Instant,
}

/// Number of a queued request, rising in the order of arrival.
pub type TicketNumber = u64;

/// Reason why a request is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full and no other customer has more tokens waiting.
    Full {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// It would not start before its deadline.
    TooLate {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Result of queueing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Number of the request.
    pub ticket: TicketNumber,
    /// Request that was displaced by it, if any, and the time after which its caller should retry.
    pub displaced: Option<(TicketNumber, Duration)>,
}

/// Key in the order of service: priority, virtual start time, number.
type OrderKey = (Priority, u64, TicketNumber);

/// Start-time fair queue.
///
/// The requests of a customer start one after the other in virtual time. Each takes up its cost
/// divided by the customer's weight; requests are served in the order of their virtual start times.
#[derive(Debug, Default)]
pub struct FairQueue {
    settings: FairQueueSettings,
    order: BTreeMap<OrderKey, QueuedRequest>,
    customers: HashMap<CustomerId, CustomerQueue>,
    virtual_time: [u64; 2],
    next_ticket: TicketNumber,
    drain_rate: DrainRate,
}

/// Waiting requests of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    /// Virtual finish time of the last request, by priority.
    virtual_finish: [u64; 2],
    keys: VecDeque<OrderKey>,
    /// Total cost of the waiting requests.
    cost: Tokens,
}

/// Estimate of the tokens per second served while the queue is not empty.
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

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Queues a request.
    ///
    /// If the queue is full, the request displaces the last request of the customer with most
    /// tokens waiting, if those are more than its own customer's with this request.
    ///
    /// # Errors
    ///
    /// Returns [`QueueRefusal::TooLate`] if the expected wait exceeds the deadline, and
    /// [`QueueRefusal::Full`] if the queue is full and no request can be displaced.
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

    /// Removes and returns the next request to serve.
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

    /// Removes a request, for example because its caller disconnected or its deadline passed.
    pub fn remove(&mut self, customer: &str, ticket: TicketNumber) -> Option<QueuedRequest> {
        let customer_queue = self.customers.get(customer)?;
        let key = *customer_queue.keys.iter().find(|key| key.2 == ticket)?;
        let request = self.order.remove(&key)?;
        self.remove_from_customer(key, &request);
        Some(request)
    }

    /// Returns the time after which a refused caller should retry: that to serve all requests.
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

    /// Makes room by removing the last request of the customer with most tokens waiting.
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

    /// Excludes the time in which the queue is empty from the estimate.
    fn pause(&mut self) {
        self.last_pop_at = None;
    }

    /// Returns the expected time to serve some tokens; zero while no rate is known.
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
