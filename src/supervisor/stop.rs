//! Signal that requests a task to stop.

use tokio::sync::watch;

/// Signal that requests a task to stop; clones share the signal.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    /// Creates a signal, which is raised by sending true or by dropping the sender.
    pub(super) fn new() -> (watch::Sender<bool>, Self) {
        let (sender, receiver) = watch::channel(false);
        (sender, Self { receiver })
    }

    /// Returns whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        *self.receiver.borrow() || self.receiver.has_changed().is_err()
    }

    /// Waits until the signal is raised.
    pub async fn raised(mut self) {
        // An error means that the sender was dropped, which raises the signal too.
        let _ = self.receiver.wait_for(|raised| *raised).await;
    }
}
