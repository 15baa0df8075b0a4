//! Holds bodies and responses within the budget.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use super::held_body::{HeldBytes, SendingBody};
use super::ledger::{Eviction, HolderId, HolderKind, MemoryExhausted, MemoryLedger};
use super::limits::MemoryLimits;
use super::segments::Segments;
use crate::clock::SharedClock;

/// Memory that a VM holds for others, within the limits.
#[derive(Debug)]
pub struct CallerMemory {
    clock: SharedClock,
    counts: Counts,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: MemoryLedger,
    stores: HashMap<HolderId, Arc<Store>>,
}

#[derive(Debug, Default)]
struct Counts {
    evicted_requests: AtomicU64,
    evicted_responses: AtomicU64,
    refused_requests: AtomicU64,
    refused_responses: AtomicU64,
}

/// What did not fit since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct MemoryCounts {
    /// Unfinished request bodies that were evicted.
    pub(crate) evicted_requests: u64,
    /// Responses that were evicted while their callers did not read.
    pub(crate) evicted_responses: u64,
    /// Request bodies that got no room.
    pub(crate) refused_requests: u64,
    /// Responses that got no room.
    pub(crate) refused_responses: u64,
}

/// Bytes of a holder, freed when it is evicted.
#[derive(Default)]
pub(super) struct Store {
    content: Mutex<Content>,
    evicted: Notify,
    on_eviction: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

#[derive(Debug)]
pub(super) enum Content {
    Receiving(Segments),
    /// Segments that have not been sent yet, in reverse order.
    Sending(Vec<Bytes>),
    Evicted,
}

impl Default for Content {
    fn default() -> Self {
        Self::Receiving(Segments::default())
    }
}

impl std::fmt::Debug for Store {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Store").finish_non_exhaustive()
    }
}

/// Place of a holder in the budget, given back on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<CallerMemory>,
    id: HolderId,
    kind: HolderKind,
}

/// Body or response that is being received.
#[derive(Debug)]
pub(crate) struct Receiving {
    reservation: Reservation,
    store: Arc<Store>,
    held_bytes: usize,
    announced_bytes: Option<usize>,
}

impl CallerMemory {
    /// Creates the memory of a VM that holds nothing yet.
    pub fn new(limits: &MemoryLimits, clock: SharedClock) -> Arc<Self> {
        let state = State {
            ledger: MemoryLedger::new(limits),
            stores: HashMap::new(),
        };
        Arc::new(Self {
            clock,
            counts: Counts::default(),
            state: Mutex::new(state),
        })
    }

