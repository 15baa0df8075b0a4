//! Fingerprints of requests.

use celerylever::gateway::{Fingerprint, Prompt, PromptPart, RequestContent};
use http::Method;

use super::*;

const CONTENT: RequestContent<'static> = RequestContent {
    method: &Method::POST,
    host: "depot.example",
    target: "/book/a?page=1",
    customer: Some("teifi"),
    prompt: None,
    body: &[b"slot=3"],
};

fn prompt(tokens: u64, ids: &[&str]) -> Prompt {
    let ids = ids.iter().map(|id| (*id).to_owned());
    Prompt {
        prompt_tokens: tokens,
        parts: ids.map(|id| PromptPart { id, tokens: 100 }).collect(),
        ..Prompt::default()
    }
}

fn fingerprint(tokens: u64, ids: &[&str]) -> Fingerprint {
    let content = RequestContent {
        prompt: Some(&prompt(tokens, ids)),
        ..CONTENT
    };
    content.fingerprint()
}

/// Guards against sound prompts that are refused as copies where bodies do not carry the prompt.
#[test]
fn prompts_with_other_parts_than_their_body_has_are_no_copies() {
    let copy = fingerprint(900, &["sys", "doc", "r1"]);
    assert_eq!(copy, fingerprint(900, &["sys", "doc", "r2"]));
    assert_ne!(copy, fingerprint(900, &["sys", "other", "r1"]));
    assert_ne!(copy, fingerprint(900, &["sysdoc", "r1"]));
}

#[test]
fn prompts_are_told_apart_by_a_body_that_carries_them() {
    let copy = fingerprint(6, &["sys", "doc", "r1"]);
    assert_eq!(copy, fingerprint(6, &["sys", "other", "r2"]));
}

#[rstest]
#[case::method(RequestContent { method: &Method::PUT, ..CONTENT })]
#[case::host(RequestContent { host: "other.example", ..CONTENT })]
#[case::query(RequestContent { target: "/book/a?page=2", ..CONTENT })]
#[case::customer(RequestContent { customer: Some("small"), ..CONTENT })]
#[case::no_customer(RequestContent { customer: None, ..CONTENT })]
#[case::body(RequestContent { body: &[b"slot=4"], ..CONTENT })]
#[case::border(RequestContent { customer: Some("teifis"), body: &[b"lot=3"], ..CONTENT })]
fn other_requests_have_another_one(#[case] other: RequestContent<'_>) {
    assert_ne!(other.fingerprint(), CONTENT.fingerprint());
}
