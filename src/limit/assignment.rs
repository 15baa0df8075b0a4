//! Assignment of slot shares to VMs: the stored records and the decisions to change them.

use serde::{Deserialize, Serialize};

use super::wire::Process;
use super::{MILLION, PartsPerMillion};
use crate::ids::{AvailabilityZoneId, VmId};

/// Number of slots that customers are hashed to.
pub const SLOT_COUNT: u8 = 64;

/// Largest number of holders of one slot.
pub const HOLDERS_PER_SLOT_MAX: usize = 3;

/// Slot number, below [`SLOT_COUNT`].
pub type Slot = u8;

/// Returns the slot of a customer.
pub fn slot_of(customer: &str) -> Slot {
    blake3::hash(customer.as_bytes()).as_bytes()[0] % SLOT_COUNT
}

/// Returns the name of a slot's object in the store.
pub fn slot_name(slot: Slot) -> String {
    format!("slot-{slot:02}")
}

/// Returns the slot with the given object name, or `None` if the name is not that of a slot.
pub fn slot_from_name(name: &str) -> Option<Slot> {
    let slot = name.strip_prefix("slot-")?.parse().ok()?;
    (slot < SLOT_COUNT && slot_name(slot) == name).then_some(slot)
}

/// Share of a slot that one process holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotShare {
    /// Process that holds the share.
    pub holder: Process,
    /// Fraction of the rate and burst of each of the slot's customers.
    pub parts_per_million: PartsPerMillion,
    /// Whether no VM held the share before, so that it starts with its whole burst.
    pub is_first: bool,
}

/// Stored record of a slot's holders.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct SlotRecord {
    /// Shares of the holders.
    #[serde(rename = "parts")]
    pub shares: Vec<SlotShare>,
}

/// Reason why a [`SlotRecord`] is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RecordError {
    /// The shares add up to more than the whole; contains their sum in millionths.
    #[error("the shares add up to {0} millionths, more than the whole")]
    SumAboveWhole(u64),
    /// A process holds two shares, or there are too many holders.
    #[error("a process holds two shares or there are more than {HOLDERS_PER_SLOT_MAX} holders")]
    InvalidHolders,
    /// The text is not a record; contains the parser's error.
    #[error("malformed slot record: {0}")]
    Malformed(String),
}

impl SlotRecord {
    /// Parses and checks a stored record.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a record or the record fails [`Self::check`].
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_str(text)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        record.check()?;
        Ok(record)
    }

    /// Returns the text to store.
    ///
    /// # Errors
    ///
    /// Returns an error if the record fails [`Self::check`].
    pub fn to_text(&self) -> Result<String, RecordError> {
        self.check()?;
        serde_json::to_string(self).map_err(|error| RecordError::Malformed(error.to_string()))
    }

    /// Checks that the shares add up to at most the whole and that the holders are distinct.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::SumAboveWhole`] or [`RecordError::InvalidHolders`].
    pub fn check(&self) -> Result<(), RecordError> {
        let sum = self.sum();
        if sum > u64::from(MILLION) {
            return Err(RecordError::SumAboveWhole(sum));
        }
        let is_duplicate =
            |(index, share): (usize, &SlotShare)| self.index_of(&share.holder) != Some(index);
        if self.shares.len() > HOLDERS_PER_SLOT_MAX
            || self.shares.iter().enumerate().any(is_duplicate)
        {
            return Err(RecordError::InvalidHolders);
        }
        Ok(())
    }

    /// Returns the share of a process.
    pub fn share_of(&self, process: &Process) -> Option<&SlotShare> {
        self.shares.iter().find(|share| share.holder == *process)
    }

    fn sum(&self) -> u64 {
        let shares = self.shares.iter();
        shares.map(|share| u64::from(share.parts_per_million)).sum()
    }

    fn unassigned(&self) -> PartsPerMillion {
        let left = u64::from(MILLION).saturating_sub(self.sum());
        PartsPerMillion::try_from(left).unwrap_or(MILLION)
    }

    fn index_of(&self, process: &Process) -> Option<usize> {
        self.shares
            .iter()
            .position(|share| share.holder == *process)
    }

    /// Adds a fraction that another process held before to the share of `process`.
    fn add_to_share(&mut self, process: &Process, parts_per_million: PartsPerMillion) {
        match self.index_of(process) {
            Some(index) => {
                self.shares[index].parts_per_million += parts_per_million;
                self.shares[index].is_first = false;
            }
            None => self.shares.push(SlotShare {
                holder: process.clone(),
                parts_per_million,
                is_first: false,
            }),
        }
    }
}

/// Live VM that may hold shares.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Process that runs on it.
    pub process: Process,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZoneId,
}

/// Knowledge of the fleet with which a VM plans a slot's record.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// Process of the planning VM.
    pub own_process: &'a Process,
    /// VMs that are live and not leaving, the planning VM included.
    pub candidates: &'a [Candidate],
    /// Processes that are fenced and may never spend from their shares again.
    pub fenced: &'a [Process],
}

/// Returns the record that the VM should write to claim free shares of a slot, if any.
///
/// A VM writes only records that assign a share to itself, which keeps concurrent writes rare.
/// Conditional updates resolve the remaining conflicts.
pub fn plan_claim(
    slot: Slot,
    record: Option<&SlotRecord>,
    context: PlanContext<'_>,
) -> Option<SlotRecord> {
    match record {
        None => plan_initial(slot, context),
        Some(record) => plan_reclaim(slot, record, context),
    }
}

