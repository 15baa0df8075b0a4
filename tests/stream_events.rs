//! The parser of event streams against a naive splitter, over arbitrary chunkings.

use celerylever::entry::{EventParser, EventStreamError, ParsedEvents};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const CASES: u32 = 5_000;
const SEED: [u8; 32] = [6; 32];

/// What a stream as a whole allows to pass on.
#[derive(Debug, PartialEq, Eq, Default)]
struct Whole {
    events: Vec<u8>,
    tokens: u64,
    is_done: bool,
    error: Option<EventStreamError>,
}

/// Splits the whole text at once, with strings and vectors.
fn naive(stream: &[u8], start: u64) -> Whole {
    let text: Vec<char> = stream.iter().map(|byte| char::from(*byte)).collect();
    let text: String = text.into_iter().collect();
    let mut whole = Whole::default();
    let mut next = start;
    let mut parts: Vec<&str> = text.split("\n\n").collect();
    parts.pop();
    for part in parts {
        let fields: Vec<(&str, &str)> = part
            .split('\n')
            .filter_map(|line| line.split_once(':').or(Some((line, ""))))
            .map(|(name, value)| (name, value.strip_prefix(' ').unwrap_or(value)))
            .collect();
        let of = |wanted: &str| -> Vec<&str> {
            let named = fields.iter().filter(|(name, _)| *name == wanted);
            named.map(|(_, value)| *value).collect()
        };
        let (ids, data) = (of("id"), of("data"));
        if ids.len() > 1 || !of("event").is_empty() {
            whole.error = Some(EventStreamError::Malformed);
            return whole;
        }
        let position = ids.first().map(|id| id.parse::<u64>());
        match (position, data.as_slice()) {
            (_, ["[DONE]"]) => {
                whole.is_done = true;
                whole.append(part);
                return whole;
            }
            (None, []) => {}
            (Some(Ok(position)), [_, ..]) if position < next => {}
            (Some(Ok(position)), [_, ..]) if position == next => {
                next += 1;
                whole.tokens += 1;
                whole.append(part);
            }
            (Some(Ok(found)), [_, ..]) => {
                let expected = next;
                whole.error = Some(EventStreamError::Gap { expected, found });
                return whole;
            }
            _ => {
                whole.error = Some(EventStreamError::Malformed);
                return whole;
            }
        }
    }
    whole
}

impl Whole {
    fn append(&mut self, part: &str) {
        let bytes = part
            .chars()
            .map(|byte| u8::try_from(u32::from(byte)).unwrap());
        self.events.extend(bytes);
        self.events.extend(b"\n\n");
    }
}

/// Feeds the parser piece by piece until it says that no more is wanted.
fn parsed(stream: &[u8], cuts: &[usize], start: u64) -> Whole {
    let mut parser = EventParser::new(start);
    let mut whole = Whole::default();
    let mut bounds: Vec<usize> = cuts.iter().map(|cut| cut % (stream.len() + 1)).collect();
    bounds.extend([0, stream.len()]);
    bounds.sort_unstable();
    for pair in bounds.windows(2) {
        let ParsedEvents {
            events,
            tokens,
            is_done,
            error,
        } = parser.push(&stream[pair[0]..pair[1]]);
        whole.events.extend_from_slice(&events);
        whole.tokens += tokens;
        whole.is_done = is_done;
        whole.error = error;
        if is_done || error.is_some() {
            break;
        }
    }
    whole
}

fn event() -> impl Strategy<Value = Vec<u8>> {
    let token =
        (0_u64..6).prop_map(|id| format!("id: {id}\ndata: {{\"t\":{id}}}\n\n").into_bytes());
    let fixed = [
        "data: [DONE]\n\n",
        "data:[DONE]\n\n",
        "id: 3\ndata: [DONE]\n\n",
        ": comment\n\n",
        "retry: 5\n\n",
        "data: unnumbered\n\n",
        "id: 1\n\n",
        "id: 1\nid: 2\ndata: x\n\n",
        "event: error\nid: 1\ndata: x\n\n",
        "id: x\ndata: y\n\n",
        "data: a\ndata: [DONE]\n\n",
        "\n",
        "id: 2",
    ];
    let fixed = proptest::sample::select(fixed.to_vec()).prop_map(|text| text.as_bytes().to_vec());
    let bytes = proptest::collection::vec(any::<u8>(), 0..12);
    prop_oneof![12 => token, 2 => fixed, 1 => bytes]
}

#[test]
fn any_chunking_gives_what_the_whole_gives() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let inputs = (
        proptest::collection::vec(event(), 0..10),
        proptest::collection::vec(any::<usize>(), 0..12),
        0_u64..3,
        any::<bool>(),
    );
    TestRunner::new_with_rng(config, rng)
        .run(&inputs, |(mut events, cuts, start, is_ordered)| {
            if is_ordered {
                events.sort();
            }
            let stream = events.concat();
            prop_assert_eq!(parsed(&stream, &cuts, start), naive(&stream, start));
            Ok(())
        })
        .unwrap();
}

#[rstest]
#[case::gap("id: 0\ndata: a\n\nid: 2\ndata: c\n\n", Some(EventStreamError::Gap { expected: 1, found: 2 }))]
#[case::no_position("data: a\n\n", Some(EventStreamError::Malformed))]
#[case::no_token("id: 0\n\n", Some(EventStreamError::Malformed))]
#[case::two_positions("id: 0\nid: 1\ndata: a\n\n", Some(EventStreamError::Malformed))]
#[case::error_of_the_engine("event: error\ndata: {}\n\n", Some(EventStreamError::Malformed))]
#[case::duplicate("id: 0\ndata: a\n\nid: 0\ndata: a\n\n", None)]
fn position_faults_are_found(#[case] stream: &str, #[case] error: Option<EventStreamError>) {
    assert_eq!(EventParser::new(0).push(stream.as_bytes()).error, error);
}

#[test]
fn endless_event_is_bounded() {
    let mut parser = EventParser::new(0);
    let piece = vec![b'x'; 65_536];
    let error = (0..64).find_map(|_| parser.push(&piece).error);
    assert_eq!(error, Some(EventStreamError::TooLarge));
}

#[test]
fn an_engines_own_usage_is_left_out() {
    let stream = b"id: 0\ndata: a\n\ndata: {\"choices\":[],\"usage\":{\"total_tokens\":9}}\n\ndata: [DONE]\n\n";
    let parsed = EventParser::new(0).push(stream);
    assert_eq!(&parsed.events[..], b"id: 0\ndata: a\n\ndata: [DONE]\n\n");
    assert_eq!((parsed.is_done, parsed.error), (true, None));
    let unnumbered = EventParser::new(0).push(b"data: {\"choices\":[1],\"usage\":{}}\n\n");
    assert_eq!(unnumbered.error, Some(EventStreamError::Malformed));
}
