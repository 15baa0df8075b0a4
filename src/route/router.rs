//! Router shared between threads, with a fair queue in front of each saturated engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::placement::build_placements;
use super::{
    ChooseError, Chooser, ChooserSettings, EngineFailure, EngineNumber, HealthChange, InFlight,
    LoadReport, PollTarget, QueuedWork, RoutingRequest,
};
use crate::clock::{Instant, SharedClock};
use crate::document::Snapshot;
use crate::error::{Code, Refusal};
use crate::fair::{FairQueue, QueueRefusal, QueuedRequest, TicketNumber};
use crate::ids::CustomerId;
use crate::telemetry::{Event, Metrics};

/// Retry delay for a refused caller when no request waits for the engine.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Cloneable handle to the shared router state.
#[derive(Debug, Clone)]
pub struct Router {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: SharedClock,
    metrics: Metrics,
    state: Mutex<RouterState>,
}

#[derive(Debug)]
pub(super) struct RouterState {
    pub(super) chooser: Chooser,
    queues: HashMap<EngineNumber, EngineQueue>,
}

#[derive(Debug, Default)]
struct EngineQueue {
    queue: FairQueue,
    waiters: HashMap<TicketNumber, Waiter>,
}

/// Request that waits in an [`EngineQueue`].
#[derive(Debug)]
struct Waiter {
    queued: QueuedWork,
    sender: oneshot::Sender<WakeReason>,
}

/// Reason why a waiting request is woken.
#[derive(Debug, Clone, Copy)]
enum WakeReason {
    /// The engine has room, or the request is to choose again.
    Room,
    /// Another request took its place; contains the retry delay for the caller.
    Displaced(Duration),
}

/// Guard of a request's place in a queue, which it leaves when dropped.
struct QueueGuard {
    router: Router,
    engine: EngineNumber,
    customer: CustomerId,
    ticket: TicketNumber,
}

