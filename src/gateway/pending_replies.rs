//! Requests in datagrams that wait for a reply.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

/// Requests that wait for a reply, by id.
#[derive(Debug)]
pub(super) struct PendingReplies<T> {
    next_id: AtomicU64,
    senders: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            next_id: AtomicU64::default(),
            senders: Mutex::default(),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Adds a request; returns its id and the receiver of its reply.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Waits for the reply to a request; returns `None` after the timeout.
    pub(super) async fn wait(
        &self,
        id: u64,
        reply: oneshot::Receiver<T>,
        timeout: Duration,
    ) -> Option<T> {
        let reply = tokio::time::timeout(timeout, reply).await;
        self.lock().remove(&id);
        reply.ok()?.ok()
    }

    /// Delivers the reply to the task that waits for it, if one still does.
    pub(super) fn complete(&self, id: u64, reply: T) {
        drop(self.try_complete(id, reply));
    }

    /// Delivers the reply to the task that waits for it; returns it if none does any more.
    pub(super) fn try_complete(&self, id: u64, reply: T) -> Option<T> {
        match self.lock().remove(&id) {
            Some(sender) => sender.send(reply).err(),
            None => Some(reply),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
