//! Settings and totals of an engine.

use crate::address::own_address;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::milliseconds;

/// How to start an [`Engine`](crate::Engine).
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Weight version held at the start.
    pub weight_version: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Pieces of 1,000 tokens that the cache holds.
    pub cache_pieces_max: usize,
    /// Time to compute one prompt token that is not cached, in microseconds.
    pub prefill_us_per_token: f64,
    /// Time between two tokens.
    #[serde(rename = "token_interval_ms", with = "milliseconds")]
    pub token_interval: Duration,
    /// Age of the load report.
    #[serde(rename = "load_lag_ms", with = "milliseconds")]
    pub load_lag: Duration,
    /// Time until a cache event shows.
    #[serde(rename = "event_lateness_ms", with = "milliseconds")]
    pub event_lateness: Duration,
    /// Leaves out each cache event whose number is a multiple of this; zero leaves out none.
    pub event_gap_every: u64,
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time to load weights; no request runs meanwhile.
    #[serde(rename = "weight_load_ms", with = "milliseconds")]
    pub weight_load: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: own_address(),
            weight_version: "v1".to_owned(),
            slots: 64,
            cache_pieces_max: 1_024,
            prefill_us_per_token: 1.0,
            token_interval: Duration::ZERO,
            load_lag: Duration::ZERO,
            event_lateness: Duration::ZERO,
            event_gap_every: 0,
            checks_fencing: true,
            weight_load: Duration::from_millis(300),
        }
    }
}

/// What an engine did since it was created, crashes included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct EngineTotals {
    /// Runs started.
    pub runs: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub hit_tokens: u64,
    /// Runs that ended early: cancelled, left by their caller, or stopped by a crash.
    pub cancelled: u64,
}
