//! Messages between a borrower and a holder.

use serde::{Deserialize, Serialize};

use super::Microtokens;
use crate::ids::{CustomerId, Incarnation, VmId};

/// Number of one opening of an account; 0 stands for none.
pub type Epoch = u64;

/// One start of a process on a VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// The VM.
    pub vm: VmId,
    /// The start.
    pub incarnation: Incarnation,
}

/// Report and request of a borrower to one holder, for one customer.
///
/// **NOTE:** the borrower's name is no field: it comes from the authenticated link.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// Start of the borrower's process.
    pub incarnation: Incarnation,
    /// Start of the holder's process that the message is meant for.
    pub holder_incarnation: Incarnation,
    /// Customer whose rate is borrowed from.
    pub customer: CustomerId,
    /// Opening of the account that the report belongs to.
    pub account_epoch: Epoch,
    /// Number that rises with each new exchange; a repeat carries the same one.
    pub sequence: u64,
    /// Consumed since the last answered exchange.
    pub consumed: Microtokens,
    /// Given back.
    pub returned: Microtokens,
    /// Missing for a request that waits.
    pub required: Microtokens,
    /// Wished for altogether.
    pub desired: Microtokens,
}

/// Answer of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Opening of the account; 0 where the VM holds no part at present.
    pub epoch: Epoch,
    /// Number of the exchange that is answered.
    pub sequence: u64,
    /// Lent with this answer.
    pub granted: Microtokens,
    /// How long all that the account lent may be spent, from before the exchange was sent.
    pub valid_ms: u32,
    /// When the holder alone would have what was needed and missing; 0 where nothing was missing.
    pub retry_after_ms: u32,
}
