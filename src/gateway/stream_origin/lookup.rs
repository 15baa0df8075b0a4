//! Conclusion from the answers of the VMs that may keep the record of a stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

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
    /// No record was made within this time; earlier ones may have been lost.
    NotRecorded {
        /// Time before now.
        within: Duration,
    },
    /// The keepers of a record cannot be reached.
    Unknown,
}

/// Draws the conclusion from the answers of the first VMs in the order of keepers, `None` for one
/// that has not answered.
///
/// One of the first [`KEEPERS`] + 1 VMs may be the one that began the stream. A record would be
/// found if it was made after all of them but one had started, as those would have it.
pub fn conclude(answers: &[Option<KeeperAnswer>]) -> LookupResult {
    let found = answers
        .iter()
        .flatten()
        .find_map(|answer| answer.origin.clone());
    if let Some(origin) = found {
        return LookupResult::Found(origin);
    }
    let asked = &answers[..answers.len().min(KEEPERS + 1)];
    let kept = asked.iter().map(|answer| {
        let kept_since = answer.as_ref().map(|answer| answer.kept_since);
        kept_since.unwrap_or_default()
    });
    let mut kept: Vec<Duration> = kept.collect();
    kept.sort_unstable();
    match kept.get(1).or(kept.first()) {
        None | Some(&Duration::ZERO) => LookupResult::Unknown,
        Some(&within) => LookupResult::NotRecorded { within },
    }
}
