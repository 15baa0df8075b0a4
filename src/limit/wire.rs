//! Messages between a borrower and the holder of a share.

use serde::{Deserialize, Serialize};

use super::Microtokens;
use crate::ids::{CustomerId, Incarnation, VmId};

/// Identifies one opening of an account; 0 means that the account is not open.
pub type Epoch = u64;

/// Process on a VM, identified by its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// VM that it runs on.
    pub vm: VmId,
    /// Number of its start.
    pub incarnation: Incarnation,
}

/// Report and loan request that a borrower sends to one holder, for one customer.
///
/// The borrower's VM is not a field: the holder takes it from the authenticated connection.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// Incarnation of the borrower's process.
    pub incarnation: Incarnation,
    /// Incarnation of the holder's process that the message is addressed to.
    pub holder_incarnation: Incarnation,
    /// Customer whose tokens are borrowed.
    pub customer: CustomerId,
    /// Epoch of the account that the report belongs to.
    pub account_epoch: Epoch,
    /// Number that rises with each new exchange; a retransmission carries the same one.
    pub sequence: u64,
    /// Amount consumed since the last answered exchange.
    pub consumed: Microtokens,
    /// Unused amount that is returned.
    pub returned: Microtokens,
    /// Amount that a waiting request still lacks.
    pub required: Microtokens,
    /// Amount to borrow in total: `required` and the demand to borrow ahead.
    pub desired: Microtokens,
}

/// Answer of the holder to an [`Exchange`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the account; 0 if the VM holds no share at present.
    pub epoch: Epoch,
    /// Sequence number of the exchange that is answered.
    pub sequence: u64,
    /// Amount lent with this answer.
    pub granted: Microtokens,
    /// Time in milliseconds for which all tokens lent to the account may be spent.
    ///
    /// It counts from when the borrower first sent the exchange.
    pub valid_ms: u32,
    /// Time in milliseconds until this holder's refill covers the missing part of `required`.
    ///
    /// 0 if `required` was granted in full.
    pub retry_after_ms: u32,
}