    /// Returns what did not fit since the start of the process.
    pub(crate) fn counts(&self) -> MemoryCounts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        MemoryCounts {
            evicted_requests: count(&self.counts.evicted_requests),
            evicted_responses: count(&self.counts.evicted_responses),
            refused_requests: count(&self.counts.refused_requests),
            refused_responses: count(&self.counts.refused_responses),
        }
    }

    /// Returns the bytes that are held at present.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().ledger.held_bytes()
    }

    /// Begins to receive a request body, which may be evicted until it is complete.
    ///
    /// `announced_bytes` is its length, if known; nothing is reserved for it.
    pub(crate) fn receive_request(self: &Arc<Self>, announced_bytes: Option<usize>) -> Receiving {
        self.receive(HolderKind::Request, announced_bytes)
    }

    /// Begins to receive a response, which may be evicted while its caller does not read it.
    pub(crate) fn receive_response(self: &Arc<Self>) -> Receiving {
        self.receive(HolderKind::Response, None)
    }

    /// Returns a place for a response whose bytes are kept elsewhere.
    pub(crate) fn reserve_response(self: &Arc<Self>) -> Reservation {
        self.reserve(HolderKind::Response, None)
    }

    fn receive(self: &Arc<Self>, kind: HolderKind, announced_bytes: Option<usize>) -> Receiving {
        let store = Arc::new(Store::default());
        Receiving {
            reservation: self.reserve(kind, Some(store.clone())),
            store,
            held_bytes: 0,
            announced_bytes,
        }
    }

    fn reserve(self: &Arc<Self>, kind: HolderKind, store: Option<Arc<Store>>) -> Reservation {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_evictable = kind == HolderKind::Request;
        let id = state.ledger.add(kind, is_evictable, now);
        if let Some(store) = store {
            state.stores.insert(id, store);
        }
        Reservation {
            memory: self.clone(),
            id,
            kind,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Frees the bytes of evicted holders.
    fn evict(&self, evictions: &[Eviction], stores: Vec<Arc<Store>>) {
        for eviction in evictions {
            let counter = match eviction.kind {
                HolderKind::Request => &self.counts.evicted_requests,
                HolderKind::Response => &self.counts.evicted_responses,
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
        for store in stores {
            *lock(&store.content) = Content::Evicted;
            store.evicted.notify_one();
            let on_eviction = lock(&store.on_eviction).take();
            if let Some(on_eviction) = on_eviction {
                on_eviction();
            }
        }
    }
}

impl Reservation {
    /// Sets the memory that is held, and evicts others that have made no progress for longest if
    /// there is no room.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room, or if the holder itself was evicted.
    pub(crate) fn resize(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let now = self.memory.clock.now();
        let mut state = self.memory.lock();
        let evictions = state.ledger.resize(self.id, bytes, now);
        let Ok(evictions) = evictions else {
            let counter = match self.kind {
                HolderKind::Request => &self.memory.counts.refused_requests,
                HolderKind::Response => &self.memory.counts.refused_responses,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            return Err(MemoryExhausted);
        };
        let stores = evictions.iter();
        let stores = stores.filter_map(|eviction| state.stores.remove(&eviction.id));
        let stores: Vec<_> = stores.collect();
        drop(state);
        self.memory.evict(&evictions, stores);
        Ok(())
    }

    pub(super) fn record_progress(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().ledger.record_progress(self.id, now);
    }

    fn set_evictable(&self, is_evictable: bool) {
        let now = self.memory.clock.now();
        let mut state = self.memory.lock();
        state.ledger.set_evictable(self.id, is_evictable, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.release(self.id);
        let store = state.stores.remove(&self.id);
        drop(state);
        drop(store);
    }
}

impl Receiving {
    /// Returns the number of bytes so far; 0 once they were evicted.
    pub(crate) fn len(&self) -> usize {
        match &*lock(&self.store.content) {
            Content::Receiving(segments) => segments.len(),
            Content::Sending(_) | Content::Evicted => 0,
        }
    }

    /// Appends bytes and reserves memory for them.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room, or if what arrived before was evicted.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<(), MemoryExhausted> {
        let mut rest = data;
        while !rest.is_empty() {
            let next_segment_bytes = {
                let mut content = lock(&self.store.content);
                let Content::Receiving(segments) = &mut *content else {
                    return Err(MemoryExhausted);
                };
                let (fitting, after) = rest.split_at(rest.len().min(segments.room()));
                segments.append(fitting);
                rest = after;
                segments.next_segment_bytes(self.announced_bytes)
            };
            if rest.is_empty() {
                return Ok(());
            }
            self.reserve_more(next_segment_bytes)?;
            let mut content = lock(&self.store.content);
            let Content::Receiving(segments) = &mut *content else {
                return Err(MemoryExhausted);
            };
            segments.begin_segment(next_segment_bytes);
        }
        Ok(())
    }

    /// Reserves memory for what is kept beside the bytes, such as the head of a request.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room, or if what arrived before was evicted.
    pub(crate) fn reserve_more(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.reservation.resize(self.held_bytes + bytes)?;
        self.held_bytes += bytes;
        Ok(())
    }

    /// Waits until what has arrived is evicted.
    pub(crate) async fn evicted(&self) {
        self.store.evicted.notified().await;
    }

    /// Ends the reception of a request body, which is no longer evicted.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if it was evicted before.
    pub(crate) fn finish(self) -> Result<HeldBytes, MemoryExhausted> {
        self.reservation.set_evictable(false);
        let segments = self.take_segments()?;
        Ok(HeldBytes::new(segments, self.reservation))
    }

    /// Ends the reception of a response, which may be evicted from now on.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if it was evicted before.
    pub(crate) fn finish_response(self) -> Result<SendingBody, MemoryExhausted> {
        let mut segments = self.take_segments()?;
        let len = segments.iter().map(Bytes::len).sum();
        segments.reverse();
        *lock(&self.store.content) = Content::Sending(segments);
        self.reservation.set_evictable(true);
        Ok(SendingBody::new(self.store, self.reservation, len))
    }

    fn take_segments(&self) -> Result<Vec<Bytes>, MemoryExhausted> {
        let mut content = lock(&self.store.content);
        match std::mem::replace(&mut *content, Content::Sending(Vec::new())) {
            Content::Receiving(segments) => Ok(segments.into_vec()),
            Content::Sending(_) | Content::Evicted => Err(MemoryExhausted),
        }
    }
}

impl Store {
    /// Returns the next segment to send, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if they were evicted.
    pub(super) fn next_segment(&self) -> Result<Option<Bytes>, MemoryExhausted> {
        match &mut *lock(&self.content) {
            Content::Sending(segments) => Ok(segments.pop()),
            Content::Receiving(_) | Content::Evicted => Err(MemoryExhausted),
        }
    }

    /// Calls `on_eviction` once if the segments are evicted.
    pub(super) fn set_on_eviction(&self, on_eviction: impl FnOnce() + Send + 'static) {
        *lock(&self.on_eviction) = Some(Box::new(on_eviction));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
