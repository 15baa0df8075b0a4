//! `celerylever explain`: the story of a request from the logs of several processes.

use std::ffi::OsString;
use std::path::Path;

use celerylever::command;

const FIRST: &str = r#"12.5 front-1 {"msg":"request","level":"INFO","ts":"2026-01-01T00:00:02Z","process":"gateway","vm":"front-1","request_id":"r1","event":"attempt_failed","upstream":"i-1","reason":"no answer in time"}
{"msg":"request","ts":"2026-01-01T00:00:01Z","vm":"front-1","request_id":"r1","event":"placed","upstream":"i-1","attempt":1}
{"msg":"request","ts":"2026-01-01T00:00:01Z","vm":"front-1","request_id":"r2","event":"placed"}
not a line of ours
"#;
const SECOND: &str = r#"{"msg":"request","ts":"2026-01-01T00:00:03Z","vm":"front-2","request_id":"r1","event":"refused","code":2004}
{"msg":"state","ts":"2026-01-01T00:00:04Z","vm":"front-2","event":"lines_left_out","kind":"placed","lines":7}
"#;

fn run(args: &[&str]) -> (u8, String, String) {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let files = [write("one.log", FIRST), write("two.log", SECOND)];
    let all = args.iter().map(OsString::from);
    let all = all.chain(files.iter().map(|path| Path::as_os_str(path).to_owned()));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = command::run(all, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (code, text(out), text(err))
}

#[test]
fn lines_of_all_processes_are_told_in_the_order_of_time() {
    let (code, out, _) = run(&["celerylever", "explain", "r1"]);
    assert_eq!(code, command::OK);
    let expected = "\
time                  vm       event           details
2026-01-01T00:00:01Z  front-1  placed          attempt=1, upstream=i-1
2026-01-01T00:00:02Z  front-1  attempt_failed  reason=no answer in time, upstream=i-1
2026-01-01T00:00:03Z  front-2  refused         code=2004
the processes omitted 7 lines
";
    assert_eq!(out, expected);
}

#[test]
fn json_holds_the_same() {
    let (code, out, _) = run(&["celerylever", "--output", "json", "explain", "r1"]);
    let story: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, story["lines"].as_array().unwrap().len()),
        (command::OK, 3)
    );
    assert_eq!(
        (&story["lines"][2]["vm"], &story["lines_left_out"]),
        (&"front-2".into(), &7.into())
    );
}

#[test]
fn an_unknown_request_is_an_error_that_tells_of_lines_left_out() {
    let (code, _, err) = run(&["celerylever", "explain", "r9"]);
    assert_eq!(code, command::REFUSED);
    assert!(
        err.contains("4007") && err.contains("no log line contains request r9"),
        "{err}"
    );
    assert!(err.contains("omitted 7 lines"), "{err}");
}
