//! Workloads in the shapes of the two fleets: nested prefixes, a few hot ones that shift.

use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::route::{PIECE_TOKENS, Prefix};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time after which other prefixes are hot.
const SHIFT: Duration = Duration::from_secs(6);
/// Times its rate that one customer sends in the middle of a run.
const EXCESS: f64 = 5.0;
/// Customer that does.
pub(crate) const EXCESSIVE: usize = 2;

/// Shape of a fleet and its traffic.
#[derive(Debug, Clone)]
pub(crate) struct Workload {
    name: &'static str,
    pub(crate) engines: usize,
    pub(crate) zones: usize,
    pub(crate) vms: usize,
    pub(crate) slots: usize,
    pub(crate) pieces_max: usize,
    pub(crate) duration: Duration,
    /// Whether a bucket holds each customer to its rate.
    pub(crate) is_limited: bool,
    rate_per_s: f64,
    shares: [f64; 5],
    sheets: usize,
    sheet_pieces: std::ops::Range<usize>,
    skew: f64,
}

/// One request.
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) customer: usize,
    pub(crate) prefix: Prefix,
    pub(crate) output_tokens: u64,
}

impl Workload {
    pub(crate) fn all() -> Vec<Self> {
        let teifi = Self {
            name: "Teifi, grade notes",
            engines: 9,
            zones: 4,
            vms: 8,
            slots: 24,
            pieces_max: 130,
            duration: Duration::from_secs(60),
            is_limited: true,
            rate_per_s: 110.0,
            shares: [0.40, 0.30, 0.15, 0.10, 0.05],
            sheets: 24,
            sheet_pieces: 6..12,
            skew: 1.1,
        };
        let kyushu = Self {
            name: "Kyushu, sorting",
            engines: 12,
            zones: 3,
            vms: 8,
            pieces_max: 100,
            rate_per_s: 170.0,
            shares: [0.35, 0.25, 0.15, 0.15, 0.10],
            sheets: 40,
            sheet_pieces: 3..7,
            skew: 1.0,
            ..teifi.clone()
        };
        let unlimited = Self {
            name: "Teifi, grade notes, no rate limit before the engines",
            is_limited: false,
            ..teifi.clone()
        };
        vec![teifi, kyushu, unlimited]
    }

    pub(crate) fn title(&self) -> String {
        format!(
            "\n{}: {} engines, {} VMs, {} requests/s, {} pieces cached an engine",
            self.name, self.engines, self.vms, self.rate_per_s, self.pieces_max
        )
    }

    /// Returns a customer's requests a second inside its rate.
    pub(crate) fn rate_of(&self, customer: usize) -> f64 {
        self.rate_per_s * self.shares[customer]
    }

    pub(crate) fn customers(&self) -> usize {
        self.shares.len()
    }

    pub(crate) fn is_excess_at(&self, at: Instant) -> bool {
        let third = self.duration / 3;
        (third..third * 2).contains(&at)
    }

    /// Returns all requests in the order of their arrival.
    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for customer in 0..self.customers() {
            let mut at = Duration::ZERO;
            loop {
                let excess = match customer == EXCESSIVE && self.is_excess_at(at) {
                    true => EXCESS,
                    false => 1.0,
                };
                let gap = -rng.random::<f64>().max(1e-12).ln();
                at += Duration::from_secs_f64(gap / (self.rate_of(customer) * excess));
                if at >= self.duration {
                    break;
                }
                arrivals.push(self.arrival(customer, at, &mut rng));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn arrival(&self, customer: usize, at: Instant, rng: &mut StdRng) -> Arrival {
        let shift = (at.as_millis() / SHIFT.as_millis()) as usize * 5;
        let rank = zipf(self.sheets, self.skew, rng);
        let sheet = (rank + shift) % self.sheets;
        // Length and application of a sheet stay with it.
        let mut fixed = StdRng::seed_from_u64((customer * 1_000 + sheet) as u64);
        let application = fixed.random_range(0..3_u64);
        let sheet_pieces = fixed.random_range(self.sheet_pieces.clone());
        let mut levels = vec![mix(0, customer as u64)];
        push(&mut levels, 2, 0);
        push(&mut levels, 3, 10 + application);
        push(&mut levels, sheet_pieces, 1_000 + sheet as u64);
        let tail_tokens = rng.random_range(100..1_200);
        push(
            &mut levels,
            (tail_tokens / PIECE_TOKENS) as usize,
            rng.random(),
        );
        let shared = 2 + 3 + sheet_pieces as u64;
        let prompt_tokens = shared * PIECE_TOKENS + tail_tokens;
        Arrival {
            at,
            customer,
            prefix: Prefix::from_hashes(levels, prompt_tokens),
            output_tokens: rng.random_range(20..80),
        }
    }
}

fn push(levels: &mut Vec<u64>, pieces: usize, text: u64) {
    for piece in 0..pieces {
        let previous = levels[levels.len() - 1];
        levels.push(mix(previous, text + piece as u64));
    }
}

fn mix(one: u64, other: u64) -> u64 {
    let mixed =
        (one ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

fn zipf(count: usize, skew: f64, rng: &mut StdRng) -> usize {
    let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(skew);
    let total: f64 = (0..count).map(weight).sum();
    let mut draw = rng.random::<f64>() * total;
    for rank in 0..count {
        draw -= weight(rank);
        if draw <= 0.0 {
            return rank;
        }
    }
    count - 1
}
