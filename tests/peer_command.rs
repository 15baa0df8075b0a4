//! `celerylever fleet`: the files that it makes, and that entries can use them.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/peers.rs"]
mod peers;

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

use celerylever::peer::{PROTOCOL_VERSION, Reply, Request, TlsIdentity, serve};
use celerylever::settings::PeerSettings;
use peers::{LOOPBACK, Vm};
use rstest::rstest;

fn fleet(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celerylever"))
        .arg("fleet")
        .args(arguments)
        .output()
        .unwrap()
}

fn settings(directory: &Path, vm: &str) -> PeerSettings {
    PeerSettings {
        address: Some((LOOPBACK, 0).into()),
        authority: Some(directory.join("authority.pem")),
        certificate: Some(directory.join(format!("{vm}.pem"))),
        key: Some(directory.join(format!("{vm}-key.pem"))),
        ..PeerSettings::default()
    }
}

#[tokio::test]
async fn issued_key_pairs_link_two_vms() {
    let directory = tempfile::tempdir().unwrap();
    let place = directory.path().join("fleet");
    let text = place.to_str().unwrap();
    assert!(fleet(&["init", text]).status.success());
    for vm in ["v0", "v1"] {
        let output = fleet(&["issue", text, vm, "127.0.0.1", "--days", "2"]);
        assert!(output.status.success(), "{output:?}");
    }
    for file in ["authority-key.pem", "v0-key.pem"] {
        let mode = std::fs::metadata(place.join(file)).unwrap().permissions();
        assert_eq!(mode.mode() & 0o777, 0o600);
    }
    let identity = TlsIdentity::load(&settings(&place, "v0"), "v0").unwrap();
    let days = identity.remaining_validity().unwrap().as_secs_f64() / 86_400.0;
    assert!((1.9..=2.0).contains(&days));
    let v0 = Vm::with(settings(&place, "v0"), "v0", PROTOCOL_VERSION);
    let v1 = Vm::with(settings(&place, "v1"), "v1", PROTOCOL_VERSION);
    let handler = |_, _| async { Some(Reply::None) };
    tokio::spawn(serve(v1.links.clone(), handler));
    let request = Request::FetchDocument { above_version: 0 };
    let timeout = std::time::Duration::from_secs(5);
    let reply = v0.links.call(v1.links.address(), request, timeout).await;
    assert_eq!(reply, Ok(Reply::None));
}

#[test]
fn second_run_overwrites_no_key() {
    let directory = tempfile::tempdir().unwrap();
    let text = directory.path().to_str().unwrap();
    assert!(fleet(&["init", text]).status.success());
    let key = directory.path().join("authority-key.pem");
    let before = std::fs::read(&key).unwrap();
    assert!(!fleet(&["init", text]).status.success());
    assert_eq!(std::fs::read(&key).unwrap(), before);
}

#[rstest]
#[case::no_authority("v0", "127.0.0.1")]
#[case::path_in_name("../v0", "127.0.0.1")]
#[case::name_of_the_authority("authority", "127.0.0.1")]
#[case::no_address("v0", "localhost")]
fn bad_issue_is_refused(#[case] vm: &str, #[case] address: &str) {
    let directory = tempfile::tempdir().unwrap();
    let text = directory.path().to_str().unwrap();
    if vm != "v0" || address != "127.0.0.1" {
        assert!(fleet(&["init", text]).status.success());
    }
    let output = fleet(&["issue", text, vm, address]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!directory.path().join(format!("{vm}.pem")).exists() || vm == "authority");
}
