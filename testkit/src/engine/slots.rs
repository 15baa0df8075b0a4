//! Limited concurrency with a queue of two priorities.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::fault::lock;

/// Slots of an engine; interactive waiters go before batch ones.
#[derive(Clone)]
pub(crate) struct Slots {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    free: usize,
    running: usize,
    waiting: [VecDeque<oneshot::Sender<Slot>>; 2],
}

/// One slot, free again once dropped.
pub(crate) struct Slot {
    slots: Slots,
}

impl Slots {
    pub(crate) fn new(free: usize) -> Self {
        let inner = Inner {
            free,
            running: 0,
            waiting: Default::default(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(&self, batch: bool) -> Option<Slot> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.inner).waiting[usize::from(batch)].push_back(sender);
        self.hand_out();
        receiver.await.ok()
    }

    /// Returns the running and the queued.
    pub(crate) fn load(&self) -> (usize, usize) {
        let mut inner = lock(&self.inner);
        let queue = inner.waiting.iter_mut();
        let queued = queue.map(|queue| {
            queue.retain(|waiter| !waiter.is_closed());
            queue.len()
        });
        let queued = queued.sum();
        (inner.running, queued)
    }

    fn hand_out(&self) {
        while let Some(waiter) = self.next_waiter() {
            let slot = Slot {
                slots: self.clone(),
            };
            // Dropping the slot of a waiter that left frees it for the next one.
            drop(waiter.send(slot));
        }
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = lock(&self.inner);
        if inner.free == 0 {
            return None;
        }
        for queue in &mut inner.waiting {
            queue.retain(|waiter| !waiter.is_closed());
        }
        let [interactive, batch] = &mut inner.waiting;
        let waiter = interactive.pop_front().or_else(|| batch.pop_front())?;
        inner.free -= 1;
        inner.running += 1;
        Some(waiter)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = lock(&self.slots.inner);
        inner.free += 1;
        inner.running -= 1;
        drop(inner);
        self.slots.hand_out();
    }
}
