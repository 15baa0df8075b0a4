//! The document is read whole, written back the same, and every fault is reported with its place.

use std::net::SocketAddr;

use celerylever::document::{
    Customer, DOCUMENT_MAX_BYTES, Document, FencingCheck, Model, Route, RouteAccess, Upstream,
    UpstreamKind, UpstreamState, document_page,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const TEIFI: &str = include_str!("../examples/teifi.ini");
const KYUSHU: &str = include_str!("../examples/kyushu.ini");
const SEED: [u8; 32] = [7; 32];
const SMALL: &str = "[document]\nenvironment = trial\n\
    [customer.c]\nrate_tokens_per_s = 10\nburst_tokens = 100\nweight = 1\nmodels = m\n\
    [model.m]\nweight_version = v1\ncontext_max_tokens = 100\noutput_max_tokens = 10\n\
    [upstream.e]\naddress = 127.0.0.1:1\navailability_zone = a\nkind = engine\nmodels = m\n\
    [upstream.p]\naddress = 127.0.0.1:2\navailability_zone = a\nkind = plain_service\n\
    [route.r]\npath_prefix = /r\nupstreams = p\n";

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        failure_persistence: None,
        cases,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn faults(text: &str) -> String {
    Document::parse(text).expect_err("faults").to_string()
}

#[rstest]
#[case::teifi(TEIFI, 9, "grade-note", 4, 4)]
#[case::kyushu(KYUSHU, 12, "sorting", 3, 3)]
fn examples_have_the_fleets_of_today(
    #[case] text: &str,
    #[case] first: usize,
    #[case] first_model: &str,
    #[case] booking: usize,
    #[case] zones: usize,
) {
    let document = Document::parse(text).expect("valid");
    let serving = |model: &str| {
        let upstreams = document.upstreams.values();
        upstreams
            .filter(|upstream| upstream.models == [model])
            .count()
    };
    let mut found: Vec<&str> = document
        .upstreams
        .values()
        .map(|upstream| upstream.availability_zone.as_str())
        .collect();
    found.sort_unstable();
    found.dedup();
    let counts = (
        serving(first_model),
        serving("booking"),
        found.len(),
        document.customers.len(),
    );
    assert_eq!(counts, (first, booking, zones, 5));
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = "[customer.a b]\nkey_digests = sk-plain\nrate_tokens_per_s = -1\nkey = sk-plain\n\
                weight = 1\nburst_tokens = 5\n[modle.m]\n[upstream.u]\naddress = host:1\n\
                availability_zone = a\nkind = router\ncredential = has space\n";
    let expected = r#"[customer.a b]: allowed is a name of 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit
[customer.a b] key_digests = "***": allowed is comma-separated list of distinct digests, each sha256: and 64 hex digits; never a plain key (`celerylever key new` prints a digest)
[customer.a b] rate_tokens_per_s = "-1": allowed is whole number from 1 to 1000000000000
[customer.a b] key = "***": allowed is a known key, one of key_digests, rate_tokens_per_s, burst_tokens, weight, models, shared_group; did you mean "key_digests"?
[modle.m]: allowed is a known section, one of document, customer.NAME, model.NAME, upstream.NAME, route.NAME; did you mean "model.NAME"?
[upstream.u] address = "host:1": allowed is IP address and port as IP:PORT
[upstream.u] kind = "router": allowed is one of engine, plain_service, kept_cache_store
[upstream.u] credential = "***": allowed is 1 to 256 printable ASCII characters without spaces or \, other than ***
[document] environment is missing: allowed is 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"#;
    assert_eq!(faults(text), expected);
}

#[rstest]
#[case::burst("burst_tokens = 100", "burst_tokens = 99",
    r#"[customer.c] burst_tokens = "99": allowed is at least 100, the most that one request may cost"#)]
#[case::route_cost("upstreams = p", "upstreams = p\ncost_tokens = 101",
    r#"[customer.c] burst_tokens = "100": allowed is at least 101, the most that one request may cost"#)]
#[case::customer_model(
    "weight = 1\nmodels = m",
    "weight = 1\nmodels = m, x",
    r#"[customer.c] models = "x": allowed is models that have a section [model.x]"#
)]
#[case::engine_model(
    "kind = engine\nmodels = m",
    "kind = engine\nmodels = x",
    r#"[upstream.e] models = "x": allowed is models that have a section [model.x]"#
)]
#[case::engine_without_models(
    "kind = engine\nmodels = m",
    "kind = engine",
    r#"[upstream.e] models = "": allowed is at least one model for an engine"#
)]
#[case::service_with_models(
    "kind = plain_service",
    "kind = plain_service\nmodels = m",
    r#"[upstream.p] models = "m": allowed is none, as only engines have models"#
)]
#[case::port(
    "127.0.0.1:2",
    "127.0.0.1:0",
    r#"[upstream.p] address = "127.0.0.1:0": allowed is an address with a port above 0"#
)]
#[case::output(
    "output_max_tokens = 10",
    "output_max_tokens = 101",
    r#"[model.m] output_max_tokens = "101": allowed is at most context_max_tokens, 100"#
)]
#[case::route_to_engine(
    "upstreams = p",
    "upstreams = e",
    r#"[route.r] upstreams = "e": allowed is upstreams of kind plain_service"#
)]
#[case::route_to_nothing(
    "upstreams = p",
    "upstreams = x",
    r#"[route.r] upstreams = "x": allowed is upstreams that have a section [upstream.x]"#
)]
#[case::route_empty(
    "upstreams = p",
    "upstreams =",
    r#"[route.r] upstreams = "": allowed is at least one plain service"#
)]
#[case::reserved("/r\n", "/v1/chat/x\n",
    r#"[route.r] path_prefix = "/v1/chat/x": allowed is a path that is not under /v1/chat, /v1/completions, /v1/models"#)]
