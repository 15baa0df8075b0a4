//! Refusal of requests that crash engines, and trials of single ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::guard::QuarantineChange;
use super::quarantine::QuarantineVerdict;
use super::record::{QuarantineRecord, QuarantineSource};
use super::suspect::Suspect;
use crate::clock::Instant;
use crate::gateway::datagram::{Message, send};
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::process_hash::hash_process;
use crate::gateway::prompt::hash_part;
use crate::gateway::queue::PlacementError;
use crate::gateway::request::AdmittedRequest;
use crate::gateway::state::Gateway;

/// Timeout of the request for a trial at the VM that permits them.
const TRIAL_PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a permit is valid, less than the shortest wait before the next trial.
const TRIAL_VALIDITY: Duration = Duration::from_secs(2);

/// Permit to send one request as the trial of what is held, returned on drop unless it was sent.
#[derive(Debug)]
pub(in crate::gateway) struct TrialPermit {
    gateway: Arc<Gateway>,
    suspect: Suspect,
    /// Round that began with the permit.
    round: u32,
    valid_until: Instant,
    /// Whether an engine may have the request.
    pub(in crate::gateway) is_sent: bool,
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.gateway.give_trial_back(self.suspect, self.round);
        }
    }
}

impl AdmittedRequest {
    /// Obtains a permit for a trial if something of the request is held and due for it.
    pub(in crate::gateway) async fn try_trial(&mut self) {
        let suspects = &self.placement_request.suspects;
        let (gateway, now) = (&self.gateway, self.gateway.now());
        let verdict = gateway.state().crash_guard.verdict(suspects, now);
        let QuarantineVerdict::TrialDue { suspect, round } = verdict else {
            return;
        };
        if self.progress.trial.is_none() && gateway.request_trial(suspect, round).await {
            self.progress.trial = Some(TrialPermit {
                gateway: gateway.clone(),
                suspect,
                round: round + 1,
                valid_until: now + TRIAL_VALIDITY,
                is_sent: false,
            });
        }
    }

    /// Checks that nothing of the request is kept from engines.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::Quarantined`] if one is, unless the request is the trial of it and
    /// has not run.
    pub(in crate::gateway) fn check_quarantine(
        &self,
        earlier_runs: u32,
    ) -> Result<(), PlacementError> {
        let suspects = &self.placement_request.suspects;
        let (gateway, now) = (&self.gateway, self.gateway.now());
        let verdict = gateway.state().crash_guard.verdict(suspects, now);
        let held = match verdict {
            QuarantineVerdict::Clear => return Ok(()),
            QuarantineVerdict::TrialDue { suspect, .. } | QuarantineVerdict::Held(suspect) => {
                suspect
            }
        };
        match &self.progress.trial {
            Some(trial)
                if trial.suspect == held && earlier_runs == 0 && now < trial.valid_until =>
            {
                Ok(())
            }
            _ => {
                self.name_held(held);
                Err(PlacementError::Quarantined(held))
            }
        }
    }

    /// Tells the identifier of a held part that this request has, if it is not known.
    fn name_held(&self, held: Suspect) {
        let mut names = self.shared_part_ids();
        let Some(id) = names.find(|id| Suspect::Part(hash_part(id)) == held) else {
            return;
        };
        let now = self.gateway.now();
        let change = self.gateway.state().crash_guard.name_held(held, id, now);
        self.gateway
            .record_quarantine_changes(change.as_slice(), QuarantineSource::Own);
    }

    /// Returns whether the request may crash another engine after its attempt at one broke.
    pub(in crate::gateway) fn is_suspected(&self, dispatched: &DispatchedRequest) -> bool {
        let suspects = &self.placement_request.suspects;
        let process = hash_process(&dispatched.instance);
        let state = self.gateway.state();
        state.crash_guard.is_suspected(suspects, process)
    }
}

impl Gateway {
    /// Logs changes of states and counts what is held.
    pub(in crate::gateway) fn record_quarantine_changes(
        &self,
        changes: &[QuarantineChange],
        source: QuarantineSource,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let record = &change.record;
            let crashes = change
                .crashes
                .iter()
                .map(|(process, age)| format!("{process:016x} {} ms ago", age.as_millis()));
            let event = LogEvent::PartState {
                kind: record.kind.name(),
                part: format!("{:016x}", record.hash),
                part_id: record.part_id.as_deref(),
                is_held: record.is_held,
                round: record.round,
                crashes: record.crashes,
                trials: record.trials,
                is_ambiguous: record.is_ambiguous,
                processes: crashes.collect::<Vec<_>>().join(", "),
                source: source.name(),
            };
            self.event_log.log(&event);
        }
        let held = self.state().crash_guard.quarantine().held_count();
        self.metrics.record_held_parts(held as u64);
        self.heartbeat_due.notify_one();
        self.quarantine_changed.notify_one();
    }

    /// Returns whether this VM may send one request as the trial of what is held.
    ///
    /// One VM permits the trials of the fleet, so that VMs do not make them together.
    async fn request_trial(&self, suspect: Suspect, round: u32) -> bool {
        let coordinator = self.state().peers.coordinator(self.now());
        let Some(address) = coordinator else {
            return self.permit_trial(suspect, round);
        };
        let Some(socket) = self.peer_socket.get() else {
            return false;
        };
        let (id, reply) = self.pending_trials.register();
        let request = Message::TrialRequest { id, suspect, round };
        let timeout = match send(socket, &request, address) {
            true => TRIAL_PERMIT_TIMEOUT,
            false => Duration::ZERO,
        };
        let permitted = self.pending_trials.wait(id, reply, timeout).await;
        permitted.unwrap_or(false)
    }

    /// Handles the request of another VM for a trial and sends the reply.
    pub(in crate::gateway) fn handle_trial_request(
        &self,
        id: u64,
        suspect: Suspect,
        round: u32,
        from: SocketAddr,
    ) {
        let is_permitted = self.permit_trial(suspect, round);
        if let Some(socket) = self.peer_socket.get() {
            // If the reply is lost, no trial is made in this round.
            send(socket, &Message::TrialReply { id, is_permitted }, from);
        }
    }

    /// Tells the VM that permits trials that one reached no engine.
    fn give_trial_back(&self, suspect: Suspect, round: u32) {
        let coordinator = self.state().peers.coordinator(self.now());
        match (coordinator, self.peer_socket.get()) {
            (None, _) => self.return_trial(suspect, round),
            // If the message is lost, the next trial is made later.
            (Some(address), Some(socket)) => {
                send(socket, &Message::TrialReturn { suspect, round }, address);
            }
            (Some(_), None) => {}
        }
    }

    /// Makes another trial of a part due, as the one of this round reached no engine.
    pub(in crate::gateway) fn return_trial(&self, suspect: Suspect, round: u32) {
        let now = self.now();
        let returned = self.state().crash_guard.return_trial(suspect, round, now);
        self.record_trial_change(returned);
    }

    fn permit_trial(&self, suspect: Suspect, round: u32) -> bool {
        let now = self.now();
        let mut state = self.state();
        if !state.coordinator_term.may_permit(now) {
            return false;
        }
        let permitted = state.crash_guard.permit_trial(suspect, round, now);
        drop(state);
        let is_permitted = permitted.is_some();
        if is_permitted {
            self.metrics.count_trial();
        }
        self.record_trial_change(permitted);
        is_permitted
    }

    fn record_trial_change(&self, record: Option<QuarantineRecord>) {
        let changes = record.map(|record| QuarantineChange {
            record,
            crashes: Vec::new(),
        });
        self.record_quarantine_changes(changes.as_slice(), QuarantineSource::Own);
    }
}
