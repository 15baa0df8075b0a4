//! State of the steward, published to operators in a status object.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::LeaseHolder;
use crate::ids::{FencingNumber, Incarnation, VmId};
use crate::platform::{Kind, PutOutcome, StoreClient};
use crate::supervisor::StopSignal;

const STATUS_NAME: &str = "steward";

/// State of a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StewardState {
    /// The steward waits for the lease.
    Candidate,
    /// The steward holds the lease under this fencing number.
    Holding(FencingNumber),
    /// The steward released the lease that it last held under this fencing number.
    Released(FencingNumber),
}

impl StewardState {
    /// Returns the state's name in the status object.
    pub fn name(self) -> &'static str {
        match self {
            Self::Candidate => "candidate",
            Self::Holding(_) => "holding",
            Self::Released(_) => "released",
        }
    }

    /// Returns the fencing number of the current or last term; 0 if there is none.
    pub fn fencing_number(self) -> FencingNumber {
        match self {
            Self::Candidate => 0,
            Self::Holding(number) | Self::Released(number) => number,
        }
    }

    /// Returns the next state, given the fencing number held and whether the lease is being
    /// released.
    pub(super) fn transition(self, held: Option<FencingNumber>, is_releasing: bool) -> Self {
        match (self, held) {
            (_, Some(number)) => Self::Holding(number),
            (Self::Holding(number), None) if is_releasing => Self::Released(number),
            (Self::Released(number), None) => Self::Released(number),
            _ => Self::Candidate,
        }
    }
}

/// Content of the status object in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StewardStatus {
    /// VM of the steward that holds or last held the lease.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Fencing number of its term.
    pub fencing_number: FencingNumber,
    /// State name: `holding` or `released`.
    pub state: String,
}

/// Task that writes the status object on each state change.
#[derive(Debug, Clone)]
pub struct StatusWriter {
    /// Identity of this process.
    pub holder: LeaseHolder,
    /// Client of the store that holds the object.
    pub store: StoreClient,
    /// Receiver of state changes.
    pub state: watch::Receiver<StewardState>,
    /// Delay before a failed write is retried.
    pub retry_delay: Duration,
}

impl StatusWriter {
    /// Runs until `stop` is raised, then writes the last state unless it is already stored.
    pub async fn run(mut self, stop: StopSignal) {
        tokio::select! {
            () = self.write_changes() => {}
            () = stop.raised() => {}
        }
        let state = *self.state.borrow();
        if state != StewardState::Candidate {
            self.write(state).await;
        }
    }

    async fn write_changes(&mut self) {
        loop {
            let state = *self.state.borrow_and_update();
            if state != StewardState::Candidate && !self.write(state).await {
                tokio::time::sleep(self.retry_delay).await;
                self.state.mark_changed();
            }
            if self.state.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes the state unless it, or that of a later term, is already stored; returns whether the
    /// status object is up to date.
    async fn write(&self, state: StewardState) -> bool {
        let Ok(current) = self.store.get(Kind::Status, STATUS_NAME).await else {
            return false;
        };
        let status = StewardStatus {
            vm: self.holder.vm.clone(),
            incarnation: self.holder.incarnation,
            fencing_number: state.fencing_number(),
            state: state.name().to_owned(),
        };
        let written = current.as_ref().map(|object| object.value.as_str());
        let written: Option<StewardStatus> =
            written.and_then(|value| serde_json::from_str(value).ok());
        let is_superseded =
            |other: StewardStatus| other.fencing_number > status.fencing_number || other == status;
        if written.is_some_and(is_superseded) {
            return true;
        }
        let version = current.map_or(0, |object| object.version);
        let value = serde_json::to_string(&status).unwrap_or_default();
        let put = self
            .store
            .put(Kind::Status, STATUS_NAME, version, &value)
            .await;
        matches!(put, Ok(PutOutcome::Applied(_)))
    }
}
