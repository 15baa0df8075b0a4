//! What may cause a crash: a part of prompts, or a request as a whole.

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::gateway::prompt::PartHash;

/// What may cause a crash, whatever else is at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Suspect {
    /// Request, of which copies may follow. It comes before parts, which other requests share.
    Request(Fingerprint),
    /// Part of prompts.
    Part(PartHash),
}

/// Kind of a [`Suspect`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectKind {
    /// Part of prompts.
    #[default]
    Part,
    /// Request as a whole.
    Request,
}

impl SuspectKind {
    /// Returns the name that is used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Request => "request",
        }
    }

    /// Returns the suspect of this kind with a hash.
    pub fn with_hash(self, hash: u64) -> Suspect {
        match self {
            Self::Part => Suspect::Part(hash),
            Self::Request => Suspect::Request(hash),
        }
    }
}

impl Suspect {
    /// Returns the kind.
    pub fn kind(self) -> SuspectKind {
        match self {
            Self::Part(_) => SuspectKind::Part,
            Self::Request(_) => SuspectKind::Request,
        }
    }

    /// Returns the hash, which tells suspects of one kind apart.
    pub fn hash(self) -> u64 {
        match self {
            Self::Part(hash) | Self::Request(hash) => hash,
        }
    }
}
