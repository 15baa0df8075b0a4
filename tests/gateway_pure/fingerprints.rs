//! Fingerprints of requests.

use celerylever::gateway::RequestContent;
use http::Method;

use super::*;

const CONTENT: RequestContent<'static> = RequestContent {
    method: &Method::POST,
    host: "depot.example",
    target: "/book/a?page=1",
    customer: Some("teifi"),
    body: b"slot=3",
};

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
