//! Permit of one request to a brittle upstream, at the VM that sends the request.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::ARRIVAL_MAX;
use super::ledger::{PermitId, SendOutcome};
use super::messages::SendReport;
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::state::Gateway;

/// Part of [`ARRIVAL_MAX`] after which a request is not sent; the rest is for its way.
const SEND_BY_FRACTION: f64 = 0.5;
/// Limits of the time without a rejection from which a request counts as accepted.
const ACCEPTED_AFTER_MIN: Duration = Duration::from_millis(25);
const ACCEPTED_AFTER_MAX: Duration = Duration::from_millis(250);
/// Multiple of the time that the keeper took to reply, which shows how long a response may take.
const ACCEPTED_AFTER_REPLIES: u32 = 4;

/// Permit; what became of its request is reported to the keeper, at the latest on drop.
#[derive(Debug)]
pub(in crate::gateway) struct SendPermit {
    gateway: Arc<Gateway>,
    /// Keeper of the ledger; `None` for this VM.
    keeper: Option<SocketAddr>,
    process: ProcessHash,
    id: PermitId,
    asked_at: Instant,
    accepted_after: Duration,
    stage: Mutex<Stage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Unsent,
    Sent,
    Accepted,
    Reported,
}

impl SendPermit {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        keeper: Option<SocketAddr>,
        process: ProcessHash,
        id: PermitId,
        asked_at: Instant,
    ) -> Self {
        let reply_time = gateway.now().saturating_sub(asked_at);
        Self {
            gateway: gateway.clone(),
            keeper,
            process,
            id,
            asked_at,
            accepted_after: (reply_time * ACCEPTED_AFTER_REPLIES)
                .clamp(ACCEPTED_AFTER_MIN, ACCEPTED_AFTER_MAX),
            stage: Mutex::new(Stage::Unsent),
        }
    }

    /// Returns whether the request may still be sent.
    pub(in crate::gateway) fn is_valid(&self) -> bool {
        let age = self.gateway.now().saturating_sub(self.asked_at);
        age < ARRIVAL_MAX.mul_f64(SEND_BY_FRACTION)
    }

    /// Sends the request, and reports it as accepted once the upstream could have rejected it.
    pub(in crate::gateway) async fn exchange<T>(&self, exchange: impl Future<Output = T>) -> T {
        self.set_stage(Stage::Sent);
        let mut exchange = pin!(exchange);
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            () = tokio::time::sleep(self.accepted_after) => self.record(SendOutcome::Accepted),
        }
        exchange.await
    }

    /// Reports what became of the request.
    pub(in crate::gateway) fn record(&self, outcome: SendOutcome) {
        let stage = match outcome {
            SendOutcome::Accepted => Stage::Accepted,
            _ => Stage::Reported,
        };
        let earlier = self.set_stage(stage);
        if earlier != stage && earlier != Stage::Reported {
            let report = SendReport {
                process: self.process,
                permit: self.id,
                outcome,
            };
            self.gateway.report_send(report, self.keeper);
        }
    }

    /// Returns the stage before.
    fn set_stage(&self, stage: Stage) -> Stage {
        let mut current = self.stage.lock().unwrap_or_else(PoisonError::into_inner);
        let earlier = *current;
        if earlier != Stage::Reported {
            *current = stage;
        }
        earlier
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let stage = *self.stage.lock().unwrap_or_else(PoisonError::into_inner);
        self.record(match stage {
            Stage::Unsent => SendOutcome::Unsent,
            _ => SendOutcome::Ended,
        });
    }
}
