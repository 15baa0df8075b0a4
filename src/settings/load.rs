//! Reading of settings from text and files, with their cross-checks.

use std::io;
use std::path::{Path, PathBuf};

use super::Settings;
use super::table::SECTIONS;
use crate::error::{Code, Fault, Faults};
use crate::ini::parse_sections;

const LEASE_MIN_REQUEST_TIMEOUTS: u32 = 3;

/// Failure to load settings from a file.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Unreadable {
        /// File that was asked for.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text has faults.
    #[error("{path}:\n{faults}", path = path.display())]
    Invalid {
        /// File that was read.
        path: PathBuf,
        /// Every fault in it.
        faults: Faults,
    },
}

impl SettingsError {
    /// Returns the numbered code.
    pub fn code(&self) -> Code {
        Code::SettingsInvalid
    }
}

impl Settings {
    /// Reads settings from INI text; keys left out keep their defaults.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut settings = Self::default();
        let tables: Vec<_> = SECTIONS
            .iter()
            .map(|table| (table.name, table.keys))
            .collect();
        let mut faults = parse_sections(text, &tables, &mut settings);
        if faults.is_empty() {
            cross_check(&settings, &mut faults);
        }
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(Faults(faults)),
        }
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, or every fault in it.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref().to_path_buf();
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                Self::parse(&text).map_err(|faults| SettingsError::Invalid { path, faults })
            }
            Err(source) => Err(SettingsError::Unreadable { path, source }),
        }
    }
}

fn cross_check(settings: &Settings, faults: &mut Vec<Fault>) {
    check_listeners(settings, faults);
    check_lease(settings, faults);
    check_peer_files(settings, faults);
}

fn check_listeners(settings: &Settings, faults: &mut Vec<Fault>) {
    let process = &settings.process;
    if process.caller_address == process.operator_address && process.caller_address.port() != 0 {
        faults.push(fault(
            "process",
            "operator_address",
            Some(process.operator_address.to_string()),
            "an address other than caller_address",
        ));
    }
}

fn check_lease(settings: &Settings, faults: &mut Vec<Fault>) {
    let platform = &settings.platform;
    if platform.lease_ttl <= platform.request_timeout * LEASE_MIN_REQUEST_TIMEOUTS {
        faults.push(fault(
            "platform",
            "lease_ms",
            Some(platform.lease_ttl.as_millis().to_string()),
            "longer than three times request_timeout_ms",
        ));
    }
}

fn check_peer_files(settings: &Settings, faults: &mut Vec<Fault>) {
    let peer = &settings.peer;
    let files = [
        ("authority", &peer.authority),
        ("certificate", &peer.certificate),
        ("key", &peer.key),
    ];
    let is_needed = peer.address.is_some() || files.iter().any(|(_, file)| file.is_some());
    if !is_needed {
        return;
    }
    for (key, file) in files {
        if file.is_none() {
            let allowed = "a path; address, authority, certificate and key stand together";
            faults.push(fault("peer", key, None, allowed));
        }
    }
    if peer.address.is_none() {
        let allowed = "IP:PORT; address, authority, certificate and key stand together";
        faults.push(fault("peer", "address", None, allowed));
    }
}

fn fault(section: &str, key: &str, value: Option<String>, allowed: &str) -> Fault {
    Fault {
        section: section.to_owned(),
        key: Some(key.to_owned()),
        value,
        allowed: allowed.to_owned(),
    }
}