impl Router {
    /// Creates a router without engines.
    pub fn new(settings: ChooserSettings, clock: SharedClock, metrics: Metrics) -> Self {
        let state = RouterState {
            chooser: Chooser::new(settings),
            queues: HashMap::new(),
        };
        let shared = Shared {
            clock,
            metrics,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Applies the engines of a configuration that is newer than the current one.
    pub fn configure(&self, snapshot: &Snapshot) {
        // Built before locking: it takes milliseconds, which would delay all choices.
        let placements = build_placements(snapshot);
        let now = self.now();
        let mut state = self.lock();
        state
            .chooser
            .configure_with_placements(snapshot, placements, now);
        state.wake_all(now);
    }

    /// Sets the addresses that the platform lists as leaving.
    pub fn set_leaving(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.lock().chooser.set_leaving(addresses);
    }

    /// Chooses an engine, and waits in a fair queue if the best one is saturated.
    ///
    /// Returns `None` if no engine is left to try.
    ///
    /// # Errors
    ///
    /// Refuses the request at once if the queue is full or the wait would exceed its deadline, and
    /// later if it is displaced from the queue or its deadline passes.
    pub async fn choose(
        &self,
        request: &mut RoutingRequest,
        queued_request: QueuedRequest,
    ) -> Result<Option<InFlight>, Refusal> {
        loop {
            let (queue_guard, woken) = match self.choose_or_wait(request, &queued_request)? {
                ChooseOutcome::NoEngine => return Ok(None),
                ChooseOutcome::Engine(in_flight) => return Ok(Some(in_flight)),
                ChooseOutcome::Wait(queue_guard, woken) => (queue_guard, woken),
            };
            let time_left = queued_request.deadline.saturating_sub(self.now());
            let woken = tokio::time::timeout(time_left, woken).await;
            let retry_after = self.retry_after(queue_guard.engine);
            drop(queue_guard);
            match woken {
                Ok(Ok(WakeReason::Room) | Err(_)) => {}
                Ok(Ok(WakeReason::Displaced(wait))) => return Err(overloaded(wait)),
                Err(_) => {
                    let message = "the deadline passed while the request waited for an engine";
                    let refusal = Refusal::new(Code::DeadlineExceeded, message);
                    return Err(refusal.with_retry_after(retry_after));
                }
            }
        }
    }

    fn choose_or_wait(
        &self,
        request: &mut RoutingRequest,
        queued_request: &QueuedRequest,
    ) -> Result<ChooseOutcome, Refusal> {
        let now = self.now();
        let mut state = self.lock();
        let queued = match state.chooser.choose(request, now) {
            Ok(choice) => {
                drop(state);
                self.shared.metrics.record_choice(choice.reason);
                return Ok(ChooseOutcome::Engine(InFlight::new(self.clone(), choice)));
            }
            Err(ChooseError::NoEngine) => return Ok(ChooseOutcome::NoEngine),
            Err(ChooseError::Saturated(queued)) => queued,
        };
        let (ticket, woken) = state.enqueue(queued, queued_request, now)?;
        let queue_guard = QueueGuard {
            router: self.clone(),
            engine: queued.engine,
            customer: queued_request.customer.clone(),
            ticket,
        };
        Ok(ChooseOutcome::Wait(queue_guard, woken))
    }

    /// Applies a load report that was requested at `requested_at`.
    pub fn apply_report(
        &self,
        engine: EngineNumber,
        report: &LoadReport,
        requested_at: Instant,
        is_new_connection: bool,
    ) {
        let now = self.now();
        let mut state = self.lock();
        let change =
            state
                .chooser
                .apply_report(engine, report, requested_at, is_new_connection, now);
        state.wake(engine, now);
        drop(state);
        self.count_health_change(change);
    }

    /// Records the failure of a poll.
    pub fn record_poll_failure(&self, engine: EngineNumber, failure: EngineFailure) {
        let now = self.now();
        let mut state = self.lock();
        let change = state.chooser.record_engine_failure(engine, failure, now);
        if change == Some(HealthChange::Down) {
            state.wake_all(now);
        }
        drop(state);
        self.count_health_change(change);
    }

    /// Returns the engine to poll next, if any is due.
    pub fn next_poll(&self, min_interval: Duration) -> Option<PollTarget> {
        let now = self.now();
        self.lock().chooser.next_poll(min_interval, now)
    }

    /// Returns the number of this VM's requests in flight at an engine, and the limit on it.
    pub fn in_flight(&self, upstream: &str) -> Option<(usize, usize)> {
        self.lock().chooser.in_flight(upstream)
    }

    /// Returns the current time of the router's clock.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns the expected time until the requests that wait for an engine have started.
    fn retry_after(&self, engine: EngineNumber) -> Duration {
        let state = self.lock();
        let queue = state.queues.get(&engine);
        queue.map_or(RETRY_AFTER_MIN, |queue| queue.queue.retry_after())
    }

    pub(super) fn count_health_change(&self, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Down) => self.shared.metrics.record_event(Event::UpstreamDown),
            Some(HealthChange::Up) => self.shared.metrics.record_event(Event::UpstreamUp),
            None => {}
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

enum ChooseOutcome {
    Engine(InFlight),
    Wait(QueueGuard, oneshot::Receiver<WakeReason>),
    NoEngine,
}

impl RouterState {
    fn enqueue(
        &mut self,
        queued: QueuedWork,
        queued_request: &QueuedRequest,
        now: Instant,
    ) -> Result<(TicketNumber, oneshot::Receiver<WakeReason>), Refusal> {
        let engine_queue = self.queues.entry(queued.engine).or_default();
        let admitted = engine_queue
            .queue
            .push(queued_request.clone(), now)
            .map_err(refusal)?;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { queued, sender };
        engine_queue.waiters.insert(admitted.ticket, waiter);
        self.chooser.add_queued(queued);
        if let Some((ticket, retry_after)) = admitted.displaced {
            self.notify(queued.engine, ticket, WakeReason::Displaced(retry_after));
        }
        Ok((admitted.ticket, receiver))
    }

    /// Wakes waiting requests up to the engine's limit of requests in flight.
    pub(super) fn wake(&mut self, engine: EngineNumber, now: Instant) {
        // Woken requests are counted as in flight only after they have chosen again.
        let mut room = self.chooser.room(engine);
        while room > 0 {
            let Some(queue) = self.queues.get_mut(&engine) else {
                return;
            };
            let Some((ticket, _)) = queue.queue.pop(now) else {
                self.queues.remove(&engine);
                return;
            };
            if self.notify(engine, ticket, WakeReason::Room) {
                room -= 1;
            }
        }
    }

    /// Wakes all waiting requests, so that they choose again.
    pub(super) fn wake_all(&mut self, now: Instant) {
        let engines: Vec<EngineNumber> = self.queues.keys().copied().collect();
        for engine in engines {
            while let Some(queue) = self.queues.get_mut(&engine) {
                let Some((ticket, _)) = queue.queue.pop(now) else {
                    self.queues.remove(&engine);
                    break;
                };
                self.notify(engine, ticket, WakeReason::Room);
            }
        }
    }

    /// Wakes a request; returns whether it was still waiting.
    fn notify(&mut self, engine: EngineNumber, ticket: TicketNumber, woken: WakeReason) -> bool {
        let queue = self.queues.get_mut(&engine);
        let Some(waiter) = queue.and_then(|queue| queue.waiters.remove(&ticket)) else {
            return false;
        };
        self.chooser.remove_queued(waiter.queued);
        waiter.sender.send(woken).is_ok()
    }

    fn remove_waiter(&mut self, engine: EngineNumber, customer: &str, ticket: TicketNumber) {
        let Some(queue) = self.queues.get_mut(&engine) else {
            return;
        };
        queue.queue.remove(customer, ticket);
        if let Some(waiter) = queue.waiters.remove(&ticket) {
            self.chooser.remove_queued(waiter.queued);
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.router
            .lock()
            .remove_waiter(self.engine, &self.customer, self.ticket);
    }
}

fn refusal(refused: QueueRefusal) -> Refusal {
    match refused {
        QueueRefusal::Full { retry_after } => overloaded(retry_after),
        QueueRefusal::TooLate { retry_after } => {
            let message = "the request would wait in the engine's queue beyond its deadline";
            Refusal::new(Code::DeadlineExceeded, message).with_retry_after(retry_after)
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "the queue of the engine is full";
    Refusal::new(Code::Overloaded, message).with_retry_after(retry_after)
}
