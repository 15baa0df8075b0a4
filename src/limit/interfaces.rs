//! What the limiter needs of the rest of the process.

use std::fmt;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::Candidate;
use super::wire::{Exchange, Grant, Process};
use crate::clock::Instant;

/// Knowledge about the VMs, as membership has it.
pub trait FleetView: Send + Sync + fmt::Debug {
    /// Returns this process.
    fn own_process(&self) -> Process;

    /// Returns until when this VM may lend and spend what it holds.
    fn valid_until(&self) -> Option<Instant>;

    /// Returns the live VMs that do not leave, this one among them.
    fn candidates(&self) -> Vec<Candidate>;

    /// Returns which of `processes` may never spend again what they held.
    fn fenced(&self, processes: &[Process]) -> Vec<Process>;

    /// Completes when something may have changed.
    fn changed(&self) -> BoxFuture<'static, ()>;
}

/// Links to other VMs.
pub trait HolderClient: Send + Sync + fmt::Debug {
    /// Sends an exchange to a holder and waits for its answer; nothing where none came.
    fn exchange(
        &self,
        holder: &Process,
        exchange: Exchange,
        timeout: Duration,
    ) -> BoxFuture<'static, Option<Grant>>;
}

/// Links of a VM without peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl HolderClient for NoPeers {
    fn exchange(
        &self,
        _holder: &Process,
        _exchange: Exchange,
        _timeout: Duration,
    ) -> BoxFuture<'static, Option<Grant>> {
        Box::pin(std::future::ready(None))
    }
}
