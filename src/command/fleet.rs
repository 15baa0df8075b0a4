//! The `fleet` commands: creates the certificate authority of a fleet and the key pairs of its VMs.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::IpAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::json;

use super::document_reader;
use super::error::CommandError;
use super::printer::Printer;
use crate::peer::{Authority, AuthorityError};

const AUTHORITY_FILE: &str = "authority.pem";
const AUTHORITY_KEY_FILE: &str = "authority-key.pem";
/// File mode of private keys.
const KEY_MODE: u32 = 0o600;
/// File mode of certificates.
const CERTIFICATE_MODE: u32 = 0o644;
const SECONDS_PER_DAY: u64 = 86_400;

/// Creates the certificate authority of a fleet in a directory that has none.
pub(super) fn init(
    directory: &Path,
    days: u32,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let authority = Authority::generate(validity(days)).map_err(refused_error)?;
    std::fs::create_dir_all(directory).map_err(|source| CommandError::File {
        path: directory.to_path_buf(),
        source,
    })?;
    let key = directory.join(AUTHORITY_KEY_FILE);
    create_file(&key, &authority.key_pem(), KEY_MODE)?;
    let certificate = directory.join(AUTHORITY_FILE);
    create_file(&certificate, authority.certificate_pem(), CERTIFICATE_MODE)?;
    let text = format!(
        "authority: {}\nkey: {}\n\
         Put the authority on every VM; keep its key away from them.",
        certificate.display(),
        key.display(),
    );
    Ok(printer.print_result(&text, json!({ "authority": certificate, "key": key }))?)
}

/// Issues the certificate and private key of a VM.
pub(super) fn issue(
    directory: &Path,
    vm: &str,
    address: IpAddr,
    days: u32,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let authority = document_reader::read_text(&directory.join(AUTHORITY_FILE))?;
    let authority_key = document_reader::read_text(&directory.join(AUTHORITY_KEY_FILE))?;
    let authority = Authority::from_pem(&authority, &authority_key).map_err(refused_error)?;
    let issued = authority
        .issue(vm, address, validity(days))
        .map_err(refused_error)?;
    let key = directory.join(format!("{vm}-key.pem"));
    create_file(&key, &issued.key_pem, KEY_MODE)?;
    let certificate = directory.join(format!("{vm}.pem"));
    create_file(&certificate, &issued.certificate_pem, CERTIFICATE_MODE)?;
    let text = format!(
        "certificate: {}\nkey: {}\nThe certificate is for VM {vm} at {address}.",
        certificate.display(),
        key.display(),
    );
    Ok(printer.print_result(&text, json!({ "certificate": certificate, "key": key }))?)
}

/// Creates a file, and fails if it exists, so that a second run does not overwrite a key.
fn create_file(path: &PathBuf, text: &str, mode: u32) -> Result<(), CommandError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })
}

fn validity(days: u32) -> Duration {
    Duration::from_secs(u64::from(days) * SECONDS_PER_DAY)
}

fn refused_error(error: AuthorityError) -> CommandError {
    CommandError::Refused(error.to_string())
}
