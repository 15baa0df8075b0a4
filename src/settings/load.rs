//! Parsing of settings from INI text and files, and checks that involve several keys.

use std::io;
use std::path::{Path, PathBuf};

use super::Settings;
use super::table::SECTIONS;
use crate::error::{Code, Fault, Faults};
use crate::ini::parse_sections;

/// A lease must be longer than this number of store request timeouts.
const LEASE_MIN_REQUEST_TIMEOUTS: u32 = 3;

/// Failure to load settings from a file.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}", path = path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The file contains invalid settings.
    #[error("{path}:\n{faults}", path = path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All faults in the file.
        faults: Faults,
    },
}

impl SettingsError {
    /// Returns the result code of this error.
    pub fn code(&self) -> Code {
        Code::SettingsInvalid
    }
}

impl Settings {
    /// Parses settings from INI text; omitted keys keep their defaults.
    ///
    /// # Errors
    ///
    /// Returns all faults in the text. Keys are checked against each other only if each is valid by
    /// itself.
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
    /// Returns [`SettingsError::Unreadable`] if the file cannot be read, and
    /// [`SettingsError::Invalid`] with all faults if its settings are invalid.
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
            let allowed = "a path; address, authority, certificate and key must be set together";
            faults.push(fault("peer", key, None, allowed));
        }
    }
    if peer.address.is_none() {
        let allowed = "IP:PORT; address, authority, certificate and key must be set together";
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
