//! Interfaces through which the limiter uses membership and the connections to other VMs.

use std::fmt;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::Candidate;
use super::wire::{Exchange, Grant, Process};
use crate::clock::Instant;

/// View of the fleet's VMs, as known to membership.
pub trait FleetView: Send + Sync + fmt::Debug {
    /// Returns this process.
    fn own_process(&self) -> Process;

    /// Returns the time until which this VM may lend from and spend its shares, if it may.
    fn valid_until(&self) -> Option<Instant>;

    /// Returns the live VMs that are not leaving, this VM included.
    fn candidates(&self) -> Vec<Candidate>;

    /// Returns those of `processes` that are fenced and may never spend from their shares again.
    fn fenced(&self, processes: &[Process]) -> Vec<Process>;

    /// Completes when the membership may have changed.
    fn changed(&self) -> BoxFuture<'static, ()>;
}

/// Client for exchanges with holders on other VMs.
pub trait HolderClient: Send + Sync + fmt::Debug {
    /// Sends an exchange to a holder; completes with its answer, or `None` if none came in time.
    fn exchange(
        &self,
        holder: &Process,
        exchange: Exchange,
        timeout: Duration,
    ) -> BoxFuture<'static, Option<Grant>>;
}

/// Client of a VM without peers; no exchange is answered.
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
