//! Links between VMs: identity, bounds, and replacement of silent connections.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/peers.rs"]
mod peers;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celerylever::peer::{
    CallError, Caller, PROTOCOL_VERSION, Reply, Request, TlsIdentity, TlsIdentityError, serve,
};
use peers::{Certificates, VALIDITY, Vm, raw_connection};
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(20);

fn fetch(above_version: u64) -> Request {
    Request::FetchDocument { above_version }
}

/// Answers each request with the name of the VM that sent it.
fn serve_names(vm: &Vm) {
    let handler = |caller: Caller, _request| async move {
        Some(Reply::Document {
            version: 1,
            text: caller.vm,
        })
    };
    tokio::spawn(serve(vm.links.clone(), handler));
}

async fn until(what: &str, done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, wait).await.expect(what);
}

#[tokio::test]
async fn caller_is_named_by_its_certificate() {
    let fleet = Certificates::new();
    let (v0, v1) = (Vm::new(&fleet, "v0"), Vm::new(&fleet, "v1"));
    serve_names(&v1);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    let expected = Reply::Document {
        version: 1,
        text: "v0".to_owned(),
    };
    assert_eq!(reply, Ok(expected));
}

#[tokio::test]
async fn vm_of_another_authority_is_dropped_by_either_side() {
    let (fleet, other) = (Certificates::new(), Certificates::new());
    let (v0, v1) = (Vm::new(&fleet, "v0"), Vm::new(&other, "v1"));
    serve_names(&v1);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
    assert_eq!(v0.dropped("foreign"), 1);
    until("the server counts", || v1.dropped("foreign") == 1).await;
}

/// A caller that trusts the fleet but is not of it.
#[tokio::test]
async fn caller_of_another_authority_is_dropped() {
    let (fleet, other) = (Certificates::new(), Certificates::new());
    let v1 = Vm::new(&fleet, "v1");
    serve_names(&v1);
    let mut settings = other.issue("v0", VALIDITY);
    settings.authority = v1.settings.authority.clone();
    let v0 = Vm::with(settings, "v0", PROTOCOL_VERSION);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
    until("the server counts", || v1.dropped("foreign") == 1).await;
}

#[tokio::test]
async fn expired_certificate_is_known_at_load_and_refused() {
    let fleet = Certificates::new();
    let settings = fleet.issue("v0", Duration::ZERO);
    let identity = TlsIdentity::load(&settings, "v0").unwrap();
    assert_eq!(identity.remaining_validity(), None);
    let valid = fleet.issue("v1", VALIDITY);
    let remaining_validity = TlsIdentity::load(&valid, "v1")
        .unwrap()
        .remaining_validity()
        .unwrap();
    assert!(remaining_validity > VALIDITY / 2 && remaining_validity <= VALIDITY);
    // Validity is counted in whole seconds.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let v0 = Vm::with(settings, "v0", PROTOCOL_VERSION);
    let text = v0.telemetry.render();
    assert!(
        text.contains("celerylever_peer_certificate_expiry_seconds{"),
        "{text}"
    );
    let v1 = Vm::new(&fleet, "v1");
    serve_names(&v1);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
}