#[case::trailing_slash("/r\n", "/r/\n",
    r#"[route.r] path_prefix = "/r/": allowed is path such as /pickup/slots, without a trailing slash"#)]
#[case::same_prefix(
    "[route.r]",
    "[route.q]\npath_prefix = /r\nupstreams = p\n[route.r]",
    r#"[route.r] path_prefix = "/r": allowed is a path other than that of [route.q]"#
)]
fn sections_are_checked_against_each_other(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    assert!(Document::parse(SMALL).is_ok(), "the base has no fault");
    assert_eq!(faults(&SMALL.replace(old, new)), expected);
}

#[test]
fn digest_belongs_to_one_customer() {
    let digest = format!("sha256:{}", "ab".repeat(32));
    let second = format!(
        "weight = 1\nkey_digests = {digest}\n[customer.d]\nrate_tokens_per_s = 1\n\
         burst_tokens = 1\nweight = 1\nkey_digests = {digest}\n[customer.e]\n\
         rate_tokens_per_s = 10\nburst_tokens = 100\nweight = 1"
    );
    let expected = r#"[customer.d] key_digests = "***": allowed is digests that no other customer has; one also belongs to c"#;
    assert_eq!(faults(&SMALL.replacen("weight = 1", &second, 1)), expected);
}

#[test]
fn text_above_the_store_limit_is_refused() {
    let text = format!("{SMALL}#{}", "x".repeat(DOCUMENT_MAX_BYTES - SMALL.len()));
    let expected = "[]: allowed is a text of at most 1048576 bytes, not 1048577";
    assert_eq!(faults(&text), expected);
    assert!(Document::parse(&text[..DOCUMENT_MAX_BYTES]).is_ok());
}

#[test]
fn masked_credential_is_refused() {
    let masked = Document::parse(TEIFI).expect("valid").masked().to_ini();
    let first = faults(&masked).lines().next().map(str::to_owned);
    let expected = r#"[upstream.booking-1] credential = "***": allowed is 1 to 256 printable ASCII characters without spaces or \, other than ***"#;
    assert_eq!(first.as_deref(), Some(expected));
}

#[test]
fn page_matches_table() {
    assert_eq!(include_str!("../docs/DOCUMENT.md"), document_page());
}

#[test]
fn random_text_never_panics() {
    let text = prop::collection::vec(any::<u8>(), 0..400);
    let property = |bytes: Vec<u8>| {
        let _ = Document::parse(&String::from_utf8_lossy(&bytes));
        Ok(())
    };
    runner(2_000).run(&text, property).expect("no panic");
}