fn plan_initial(slot: Slot, context: PlanContext<'_>) -> Option<SlotRecord> {
    let mut holders = rank_candidates(slot, context.candidates);
    holders.truncate(HOLDERS_PER_SLOT_MAX);
    if !holders
        .iter()
        .any(|holder| holder.process == *context.own_process)
    {
        return None;
    }
    let count = PartsPerMillion::try_from(holders.len()).ok()?;
    let mut shares: Vec<_> = holders
        .iter()
        .map(|holder| SlotShare {
            holder: holder.process.clone(),
            parts_per_million: MILLION / count,
            is_first: true,
        })
        .collect();
    shares[0].parts_per_million += MILLION % count;
    Some(SlotRecord { shares })
}

fn plan_reclaim(slot: Slot, record: &SlotRecord, context: PlanContext<'_>) -> Option<SlotRecord> {
    let is_fenced = |share: &SlotShare| context.fenced.contains(&share.holder);
    let position = record.shares.iter().position(is_fenced);
    if position.is_none() && record.unassigned() == 0 {
        return None;
    }
    let mut changed = record.clone();
    let freed = match position {
        Some(position) => changed.shares.remove(position).parts_per_million,
        None => record.unassigned(),
    };
    if successor(slot, &changed, context.candidates)? != *context.own_process {
        return None;
    }
    changed.add_to_share(context.own_process, freed);
    Some(changed)
}

/// Returns the record in which a leaving VM has handed over its share, if it holds one.
pub fn plan_leave(slot: Slot, record: &SlotRecord, context: PlanContext<'_>) -> Option<SlotRecord> {
    let position = record.index_of(context.own_process)?;
    let mut changed = record.clone();
    let freed = changed.shares.remove(position).parts_per_million;
    let others: Vec<_> = context
        .candidates
        .iter()
        .filter(|candidate| candidate.process != *context.own_process)
        .cloned()
        .collect();
    if let Some(successor) = successor(slot, &changed, &others) {
        changed.add_to_share(&successor, freed);
    }
    Some(changed)
}

/// Returns the record in which a VM has split its share with VMs that hold none, if it should.
///
/// Only the first holder of the largest share splits it, so that the other holders do not write.
pub fn plan_split(slot: Slot, record: &SlotRecord, context: PlanContext<'_>) -> Option<SlotRecord> {
    let position = record.index_of(context.own_process)?;
    let size_of_share = |share: &SlotShare| share.parts_per_million;
    let largest = record.shares.iter().map(size_of_share).max()?;
    let is_donor = record
        .shares
        .iter()
        .position(|share| size_of_share(share) == largest)
        == Some(position);
    if !is_donor || record.unassigned() > 0 || !context.fenced.is_empty() {
        return None;
    }
    let mut changed = record.clone();
    while let Some(receiver) = best_new_holder(slot, &changed, context.candidates) {
        changed.add_to_share(&receiver.process, 0);
    }
    let receivers = changed.shares.len() - record.shares.len();
    let given = largest / PartsPerMillion::try_from(receivers + 1).ok()?;
    if receivers == 0 || given == 0 {
        return None;
    }
    for share in &mut changed.shares[record.shares.len()..] {
        share.parts_per_million = given;
    }
    changed.shares[position].parts_per_million = largest - given * u32::try_from(receivers).ok()?;
    Some(changed)
}

/// Returns the VM to assign a free share to.
///
/// Prefers a VM that holds no share of the slot yet, else takes the holder that ranks first.
fn successor(slot: Slot, record: &SlotRecord, candidates: &[Candidate]) -> Option<Process> {
    let holds = |candidate: &Candidate| record.share_of(&candidate.process).is_some();
    let chosen = best_new_holder(slot, record, candidates).or_else(|| {
        rank_candidates(slot, candidates)
            .into_iter()
            .find(|other| holds(other))
    });
    chosen.map(|candidate| candidate.process)
}

/// Returns the first-ranked VM without a share of the slot, if the slot may have another holder.
///
/// Prefers VMs in availability zones without a holder.
fn best_new_holder(slot: Slot, record: &SlotRecord, candidates: &[Candidate]) -> Option<Candidate> {
    if record.shares.len() >= HOLDERS_PER_SLOT_MAX {
        return None;
    }
    let zone_of = |process: &Process| {
        let found = candidates.iter().find(|other| other.process == *process);
        found.map(|other| &other.availability_zone)
    };
    let used_zones: Vec<_> = record
        .shares
        .iter()
        .map(|share| zone_of(&share.holder))
        .collect();
    let holds = |candidate: &Candidate| record.share_of(&candidate.process).is_some();
    let in_other_zone =
        |candidate: &&Candidate| !used_zones.contains(&Some(&candidate.availability_zone));
    let mut new_holders = rank_candidates(slot, candidates);
    new_holders.retain(|candidate| !holds(candidate));
    let chosen = new_holders
        .iter()
        .find(in_other_zone)
        .or(new_holders.first());
    chosen.cloned()
}

/// Ranks the candidates by rendezvous hash, with the first of each availability zone in front.
fn rank_candidates(slot: Slot, candidates: &[Candidate]) -> Vec<Candidate> {
    let mut all: Vec<_> = candidates.to_vec();
    all.sort_by_key(|candidate| std::cmp::Reverse(rendezvous_weight(slot, &candidate.process.vm)));
    all.dedup_by(|left, right| left.process == right.process);
    let mut used_zones: Vec<AvailabilityZoneId> = Vec::new();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for candidate in all {
        if used_zones.contains(&candidate.availability_zone) {
            rest.push(candidate);
            continue;
        }
        used_zones.push(candidate.availability_zone.clone());
        first.push(candidate);
    }
    first.extend(rest);
    first
}

/// Returns the rendezvous weight of a VM for a slot.
pub(super) fn rendezvous_weight(slot: Slot, vm: &VmId) -> u64 {
    let hash = blake3::hash(format!("{slot}\0{vm}").as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
