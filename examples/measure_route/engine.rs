//! Engine in virtual time: prompts are computed one at a time, answers decoded side by side.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::route::{PIECE_TOKENS, Prefix};

/// Time to compute one prompt token.
pub(crate) const TOKEN_COST: Duration = Duration::from_micros(20);
/// Time that each prompt takes besides.
pub(crate) const PROMPT_COST: Duration = Duration::from_millis(2);
/// Time between two tokens of an answer.
pub(crate) const DECODE_COST: Duration = Duration::from_millis(8);

pub(crate) type RequestNumber = usize;

pub(crate) struct Engine {
    pub(crate) slots: usize,
    pub(crate) waiting: VecDeque<(RequestNumber, Prefix)>,
    pub(crate) computing: Option<RequestNumber>,
    pub(crate) computing_until: Instant,
    pub(crate) decoding: usize,
    pieces_max: usize,
    tick: u64,
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

/// Prompt whose computing began.
pub(crate) struct Begun {
    pub(crate) request: RequestNumber,
    pub(crate) cached_pieces: usize,
    pub(crate) missed_tokens: u64,
    pub(crate) until: Instant,
}

impl Engine {
    pub(crate) fn new(slots: usize, pieces_max: usize) -> Self {
        Self {
            slots,
            waiting: VecDeque::new(),
            computing: None,
            computing_until: Instant::ZERO,
            decoding: 0,
            pieces_max,
            tick: 0,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    pub(crate) fn cached_pieces(&self, prefix: &Prefix) -> usize {
        let levels = &prefix.hashes()[1..];
        levels
            .iter()
            .take_while(|hash| self.used.contains_key(hash))
            .count()
    }

    /// Returns the requests that run and that wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        let running = self.decoding + usize::from(self.computing.is_some());
        (running, self.waiting.len())
    }

    /// Returns the true wait of a prompt that would arrive now.
    pub(crate) fn backlog(&self, now: Instant) -> Duration {
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|(_, prefix)| cost(self.missed_tokens(prefix)));
        waiting.sum::<Duration>() + self.computing_until.saturating_sub(now)
    }

    /// Begins the next prompt where there is room.
    pub(crate) fn begin(&mut self, now: Instant) -> Option<Begun> {
        if self.computing.is_some() || self.decoding >= self.slots {
            return None;
        }
        let (request, prefix) = self.waiting.pop_front()?;
        let cached_pieces = self.cached_pieces(&prefix);
        let missed_tokens = self.missed_tokens(&prefix);
        for hash in prefix.hashes()[1..].iter().rev() {
            self.touch(*hash);
        }
        self.computing = Some(request);
        self.computing_until = now + cost(missed_tokens);
        Some(Begun {
            request,
            cached_pieces,
            missed_tokens,
            until: self.computing_until,
        })
    }

    pub(crate) fn missed_tokens(&self, prefix: &Prefix) -> u64 {
        let cached = self.cached_pieces(prefix) as u64 * PIECE_TOKENS;
        prefix.prompt_tokens().saturating_sub(cached)
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(used) = self.used.insert(hash, self.tick) {
            self.by_use.remove(&used);
        }
        self.by_use.insert(self.tick, hash);
        while self.used.len() > self.pieces_max {
            if let Some((_, oldest)) = self.by_use.pop_first() {
                self.used.remove(&oldest);
            }
        }
    }
}

pub(crate) fn cost(missed_tokens: u64) -> Duration {
    PROMPT_COST + TOKEN_COST * missed_tokens as u32
}
