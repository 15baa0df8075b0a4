//! Fingerprints of requests.

use celerylever::gateway::{PromptPart, RequestContent};
use http::Method;

use super::*;

const CONTENT: RequestContent<'static> = RequestContent {
    method: &Method::POST,
    host: "depot.example",
    target: "/book/a?page=1",
    customer: Some("teifi"),
    shared_parts: &[],
    body: b"slot=3",
};

fn parts(ids: &[&str]) -> Vec<PromptPart> {
    let ids = ids.iter().map(|id| (*id).to_owned());
    ids.map(|id| PromptPart { id, tokens: 100 }).collect()
}

/// Guards against sound prompts that are refused as copies where bodies do not carry the prompt.
#[test]
fn prompts_with_other_parts_are_no_copies() {
    let fingerprint = |ids: &[&str]| {
        let content = RequestContent {
            shared_parts: &parts(ids),
            ..CONTENT
        };
        content.fingerprint()
    };
    assert_eq!(fingerprint(&["sys", "doc"]), fingerprint(&["sys", "doc"]));
    assert_ne!(fingerprint(&["sys", "doc"]), fingerprint(&["sys", "other"]));
    assert_ne!(fingerprint(&["sys", "doc"]), fingerprint(&["sysdoc"]));
    assert_ne!(fingerprint(&["sys"]), fingerprint(&[]));
}

#[rstest]
#[case::method(RequestContent { method: &Method::PUT, ..CONTENT })]
#[case::host(RequestContent { host: "other.example", ..CONTENT })]
#[case::query(RequestContent { target: "/book/a?page=2", ..CONTENT })]
#[case::customer(RequestContent { customer: Some("small"), ..CONTENT })]
#[case::no_customer(RequestContent { customer: None, ..CONTENT })]
#[case::body(RequestContent { body: b"slot=4", ..CONTENT })]
#[case::border(RequestContent { customer: Some("teifis"), body: b"lot=3", ..CONTENT })]
fn other_requests_have_another_one(#[case] other: RequestContent<'_>) {
    assert_ne!(other.fingerprint(), CONTENT.fingerprint());
}