#[test]
fn mutated_examples_never_panic_and_keep_their_meaning() {
    let lines = TEIFI.lines().chain(KYUSHU.lines()).collect::<Vec<_>>();
    let edit = (
        any::<prop::sample::Index>(),
        0..4_u8,
        "[ -~\n\r\\[\\]=#;\\\\é]{0,6}",
    );
    let edits = prop::collection::vec(edit, 0..4);
    let property = |edits: Vec<(prop::sample::Index, u8, String)>| {
        let mut text: Vec<String> = TEIFI.lines().map(str::to_owned).collect();
        for (index, action, noise) in edits {
            let place = index.index(text.len());
            match action {
                0 => text[place] = noise,
                1 => text[place].push_str(&noise),
                2 => text.insert(place, lines[index.index(lines.len())].to_owned()),
                _ => drop(text.remove(place)),
            }
        }
        if let Ok(document) = Document::parse(&text.join("\n")) {
            prop_assert_eq!(Document::parse(&document.to_ini()), Ok(document));
        }
        Ok(())
    };
    runner(500)
        .run(&edits, property)
        .expect("no panic, same meaning");
}

prop_compose! {
    fn customer()(
        key_digests in prop::collection::btree_set(any::<[u8; 32]>(), 0..3),
        rate_tokens_per_s in 1..1_000_000_u64,
        burst_tokens in 1_000..9_999_u64,
        weight in 1..9_u32,
        has_model in any::<bool>(),
        shared_group in prop::option::of("[a-z0-9][a-z0-9._-]{0,9}"),
    ) -> Customer {
        Customer {
            key_digests: key_digests.into_iter().collect(),
            rate_tokens_per_s,
            burst_tokens,
            weight,
            models: if has_model { vec!["m".into()] } else { Vec::new() },
            shared_group,
        }
    }
}

prop_compose! {
    fn upstream()(
        port in 1..=u16::MAX,
        is_engine in any::<bool>(),
        flags in any::<(bool, bool, bool, bool)>(),
        credential in prop::option::of("[!-Z^-~]{4,20}"),
    ) -> Upstream {
        Upstream {
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            availability_zone: "a".into(),
            kind: if is_engine { UpstreamKind::Engine } else { UpstreamKind::KeptCacheStore },
            models: if is_engine { vec!["m".into()] } else { Vec::new() },
            repeatable: flags.0,
            honours_idempotency_key: flags.1,
            fencing: if flags.2 { FencingCheck::Refuses } else { FencingCheck::Ignores },
            credential,
            state: if flags.3 { UpstreamState::Leaving } else { UpstreamState::Serving },
        }
    }
}

prop_compose! {
    fn document()(
        customers in prop::collection::btree_map("[a-z][a-zA-Z0-9._-]{0,9}", customer(), 0..4),
        upstreams in prop::collection::btree_map("[a-z][a-zA-Z0-9._-]{0,9}", upstream(), 0..4),
        cost_tokens in 0..1_000_u64,
        is_open in any::<bool>(),
    ) -> Document {
        let model = Model {
            weight_version: "v1".into(),
            adapter: is_open.then(|| "x".into()),
            context_max_tokens: 1_000,
            output_max_tokens: 10,
        };
        let service = Upstream {
            kind: UpstreamKind::PlainService,
            models: Vec::new(),
            address: SocketAddr::from(([10, 0, 0, 2], 80)),
            availability_zone: "b".into(),
            ..Upstream::default()
        };
        let route = Route {
            path_prefix: "/pickup/slots".into(),
            upstreams: vec!["P".into()],
            access: if is_open { RouteAccess::Open } else { RouteAccess::Key },
            cost_tokens,
        };
        Document {
            environment: "trial".into(),
            customers,
            models: [("m".to_owned(), model)].into(),
            upstreams: upstreams.into_iter().chain([("P".to_owned(), service)]).collect(),
            routes: [("r".to_owned(), route)].into(),
        }
    }
}

#[test]
fn written_document_reads_back_the_same() {
    let property = |document: Document| {
        prop_assert_eq!(Document::parse(&document.to_ini()), Ok(document));
        Ok(())
    };
    runner(500)
        .run(&document(), property)
        .expect("same document");
}
