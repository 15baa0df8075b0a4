//! `celerylever vm forget`.

mod memory_store;

use celerylever::command::{OK, REFUSED, UNREACHABLE};
use celerylever::platform::Kind;
use memory_store::{Failure, Memory, STORE, command};
use rstest::rstest;

const RECORD: &str = r#"{"vm":"v1","incarnation":7,"peer_address":null,"availability_zone":"a","renewals":3,"witnesses":[],"state":"STATE","document_version":1}"#;

#[rstest]
#[case::active("active", OK, "v1: incarnation 7 is fenced\n", "fenced")]
#[case::fenced("fenced", OK, "v1: incarnation 7 was already fenced\n", "fenced")]
#[tokio::test]
async fn forget_fences_the_record(
    #[case] state: &str,
    #[case] code: u8,
    #[case] out: &str,
    #[case] after: &str,
) {
    let store = Memory::default();
    store.insert(Kind::Vm, "v1", &RECORD.replace("STATE", state));
    let done = command(&store, &format!("vm forget v1 --store {STORE}")).await;
    assert_eq!(
        (done.code, done.out.as_str(), done.err.as_str()),
        (code, out, "")
    );
    let state = store.0.borrow();
    let object = &state.objects[&(Kind::Vm, "v1".to_owned())];
    assert_eq!(object.value, RECORD.replace("STATE", after));
}

#[rstest]
#[case::absent(None, Failure::None, REFUSED)]
#[case::malformed(Some("{}"), Failure::None, REFUSED)]
#[case::unreachable(None, Failure::Unreachable, UNREACHABLE)]
#[tokio::test]
async fn forget_says_what_is_wrong(
    #[case] value: Option<&str>,
    #[case] failure: Failure,
    #[case] code: u8,
) {
    let store = Memory::default();
    if let Some(value) = value {
        store.insert(Kind::Vm, "v1", value);
    }
    store.fail(failure);
    let done = command(&store, &format!("vm forget v1 --store {STORE}")).await;
    assert_eq!((done.code, done.out.as_str()), (code, ""), "{}", done.err);
}
