//! Certificate authority that issues the certificates of a fleet's VMs.

use std::net::IpAddr;
use std::time::{Duration, SystemTime};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// Common name in the authority's certificate.
const AUTHORITY_NAME: &str = "celerylever fleet authority";
/// Time by which the start of a certificate's validity is set back, for VMs whose clocks are slow.
const BACKDATE: Duration = Duration::from_secs(3_600);

/// Error of generating, parsing or signing a key or certificate.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("certificate or key error: {0}")]
pub struct AuthorityError(#[from] rcgen::Error);

/// Certificate authority of a fleet.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
}

/// Certificate and private key of one VM.
#[derive(Clone)]
pub struct Issued {
    /// Certificate in PEM format.
    pub certificate_pem: String,
    /// Private key in PEM format.
    pub key_pem: String,
}

impl std::fmt::Debug for Issued {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Issued").finish_non_exhaustive()
    }
}

impl Authority {
    /// Generates a new authority whose certificate is valid for `validity`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn generate(validity: Duration) -> Result<Self, AuthorityError> {
        let key = KeyPair::generate()?;
        let mut params = certificate_params(AUTHORITY_NAME, validity);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate_pem = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate_pem,
        })
    }

    /// Loads an authority from its certificate and private key in PEM format.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate or the key is malformed.
    pub fn from_pem(certificate_pem: &str, key_pem: &str) -> Result<Self, AuthorityError> {
        let key = KeyPair::from_pem(key_pem)?;
        Ok(Self {
            issuer: Issuer::from_ca_cert_pem(certificate_pem, key)?,
            certificate_pem: certificate_pem.to_owned(),
        })
    }

    /// Returns the authority's certificate in PEM format.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the authority's private key in PEM format.
    pub fn key_pem(&self) -> String {
        self.issuer.key().serialize_pem()
    }

    /// Issues a certificate with a new key to a VM whose peers reach it at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn issue(
        &self,
        vm: &str,
        address: IpAddr,
        validity: Duration,
    ) -> Result<Issued, AuthorityError> {
        let key = KeyPair::generate()?;
        let mut params = certificate_params(vm, validity);
        params.subject_alt_names = vec![SanType::IpAddress(address)];
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Issued {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }
}

fn certificate_params(common_name: &str, validity: Duration) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = rcgen::DistinguishedName::new();
    params
        .distinguished_name
        .push(DnType::CommonName, common_name);
    let now = SystemTime::now();
    params.not_before = (now - BACKDATE).into();
    params.not_after = (now + validity).into();
    params
}
