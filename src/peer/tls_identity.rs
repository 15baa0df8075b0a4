//! Certificate of a VM and the TLS configurations built from it.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::ids::VmId;
use crate::settings::PeerSettings;

/// Error of loading a VM's certificate or building a TLS configuration from it.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum TlsIdentityError {
    /// A required setting of the `[peer]` section is missing.
    #[error("[peer] {0} is not set, but peer links require it")]
    MissingSetting(&'static str),
    /// A file cannot be read or is not valid PEM.
    #[error("cannot read {path} as PEM: {message}", path = path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of reading or parsing the file.
        message: String,
    },
    /// A certificate is malformed.
    #[error("malformed certificate: {0}")]
    Malformed(&'static str),
    /// The certificate was issued to another VM.
    #[error("certificate is for VM {found}, expected VM {expected}")]
    VmMismatch {
        /// VM name in the certificate.
        found: VmId,
        /// VM name in the settings.
        expected: VmId,
    },
    /// Certificate, key and authority do not form a valid TLS configuration.
    #[error("invalid TLS configuration: {0}")]
    Tls(String),
}

/// Certificate and key of this VM, and the authority that must have signed the peers' certificates.
#[derive(Debug)]
pub struct TlsIdentity {
    vm: VmId,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    not_after_s: i64,
}

impl TlsIdentity {
    /// Loads the files named in the settings; the certificate must be for `vm`.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is missing, a file is unreadable or malformed, or the
    /// certificate names another VM. An expired certificate is not an error: see
    /// [`TlsIdentity::remaining_validity`].
    pub fn load(settings: &PeerSettings, vm: &str) -> Result<Self, TlsIdentityError> {
        let authority = required_path(&settings.authority, "authority")?;
        let certificate = required_path(&settings.certificate, "certificate")?;
        let key = required_path(&settings.key, "key")?;
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots.add(root).map_err(tls_error)?;
        }
        let chain = read_certificates(certificate)?;
        let key =
            PrivateKeyDer::from_pem_file(key).map_err(|error| unreadable_error(key, &error))?;
        let leaf = chain.first().ok_or(TlsIdentityError::Malformed(
            "the file contains no certificate",
        ))?;
        let (found, not_after_s) = parse_certificate(leaf)?;
        if found != vm {
            let expected = vm.to_owned();
            return Err(TlsIdentityError::VmMismatch { found, expected });
        }
        Ok(Self {
            vm: found,
            chain,
            key,
            roots: Arc::new(roots),
            not_after_s,
        })
    }

    /// Returns the VM's name.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the end of the certificate's validity, in seconds since the Unix epoch.
    pub fn not_after_s(&self) -> i64 {
        self.not_after_s
    }

    /// Returns the remaining validity of the certificate, or `None` once it has expired.
    ///
    /// Certificate validity is the only check that uses wall-clock time.
    pub fn remaining_validity(&self) -> Option<Duration> {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let not_after = u64::try_from(self.not_after_s).unwrap_or_default();
        Duration::from_secs(not_after).checked_sub(since_epoch)
    }

    /// Returns the TLS configuration for connections to peers.
    pub(super) fn client_config(&self) -> Result<QuicClientConfig, TlsIdentityError> {
        let config = ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(tls_error)?;
        config.try_into().map_err(cipher_suite_error)
    }

    /// Returns the TLS configuration for connections from peers.
    pub(super) fn server_config(&self) -> Result<QuicServerConfig, TlsIdentityError> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), crypto_provider())
                .build()
                .map_err(|error| TlsIdentityError::Tls(error.to_string()))?;
        let config = ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(tls_error)?;
        config.try_into().map_err(cipher_suite_error)
    }
}

/// Returns the VM name in a certificate, which the caller must have verified.
pub(super) fn certificate_vm(certificate: &CertificateDer<'_>) -> Option<VmId> {
    parse_certificate(certificate).ok().map(|(vm, _)| vm)
}

fn parse_certificate(certificate: &CertificateDer<'_>) -> Result<(VmId, i64), TlsIdentityError> {
    let (_, certificate) = X509Certificate::from_der(certificate)
        .map_err(|_| TlsIdentityError::Malformed("not an X.509 certificate"))?;
    let name = certificate.subject().iter_common_name().next();
    let name = name
        .and_then(|name| name.as_str().ok())
        .filter(|name| !name.is_empty())
        .ok_or(TlsIdentityError::Malformed("no common name"))?;
    let not_after_s = certificate.validity().not_after.timestamp();
    Ok((name.to_owned(), not_after_s))
}

fn required_path<'a>(
    path: &'a Option<PathBuf>,
    setting: &'static str,
) -> Result<&'a Path, TlsIdentityError> {
    path.as_deref()
        .ok_or(TlsIdentityError::MissingSetting(setting))
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsIdentityError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| unreadable_error(path, &error))
}

fn unreadable_error(path: &Path, error: &impl ToString) -> TlsIdentityError {
    TlsIdentityError::Unreadable {
        path: path.to_path_buf(),
        message: error.to_string(),
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn tls_error(error: rustls::Error) -> TlsIdentityError {
    TlsIdentityError::Tls(error.to_string())
}

fn cipher_suite_error(error: NoInitialCipherSuite) -> TlsIdentityError {
    TlsIdentityError::Tls(error.to_string())
}
