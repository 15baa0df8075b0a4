//! Choice of a plain upstream by expected completion time.
//!
//! Load pattern: few upstreams with short service times, used by many VMs whose figures are some
//! milliseconds to some hundred milliseconds old, one of them several times slower for fractions of
//! a second. If each VM chose the upstream that looks best, all would choose the same one until the
//! next figures. The choice is therefore drawn so that the requests that all VMs send within the
//! age of the figures end at about the same time at each upstream that is used.

use std::time::Duration;

/// Usual time of a request while none has been measured.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(50);
/// Completion times that differ by less than this fraction count as equal, as the measured service
/// times of equal upstreams differ.
const TIE_TOLERANCE: f64 = 0.1;
/// Age of an estimate that rests on heartbeats alone.
const HEARTBEAT_AGE: Duration = Duration::from_millis(300);
/// Steps of the search for the common completion time, which leave an error of one in 2^20.
const SEARCH_STEPS: usize = 20;

/// Plain upstream that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PlainCandidate {
    /// Estimated requests that run or wait there.
    pub requests: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Requests that may run or wait there.
    pub capacity: f64,
    /// Usual time that a request takes there; `None` if none has been measured.
    pub service_time: Option<Duration>,
    /// Multiple of the usual time that work takes now.
    pub slowness: f64,
    /// Age of the announced figures; `None` if the estimate rests on heartbeats alone.
    pub age: Option<Duration>,
    /// Time added for other reasons, such as another zone.
    pub extra_cost: Duration,
    /// Whether it rejected a request and no later response has shown free places.
    pub is_full: bool,
}

impl PlainCandidate {
    /// Returns the time that a request takes once it runs, in seconds.
    fn work_s(&self, service_time_default: Duration) -> f64 {
        let time = self.service_time.unwrap_or(service_time_default);
        time.as_secs_f64() * self.slowness
    }

    fn has_room(&self) -> bool {
        !self.is_full && (self.requests < self.capacity || self.requests < 1.0)
    }
}

/// Result of [`choose_plain`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainChoice {
    /// Index of the chosen candidate.
    Chosen(usize),
    /// The slots and waiting places of all candidates are taken.
    NoRoom,
}

/// Chooses an upstream that has room; `draw` is a random number from 0 to 1.
///
/// A request that may be sent to one upstream only (`is_only_attempt`) gets the one with the
/// largest part of its places free.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    is_only_attempt: bool,
    draw: f64,
) -> PlainChoice {
    let usable: Vec<(usize, &PlainCandidate)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.has_room())
        .collect();
    let shares = match (usable.as_slice(), is_only_attempt) {
        ([], _) => return PlainChoice::NoRoom,
        ([(index, _)], _) => return PlainChoice::Chosen(*index),
        (usable, true) => headroom_shares(usable),
        (usable, false) => completion_shares(usable),
    };
    let total: f64 = shares.iter().sum();
    let mut left = draw * total;
    for ((index, _), share) in usable.iter().zip(&shares) {
        if left < *share {
            return PlainChoice::Chosen(*index);
        }
        left -= share;
    }
    PlainChoice::Chosen(usable[usable.len() - 1].0)
}

/// Returns equal shares for the candidates with the largest part of their places free.
fn headroom_shares(usable: &[(usize, &PlainCandidate)]) -> Vec<f64> {
    let free = |candidate: &PlainCandidate| {
        (1.0 - candidate.requests / candidate.capacity.max(1.0)) / candidate.slowness
    };
    let most = usable.iter().map(|(_, candidate)| free(candidate));
    let most = most.fold(0.0, f64::max);
    let is_best = |candidate: &PlainCandidate| free(candidate) >= most * (1.0 - TIE_TOLERANCE);
    let shares = usable.iter().map(|(_, candidate)| is_best(candidate));
    shares.map(|is_best| f64::from(u8::from(is_best))).collect()
}

/// Returns the number of requests that each candidate can take until the common completion time.
fn completion_shares(usable: &[(usize, &PlainCandidate)]) -> Vec<f64> {
    let measured = usable
        .iter()
        .filter_map(|(_, candidate)| candidate.service_time);
    let count = measured.clone().count() as u32;
    let default = match count {
        0 => SERVICE_TIME_DEFAULT,
        count => measured.sum::<Duration>() / count,
    };
    let work: Vec<f64> = usable
        .iter()
        .map(|(_, candidate)| candidate.work_s(default).max(1e-6))
        .collect();
    let room = |index: usize, until_s: f64| {
        let candidate = usable[index].1;
        let for_work = until_s - candidate.extra_cost.as_secs_f64();
        match for_work < work[index] {
            true => 0.0,
            false => (for_work / work[index] * candidate.slots - candidate.requests).max(0.0),
        }
    };
    let rooms = |until_s: f64| (0..usable.len()).map(move |index| room(index, until_s));
    let arrivals = concurrent_arrivals(usable, &work);
    let completion = |index: usize| {
        let candidate = usable[index].1;
        let rounds = ((candidate.requests + arrivals) / candidate.slots.max(1.0)).max(1.0);
        candidate.extra_cost.as_secs_f64() + work[index] * rounds
    };
    // One candidate alone could take all requests until then.
    let mut high = (0..usable.len())
        .map(completion)
        .fold(f64::INFINITY, f64::min);
    let mut low = 0.0;
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match rooms(middle).sum::<f64>() < arrivals {
            true => low = middle,
            false => high = middle,
        }
    }
    rooms(high * (1.0 + TIE_TOLERANCE)).collect()
}

/// Returns the number of requests, this one included, that all VMs send to the candidates within
/// the age of the figures, if as many arrive as end.
fn concurrent_arrivals(usable: &[(usize, &PlainCandidate)], work_s: &[f64]) -> f64 {
    let arrivals = usable.iter().zip(work_s).map(|((_, candidate), work_s)| {
        let age = candidate.age.unwrap_or(HEARTBEAT_AGE).min(HEARTBEAT_AGE);
        candidate.requests.min(candidate.slots) / work_s * age.as_secs_f64()
    });
    1.0 + arrivals.sum::<f64>()
}
