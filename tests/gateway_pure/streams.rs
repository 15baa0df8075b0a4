//! Tests of the splitter of server-sent event streams.

use super::*;

fn stream_of(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    events.collect::<String>().into_bytes()
}

proptest! {
    #[test]
    fn any_cuts_give_the_same_events(cuts in proptest::collection::vec(1_usize..40, 0..60)) {
        let bytes = stream_of(20);
        let mut splitter = EventSplitter::default();
        let mut out = SplitEvents::default();
        let mut rest = &bytes[..];
        for cut in cuts {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            out.append(splitter.push(chunk).unwrap());
            rest = remaining;
        }
        out.append(splitter.push(rest).unwrap());
        prop_assert_eq!(&out.bytes[..], &bytes[..]);
        prop_assert_eq!(out.last_id, Some(20));
    }
}

#[test]
fn an_unfinished_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    let whole = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        .unwrap();
    assert_eq!(&whole.bytes[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event());
    assert_eq!(whole.last_id, Some(1));
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let mut splitter = EventSplitter::new(Some(3), true);
    let events = splitter.push(&stream_of(5)).unwrap();
    assert_eq!(&events.bytes[..], b"id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n");
}

#[test]
fn a_line_before_the_id_stays_with_its_event() {
    let mut splitter = EventSplitter::new(Some(1), true);
    let bytes = b"weight-versions: 3\nid: 2\ndata: b\n\n";
    assert_eq!(&splitter.push(bytes).unwrap().bytes[..], bytes);
}

#[test]
fn comments_and_empty_lines_are_no_event_and_do_not_pile_up() {
    let mut splitter = EventSplitter::default();
    let comments = splitter.push(b": a\n\n\r\n\n").unwrap();
    assert_eq!(&comments.bytes[..], b": a\n\n\r\n\n");
    assert!(!comments.has_event);
    let event = splitter.push(b": b\nid: 1\ndata: a\n\n").unwrap();
    assert!(event.has_event);
    let filler = b": x\n\n".repeat(1_000);
    let accepted = (0..1_000).take_while(|_| splitter.push(&filler).is_ok());
    assert!(accepted.count() < 1_000);
}

#[test]
fn an_event_without_an_id_is_no_event_of_a_stream_with_ids() {
    let mut plain = EventSplitter::default();
    assert!(plain.push(b"data: a\n\n").unwrap().has_event);
    plain.push(b"id: 1\ndata: a\n\n").unwrap();
    assert_eq!(plain.push(b"busy\n\n"), Err(SplitError::NoId));
    let mut resumable = EventSplitter::new(None, true);
    assert!(!resumable.push(b": wait\n\n").unwrap().has_event);
    assert_eq!(resumable.push(b"data: a\n\n"), Err(SplitError::NoId));
}
