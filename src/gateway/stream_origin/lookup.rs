//! Conclusion from the answers of the VMs that may keep the record of a stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::STREAM_LIFETIME;
use super::keepers::KEEPERS;
use super::origin::StreamOrigin;

/// Answer of a VM that may keep the record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KeeperAnswer {
    /// Recorded origin.
    pub origin: Option<StreamOrigin>,
    /// Time for which the VM has kept records, which it loses at a restart.
    pub kept_since: Duration,
}

/// What the answers say of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupResult {
    /// The stream has this origin.
    Found(StreamOrigin),
    /// No record was made.
    NotRecorded,
    /// A record may have been made and lost, or its keepers cannot be reached.
    Unknown,
}

/// Draws the conclusion from the answers of the first VMs in the order of keepers, `None` for one
/// that has not answered.
///
/// One of the first [`KEEPERS`] + 1 VMs may be the one that began the stream. No record was made if
/// all of them but one would have it.
pub fn conclude(answers: &[Option<KeeperAnswer>]) -> LookupResult {
    let found = answers
        .iter()
        .flatten()
        .find_map(|answer| answer.origin.clone());
    if let Some(origin) = found {
        return LookupResult::Found(origin);
    }
    let asked = &answers[..answers.len().min(KEEPERS + 1)];
    let is_telling = |answer: &&Option<KeeperAnswer>| {
        answer
            .as_ref()
            .is_some_and(|answer| answer.kept_since >= STREAM_LIFETIME)
    };
    let telling = asked.iter().filter(is_telling).count();
    match telling > 0 && telling + 1 >= asked.len() {
        true => LookupResult::NotRecorded,
        false => LookupResult::Unknown,
    }
}
