//! Certificate authority of a fleet.

use std::net::IpAddr;
use std::time::{Duration, SystemTime};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

/// Name of the authority in its certificate.
const AUTHORITY_NAME: &str = "celerylever fleet authority";
/// How far a certificate's start lies in the past, for clocks that are behind.
const BACKDATE: Duration = Duration::from_secs(3_600);

/// Why a certificate could not be made.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("cannot make a certificate: {0}")]
pub struct AuthorityError(#[from] rcgen::Error);

/// Authority that signs the certificates of a fleet's VMs.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
}

/// Certificate and private key of one VM.
#[derive(Clone)]
pub struct Issued {
    /// Certificate, PEM.
    pub certificate_pem: String,
    /// Private key, PEM.
    pub key_pem: String,
}

impl std::fmt::Debug for Issued {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Issued").finish_non_exhaustive()
    }
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// Returns why the key or the certificate could not be made.
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

    /// Reads an authority back.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the certificate or the key.
    pub fn from_pem(certificate_pem: &str, key_pem: &str) -> Result<Self, AuthorityError> {
        let key = KeyPair::from_pem(key_pem)?;
        Ok(Self {
            issuer: Issuer::from_ca_cert_pem(certificate_pem, key)?,
            certificate_pem: certificate_pem.to_owned(),
        })
    }

    /// Returns the authority's certificate.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the authority's private key.
    pub fn key_pem(&self) -> String {
        self.issuer.key().serialize_pem()
    }

    /// Makes the key pair of a VM whose peers reach it at `address`.
    ///
    /// # Errors
    ///
    /// Returns why the key or the certificate could not be made.
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
