//! Prefix identity, placement and the index, against naive versions.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use celerylever::route::{
    CachedPrefix, PIECE_BYTES, PIECES_MAX, Placement, Prefix, PrefixIndex, PrefixIndexSettings,
    PrefixSeed,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEED: PrefixSeed<'static> = PrefixSeed {
    cache_salt: "a1",
    model: "grade-note",
    weight_version: "v1",
    adapter: None,
};

/// Names engines by holder and pieces, without bounds and by a scan of everything noted.
#[derive(Default)]
struct NaiveIndex {
    noted: Vec<(Vec<u64>, u16, Duration)>,
}

impl NaiveIndex {
    fn holdings(&self, prefix: &Prefix) -> HashMap<u16, (usize, Duration)> {
        let mut found = HashMap::new();
        for (levels, engine, at) in &self.noted {
            let same = levels
                .iter()
                .zip(prefix.hashes())
                .take_while(|(a, b)| a == b);
            let pieces = same.count().saturating_sub(1);
            let best = found.entry(*engine).or_insert((pieces, *at));
            if (pieces, *at) > *best {
                *best = (pieces, *at);
            }
        }
        found.retain(|_, (pieces, _)| *pieces > 0);
        found
    }
}

fn prefix(pieces: &[u8]) -> Prefix {
    let text: String = pieces
        .iter()
        .map(|piece| char::from(b'a' + piece).to_string().repeat(PIECE_BYTES))
        .collect();
    Prefix::new(SEED, [text.as_str()])
}

fn random_prefix(rng: &mut StdRng) -> Prefix {
    let length = rng.random_range(0..6);
    let pieces: Vec<u8> = (0..length).map(|_| rng.random_range(0..3)).collect();
    prefix(&pieces)
}

fn found(holdings: Vec<CachedPrefix>) -> HashMap<u16, (usize, Duration)> {
    let found = holdings.into_iter();
    found.map(|h| (h.engine, (h.pieces, h.at))).collect()
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn index_within_its_bounds_equals_a_full_scan(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    let mut naive = NaiveIndex::default();
    for step in 1..2_000_u64 {
        let now = Duration::from_millis(10 * step);
        let prefix = random_prefix(&mut rng);
        index.record_request(&prefix, now);
        assert_eq!(
            found(index.cached_prefixes(&prefix)),
            naive.holdings(&prefix),
            "step {step}"
        );
        let engine = rng.random_range(0..8);
        index.record_cached(&prefix, engine, now);
        naive.noted.push((prefix.hashes().to_vec(), engine, now));
    }
}

#[rstest]
#[case(4)]
#[case(5)]
fn index_beyond_its_bounds_claims_nothing_that_was_not_noted(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut index = PrefixIndex::new(PrefixIndexSettings { prefixes_max: 40 });
    let mut naive = NaiveIndex::default();
    for step in 1..2_000_u64 {
        let now = Duration::from_millis(10 * step);
        let prefix = random_prefix(&mut rng);
        index.record_request(&prefix, now);
        let all = naive.holdings(&prefix);
        for (engine, (pieces, at)) in found(index.cached_prefixes(&prefix)) {
            let (most, _) = all[&engine];
            assert!(pieces <= most, "step {step}: {pieces} of {most}");
            assert!(at <= now);
        }
        let engine = rng.random_range(0..40);
        index.record_cached(&prefix, engine, now);
        naive.noted.push((prefix.hashes().to_vec(), engine, now));
    }
}

#[rstest]
#[case::customer(PrefixSeed { cache_salt: "a2", ..SEED })]
#[case::model(PrefixSeed { model: "booking", ..SEED })]
#[case::weight_version(PrefixSeed { weight_version: "v2", ..SEED })]
#[case::adapter(PrefixSeed { adapter: Some("wales"), ..SEED })]
#[case::empty_adapter(PrefixSeed { adapter: Some(""), ..SEED })]
fn equal_prompts_of_different_owners_share_no_level(#[case] other: PrefixSeed<'static>) {
    let text = "x".repeat(8 * PIECE_BYTES);
    let one = Prefix::new(SEED, [text.as_str()]);
    let two = Prefix::new(other, [text.as_str()]);
    let one: HashSet<_> = one.hashes().iter().collect();
    assert!(two.hashes().iter().all(|level| !one.contains(level)));
}

#[rstest]
#[case(&[1])]
#[case(&[3_999, 1, 4_000])]
#[case(&[10_000, 0, 6_001, 70_000])]
fn parts_of_a_text_hash_like_the_whole(#[case] lengths: &[usize]) {
    let mut rng = StdRng::seed_from_u64(7);
    let parts: Vec<String> = lengths
        .iter()
        .map(|length| (0..*length).map(|_| rng.random_range('a'..='z')).collect())
        .collect();
    let in_parts = Prefix::new(SEED, parts.iter().map(String::as_str));
    let whole = Prefix::new(SEED, [parts.concat().as_str()]);
    assert_eq!(in_parts, whole);
}

#[test]
fn prompts_meet_at_every_shared_piece() {
    for shared in 0..PIECES_MAX {
        let common = "s".repeat(shared * PIECE_BYTES);
        let one = Prefix::new(SEED, [common.as_str(), &"a".repeat(PIECE_BYTES)]);
        let two = Prefix::new(SEED, [common.as_str(), &"b".repeat(PIECE_BYTES)]);
        let equal = one.hashes().iter().zip(two.hashes());
        assert_eq!(equal.take_while(|(a, b)| a == b).count(), shared + 1);
    }
}

#[test]
fn placement_is_even_and_moves_little() {
    let names: Vec<String> = (0..60).map(|n| format!("engine-{n}")).collect();
    let all = Placement::new(names.iter().map(String::as_str));
    let fewer = Placement::new(names[..59].iter().map(String::as_str));
    let mut rng = StdRng::seed_from_u64(9);
    let mut counts = vec![0_u32; names.len()];
    let mut moved = 0;
    const PREFIXES: u32 = 60_000;
    for _ in 0..PREFIXES {
        let hash = rng.random();
        let engine = all.engine(hash, 0).unwrap();
        counts[engine] += 1;
        moved += u32::from(engine != 59 && fewer.engine(hash, 0) != Some(engine));
    }
    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
    assert!(moved < PREFIXES / 20, "{moved} moved");
}

/// Nine shared pieces, three of one of the sheets, and a tail of its own.
fn sheet_prompt(sheet: u8, tail: u8) -> Prefix {
    let mut pieces = vec![0; 9];
    pieces.extend([1 + sheet, 0, 0, 1 + tail]);
    prefix(&pieces)
}

#[test]
fn home_lies_behind_the_last_branch_that_is_shared() {
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    let now = Duration::from_secs(1);
    for tail in 0..4 {
        for sheet in 0..3 {
            index.record_request(&sheet_prompt(sheet, tail), now);
        }
    }
    let known = index.record_request(&sheet_prompt(1, 20), now);
    assert_eq!((known.shared_pieces, known.placement_pieces), (12, 10));
    let unseen = index.record_request(&sheet_prompt(9, 20), now);
    assert_eq!((unseen.shared_pieces, unseen.placement_pieces), (9, 10));
}

#[test]
fn home_lies_before_a_branch_that_is_never_shared() {
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    let now = Duration::from_secs(1);
    for tail in 0..20 {
        index.record_request(&prefix(&[0, 0, 1 + tail, 0, 0, 0]), now);
    }
    let known = index.record_request(&prefix(&[0, 0, 22, 0, 0, 0]), now);
    assert_eq!((known.shared_pieces, known.placement_pieces), (2, 2));
}
