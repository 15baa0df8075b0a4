//! Links of two fleets for tests, and a raw connection that breaks the protocol.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use celerylever::clock::SystemClock;
use celerylever::peer::{
    Authority, Links, LinksSettings, PROTOCOL_VERSION, REQUESTS_PER_S, TlsIdentity,
};
use celerylever::settings::PeerSettings;
use celerylever::telemetry::Telemetry;

pub(crate) const VALIDITY: Duration = Duration::from_secs(3_600);
pub(crate) const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Authority with its files in a directory of their own.
pub(crate) struct Certificates {
    pub(crate) authority: Authority,
    pub(crate) directory: tempfile::TempDir,
}

impl Certificates {
    pub(crate) fn new() -> Self {
        let authority = Authority::generate(VALIDITY).unwrap();
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("authority.pem");
        std::fs::write(path, authority.certificate_pem()).unwrap();
        Self {
            authority,
            directory,
        }
    }

    /// Makes a VM's files and returns settings that name them.
    pub(crate) fn issue(&self, vm: &str, validity: Duration) -> PeerSettings {
        let issued = self.authority.issue(vm, LOOPBACK, validity).unwrap();
        let path = |name: String| self.directory.path().join(name);
        let certificate = path(format!("{vm}.pem"));
        let key = path(format!("{vm}-key.pem"));
        std::fs::write(&certificate, issued.certificate_pem).unwrap();
        std::fs::write(&key, issued.key_pem).unwrap();
        PeerSettings {
            address: Some(SocketAddr::new(LOOPBACK, 0)),
            authority: Some(path("authority.pem".to_owned())),
            certificate: Some(certificate),
            key: Some(key),
            ..PeerSettings::default()
        }
    }
}

/// One VM's links with its counters.
pub(crate) struct Vm {
    pub(crate) links: Links,
    pub(crate) telemetry: Telemetry,
    pub(crate) settings: PeerSettings,
}

impl Vm {
    pub(crate) fn new(certificates: &Certificates, name: &str) -> Self {
        Self::with(certificates.issue(name, VALIDITY), name, PROTOCOL_VERSION)
    }

    pub(crate) fn with(settings: PeerSettings, name: &str, protocol_version: u16) -> Self {
        Self::with_rate(settings, name, protocol_version, REQUESTS_PER_S)
    }

    pub(crate) fn with_rate(
        settings: PeerSettings,
        name: &str,
        protocol_version: u16,
        requests_per_s: u64,
    ) -> Self {
        let telemetry = Telemetry::new();
        let links = Links::bind(LinksSettings {
            identity: TlsIdentity::load(&settings, name).unwrap(),
            peer: settings.clone(),
            protocol_version,
            requests_per_s,
            clock: SystemClock::shared(),
            metrics: telemetry.metrics(),
        });
        Self {
            links: links.unwrap(),
            telemetry,
            settings,
        }
    }

    /// Returns the messages dropped for a reason.
    pub(crate) fn dropped(&self, reason: &str) -> u64 {
        let label = format!("reason=\"{reason}\"");
        let text = self.telemetry.render();
        let mut lines = text
            .lines()
            .filter(|line| line.contains("peer_messages_dropped") && line.contains(&label));
        lines.next().map_or(0, |line| {
            line.rsplit(' ').next().unwrap().parse::<f64>().unwrap() as u64
        })
    }
}

/// Connects as a VM without the library's own checks.
pub(crate) async fn raw_connection(settings: &PeerSettings, to: SocketAddr) -> quinn::Connection {
    use rustls_pki_types::pem::PemObject;
    use rustls_pki_types::{CertificateDer, PrivateKeyDer};
    let read = |path: &Option<std::path::PathBuf>| -> Vec<CertificateDer<'static>> {
        let path: &Path = path.as_ref().unwrap();
        let certificates = CertificateDer::pem_file_iter(path).unwrap();
        certificates.map(Result::unwrap).collect()
    };
    let mut roots = rustls::RootCertStore::empty();
    for root in read(&settings.authority) {
        roots.add(root).unwrap();
    }
    let key = PrivateKeyDer::from_pem_file(settings.key.as_ref().unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(read(&settings.certificate), key)
        .unwrap();
    let tls = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    let endpoint = quinn::Endpoint::client(SocketAddr::new(LOOPBACK, 0)).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(tls));
    let connecting = endpoint.connect_with(config, to, "127.0.0.1").unwrap();
    connecting.await.unwrap()
}
