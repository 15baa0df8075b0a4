//! States of what is held, as VMs exchange and store them.

use serde::{Deserialize, Serialize};

use super::suspect::{Suspect, SuspectKind};

/// State of one suspect, as VMs exchange and store it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineRecord {
    /// Hash of the part's identifier, or fingerprint of the request.
    #[serde(rename = "part")]
    pub hash: u64,
    /// Whether it is a part or a request; a record without it is of a part.
    #[serde(default)]
    pub kind: SuspectKind,
    /// Identifier of the part, if it is known.
    pub part_id: Option<String>,
    /// Number of the state; a higher one replaces a lower one.
    pub round: u32,
    /// Whether requests with it are kept from engines.
    pub is_held: bool,
    /// Crashes that led to the hold.
    pub crashes: u16,
    /// Trials since the hold.
    pub trials: u32,
    /// Whether others were at the same crashes.
    pub is_ambiguous: bool,
    /// Time from the begin of the round to the next trial.
    pub trial_wait_ms: u64,
    /// Time since the round began.
    pub age_ms: u64,
}

impl QuarantineRecord {
    /// Returns what the record is about.
    pub fn suspect(&self) -> Suspect {
        self.kind.with_hash(self.hash)
    }
}

/// Where a change of a state came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineSource {
    /// Evidence at this VM.
    Own,
    /// News of another VM.
    Peer,
    /// Record in the platform's store, or its removal.
    Store,
}

impl QuarantineSource {
    /// Returns the name that is used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}