#[test]
fn certificate_of_another_vm_is_refused_at_load() {
    let fleet = Certificates::new();
    let settings = fleet.issue("v0", VALIDITY);
    let error = TlsIdentity::load(&settings, "v1").unwrap_err();
    assert!(
        matches!(error, TlsIdentityError::VmMismatch { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn certificate_of_another_address_is_refused() {
    let fleet = Certificates::new();
    let mut settings = fleet.issue("v1", VALIDITY);
    let elsewhere = "127.0.0.2".parse().unwrap();
    let issued = fleet.authority.issue("v1", elsewhere, VALIDITY).unwrap();
    std::fs::write(
        settings.certificate.as_ref().unwrap(),
        issued.certificate_pem,
    )
    .unwrap();
    std::fs::write(settings.key.as_ref().unwrap(), issued.key_pem).unwrap();
    settings.address = Some("127.0.0.1:0".parse().unwrap());
    let (v0, v1) = (
        Vm::new(&fleet, "v0"),
        Vm::with(settings, "v1", PROTOCOL_VERSION),
    );
    serve_names(&v1);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
}

#[tokio::test]
async fn other_protocol_version_is_turned_away_unsent() {
    let fleet = Certificates::new();
    let v1 = Vm::new(&fleet, "v1");
    serve_names(&v1);
    let settings = fleet.issue("v0", VALIDITY);
    let v0 = Vm::with(settings, "v0", PROTOCOL_VERSION + 1);
    let reply = v0.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
    assert_eq!(v1.dropped("foreign"), 1);
}

#[rstest]
#[case::malformed(vec![0xff; 16], "malformed")]
#[case::oversized(vec![0; 64 * 1_024 + 1], "oversized")]
#[case::trailing_bytes({
    let mut bytes = postcard::to_stdvec(&fetch(0)).unwrap();
    bytes.push(0);
    bytes
}, "malformed")]
#[tokio::test]
async fn bad_message_is_counted_and_the_connection_goes_on(
    #[case] message: Vec<u8>,
    #[case] reason: &str,
) {
    let fleet = Certificates::new();
    let v1 = Vm::new(&fleet, "v1");
    serve_names(&v1);
    let connection = raw_connection(&fleet.issue("v0", VALIDITY), v1.links.address()).await;
    greet(&connection).await;
    let answer = send(&connection, &message).await;
    assert!(answer.is_none());
    assert_eq!(v1.dropped(reason), 1);
    let message = postcard::to_stdvec(&fetch(0)).unwrap();
    assert!(send(&connection, &message).await.is_some());
}

#[tokio::test]
async fn peer_above_its_rate_is_dropped_and_others_are_served() {
    let fleet = Certificates::new();
    let settings = fleet.issue("v1", VALIDITY);
    let v1 = Vm::with_rate(settings, "v1", PROTOCOL_VERSION, 1);
    let v2 = Vm::new(&fleet, "v2");
    serve_names(&v1);
    let connection = raw_connection(&fleet.issue("v0", VALIDITY), v1.links.address()).await;
    greet(&connection).await;
    let message = postcard::to_stdvec(&fetch(0)).unwrap();
    let flood = (0..256).map(|_| send(&connection, &message));
    futures_util::future::join_all(flood).await;
    assert!(v1.dropped("rate_exceeded") > 200);
    let reply = v2.links.call(v1.links.address(), fetch(0), TIMEOUT).await;
    assert!(reply.is_ok(), "{reply:?}");
}

#[tokio::test]
async fn unreachable_peer_is_not_sent_to() {
    let fleet = Certificates::new();
    let v0 = Vm::new(&fleet, "v0");
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let silent = socket.local_addr().unwrap();
    let timeout = Duration::from_millis(200);
    let reply = v0.links.call(silent, fetch(0), timeout).await;
    assert!(matches!(reply, Err(CallError::NotSent(_))), "{reply:?}");
}

#[tokio::test]
async fn silent_connection_is_replaced_by_one_from_another_port() {
    let fleet = Certificates::new();
    let (v0, v1) = (Vm::new(&fleet, "v0"), Vm::new(&fleet, "v1"));
    serve_names(&v1);
    let relay = Relay::start(v1.links.address()).await;
    let call = || v0.links.call(relay.address, fetch(0), TIMEOUT);
    assert!(call().await.is_ok());
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    relay.forget_known_sources();
    let short = Duration::from_millis(300);
    let reply = v0.links.call(relay.address, fetch(0), short).await;
    assert!(matches!(reply, Err(CallError::Unknown(_))), "{reply:?}");
    let reply = call().await;
    assert!(reply.is_ok(), "{reply:?}");
}

async fn greet(connection: &quinn::Connection) {
    let mut hello = connection.open_uni().await.unwrap();
    hello
        .write_all(&PROTOCOL_VERSION.to_be_bytes())
        .await
        .unwrap();
    hello.finish().unwrap();
}

/// Sends a message and returns the answer; nothing where it was dropped.
async fn send(connection: &quinn::Connection, message: &[u8]) -> Option<Vec<u8>> {
    let (mut send, mut receive) = connection.open_bi().await.unwrap();
    let _ = send.write_all(message).await;
    let _ = send.finish();
    receive.read_to_end(1_024).await.ok()
}

/// Path between two VMs that can lose track of the sources it knows.
struct Relay {
    address: SocketAddr,
    forget: watch::Sender<u64>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        let (forget, forgotten) = watch::channel(0);
        tokio::spawn(async move {
            let mut paths: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut lost: HashSet<SocketAddr> = HashSet::new();
            let mut seen = 0;
            let mut buffer = vec![0; 65_536];
            loop {
                let (length, source) = socket.recv_from(&mut buffer).await.unwrap();
                if *forgotten.borrow() != seen {
                    seen = *forgotten.borrow();
                    lost.extend(paths.drain().map(|(source, _)| source));
                }
                if lost.contains(&source) {
                    continue;
                }
                let path = match paths.get(&source) {
                    Some(path) => path.clone(),
                    None => Self::path(to, source, &socket, &forgotten).await,
                };
                let _ = path.send(&buffer[..length]).await;
                paths.insert(source, path);
            }
        });
        Self { address, forget }
    }

    /// Makes the way of one source, whose answers are dropped once it is forgotten.
    async fn path(
        to: SocketAddr,
        source: SocketAddr,
        socket: &Arc<UdpSocket>,
        forgotten: &watch::Receiver<u64>,
    ) -> Arc<UdpSocket> {
        let path = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        path.connect(to).await.unwrap();
        let (back, socket, forgotten) = (path.clone(), socket.clone(), forgotten.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            let born = *forgotten.borrow();
            while let Ok(length) = back.recv(&mut buffer).await {
                if *forgotten.borrow() == born {
                    let _ = socket.send_to(&buffer[..length], source).await;
                }
            }
        });
        path
    }

    fn forget_known_sources(&self) {
        self.forget.send_modify(|count| *count += 1);
    }
}
