//! Hashes that identify a prompt's prefixes.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::ids::Tokens;

/// Estimated number of text bytes per token.
///
/// English prose has about 4 bytes per token, Japanese text and program code about 3 and digits
/// about 2, so that an estimate can be too low by half. The estimate only affects where a request
/// goes; the cached tokens that an engine reports correct it.
pub const BYTES_PER_TOKEN: usize = 4;
/// Estimated number of tokens in one piece.
pub const PIECE_TOKENS: Tokens = 1_000;
/// Number of text bytes in one piece.
pub const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;
/// Largest number of leading pieces that are hashed; the text behind them is ignored.
pub const PIECES_MAX: usize = 64;

/// Hash of a seed and a number of leading pieces.
pub type PrefixHash = u64;

/// Properties that prompts must have in common to share cached pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixSeed<'a> {
    /// Cache salt of the customer or of its shared group.
    pub cache_salt: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Version of its weights.
    pub weight_version: &'a str,
    /// Adapter applied to the weights, if any.
    pub adapter: Option<&'a str>,
}

impl PrefixSeed<'_> {
    fn hash(self) -> PrefixHash {
        let mut hasher = Xxh3::new();
        let adapter = self.adapter.unwrap_or_default();
        for part in [self.cache_salt, self.model, self.weight_version, adapter] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&[u8::from(self.adapter.is_some())]);
        hasher.digest()
    }
}

/// Hash chain over the leading pieces of one prompt.
///
/// There is one hash for every number of whole pieces up to [`PIECES_MAX`], so that prompts with
/// any number of leading pieces in common share that prefix's hash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    hashes: Vec<PrefixHash>,
    prompt_tokens: Tokens,
}

impl Prefix {
    /// Hashes a prompt whose text consists of `parts`, in order.
    pub fn new<'a>(seed: PrefixSeed<'_>, parts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut hasher = PrefixHasher::new(seed.hash());
        for part in parts {
            hasher.push(part.as_bytes());
        }
        hasher.finish()
    }

    /// Creates a prefix from existing hashes, of which the first one covers the seed alone.
    pub fn from_hashes(hashes: Vec<PrefixHash>, prompt_tokens: Tokens) -> Self {
        Self {
            hashes,
            prompt_tokens,
        }
    }

    /// Returns the hashes, indexed by the number of pieces that they cover.
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes
    }

    /// Returns the number of pieces hashed.
    pub fn pieces(&self) -> usize {
        self.hashes.len().saturating_sub(1)
    }

    /// Returns the estimated length of the whole prompt.
    pub fn prompt_tokens(&self) -> Tokens {
        self.prompt_tokens
    }

    /// Returns the number of tokens to compute if `cached_pieces` leading pieces are cached.
    pub fn missed_tokens(&self, cached_pieces: usize) -> Tokens {
        let cached = cached_pieces as Tokens * PIECE_TOKENS;
        self.prompt_tokens.saturating_sub(cached)
    }
}

struct PrefixHasher {
    hashes: Vec<PrefixHash>,
    bytes: usize,
    partial: Vec<u8>,
}

impl PrefixHasher {
    fn new(seed: PrefixHash) -> Self {
        Self {
            hashes: vec![seed],
            bytes: 0,
            partial: Vec::new(),
        }
    }

    fn push(&mut self, mut text: &[u8]) {
        self.bytes += text.len();
        if !self.partial.is_empty() {
            let (head, rest) = text.split_at(text.len().min(PIECE_BYTES - self.partial.len()));
            self.partial.extend_from_slice(head);
            text = rest;
            if self.partial.len() < PIECE_BYTES {
                return;
            }
            let piece = std::mem::take(&mut self.partial);
            self.push_piece(&piece);
        }
        let pieces = text.chunks_exact(PIECE_BYTES);
        self.partial.extend_from_slice(pieces.remainder());
        for piece in pieces {
            self.push_piece(piece);
        }
    }

    fn push_piece(&mut self, piece: &[u8]) {
        if self.hashes.len() > PIECES_MAX {
            return;
        }
        let previous = self.hashes.last().copied().unwrap_or_default();
        let mut link = [0; 16];
        link[..8].copy_from_slice(&previous.to_le_bytes());
        link[8..].copy_from_slice(&xxh3_64(piece).to_le_bytes());
        self.hashes.push(xxh3_64(&link));
    }

    fn finish(self) -> Prefix {
        Prefix {
            hashes: self.hashes,
            prompt_tokens: self.bytes.div_ceil(BYTES_PER_TOKEN) as Tokens,
        }
    }
}
