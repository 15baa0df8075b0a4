//! Choice shared between threads, with fair queues before saturated engines.

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

/// When a refused caller may come back where nothing waits any more.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Shared handle that chooses engines.
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

#[derive(Debug)]
struct Waiter {
    queued: QueuedWork,
    sender: oneshot::Sender<WakeReason>,
}

/// Why a waiting request goes on.
#[derive(Debug, Clone, Copy)]
enum WakeReason {
    Room,
    Displaced(Duration),
}

/// Place in a queue, given up when dropped.
struct QueueGuard {
    router: Router,
    engine: EngineNumber,
    customer: CustomerId,
    ticket: TicketNumber,
}

impl Router {
    /// Creates a router that knows of no engine.
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

    /// Takes the engines of a configuration, unless a newer one was taken.
    pub fn configure(&self, snapshot: &Snapshot) {
        // Building takes milliseconds, in which no choice may wait.
        let placements = build_placements(snapshot);
        let now = self.now();
        let mut state = self.lock();
        state
            .chooser
            .configure_with_placements(snapshot, placements, now);
        state.wake_all(now);
    }

    /// Takes the addresses that the platform lists as leaving.
    pub fn set_leaving(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.lock().chooser.set_leaving(addresses);
    }

    /// Chooses an engine, waiting in turn where the best one is saturated.
    ///
    /// Returns nothing where no engine is left to try.
    ///
    /// # Errors
    ///
    /// Refuses at once where the queue is full or the deadline comes first.
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
            let left = queued_request.deadline.saturating_sub(self.now());
            let woken = tokio::time::timeout(left, woken).await;
            let retry_after = self.retry_after(queue_guard.engine);
            drop(queue_guard);
            match woken {
                Ok(Ok(WakeReason::Room) | Err(_)) => {}
                Ok(Ok(WakeReason::Displaced(wait))) => return Err(overloaded(wait)),
                Err(_) => {
                    let message = "the request did not start before its deadline";
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
                self.shared.metrics.choice(choice.reason);
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

    /// Takes a load report that was asked for at a time.
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

    /// Takes the failure of a poll.
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

    /// Returns the engine to poll next.
    pub fn next_poll(&self, min_interval: Duration) -> Option<PollTarget> {
        let now = self.now();
        self.lock().chooser.next_poll(min_interval, now)
    }

    /// Returns the requests that this VM has at an engine, and may have.
    pub fn in_flight(&self, upstream: &str) -> Option<(usize, usize)> {
        self.lock().chooser.in_flight(upstream)
    }

    /// Returns the time by the router's clock.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns when those that wait for an engine should have started.
    fn retry_after(&self, engine: EngineNumber) -> Duration {
        let state = self.lock();
        let queue = state.queues.get(&engine);
        queue.map_or(RETRY_AFTER_MIN, |queue| queue.queue.retry_after())
    }

    pub(super) fn count_health_change(&self, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Down) => self.shared.metrics.event(Event::UpstreamDown),
            Some(HealthChange::Up) => self.shared.metrics.event(Event::UpstreamUp),
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

    /// Lets waiting requests go on while their engine has room.
    pub(super) fn wake(&mut self, engine: EngineNumber, now: Instant) {
        // Those woken count as in flight only once they have chosen again.
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

    /// Lets every waiting request choose anew.
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

    /// Returns whether the request was still waiting.
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
            let message = "the request would not start before its deadline";
            Refusal::new(Code::DeadlineExceeded, message).with_retry_after(retry_after)
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "the queue before the engines is full";
    Refusal::new(Code::Overloaded, message).with_retry_after(retry_after)
}
