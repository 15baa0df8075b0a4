//! Splitting of a text into sections, and reading of a section by its table of keys.

use std::collections::BTreeSet;

use ini::{Ini, ParseOption};

use super::Key;
use super::rules::MASK;
use super::suggest::known_names;
use crate::error::Fault;

const SHOWN_MAX_CHARS: usize = 80;

/// Section as it stands in the text, with repeated keys kept.
#[derive(Debug, Default)]
pub(crate) struct RawSection {
    /// Name between the brackets.
    pub(crate) name: String,
    /// Keys and values in their order.
    pub(crate) entries: Vec<(String, String)>,
}

/// Returns the text that stands in for a secret value.
pub(crate) fn mask() -> String {
    MASK.to_owned()
}

/// Splits a text into its sections; faults of form are added.
pub(crate) fn split(text: &str, faults: &mut Vec<Fault>) -> Vec<RawSection> {
    let ini = match Ini::load_from_str_opt(text, parse_option()) {
        Ok(ini) => ini,
        Err(error) => {
            faults.push(malformed(&error));
            return Vec::new();
        }
    };
    let mut seen = BTreeSet::new();
    let mut sections = Vec::new();
    for (name, properties) in ini.iter() {
        let entries: Vec<(String, String)> = properties
            .iter()
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        match name {
            None => faults.extend(entries.iter().map(|(key, _)| outside_section(key))),
            Some(name) if !seen.insert(name.to_owned()) => faults.push(repeated_section(name)),
            Some(name) => sections.push(RawSection {
                name: name.to_owned(),
                entries,
            }),
        }
    }
    sections
}

/// Reads a text into `target` by the tables of its sections; returns every fault.
pub(crate) fn read_sections<T>(
    text: &str,
    tables: &[(&'static str, &[Key<T>])],
    target: &mut T,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let sections = split(text, &mut faults);
    for section in &sections {
        if !tables.iter().any(|(name, _)| *name == section.name) {
            let known = tables.iter().map(|(name, _)| *name);
            faults.push(unknown_section(&section.name, known));
        }
    }
    for (name, keys) in tables {
        let absent = RawSection {
            name: (*name).to_owned(),
            ..RawSection::default()
        };
        let section = sections.iter().find(|section| section.name == *name);
        read_keys(section.unwrap_or(&absent), keys, target, &mut faults);
    }
    faults
}

/// Reads a section into `target` by its table; every fault is added.
pub(crate) fn read_keys<T>(
    section: &RawSection,
    keys: &[Key<T>],
    target: &mut T,
    faults: &mut Vec<Fault>,
) {
    let has_secrets = keys.iter().any(Key::is_secret);
    let mut seen = BTreeSet::new();
    for (name, value) in &section.entries {
        let key = keys.iter().find(|key| key.name == name);
        let is_secret = key.map_or(has_secrets, Key::is_secret);
        let shown = if is_secret { mask() } else { shortened(value) };
        let allowed = match key {
            None => format!(
                "a known key, {}",
                known_names(name, keys.iter().map(|key| key.name))
            ),
            Some(_) if !seen.insert(name.as_str()) => "one value for each key".to_owned(),
            Some(key) if key.access.read(target, value).is_none() => key.access.allowed(),
            Some(_) => continue,
        };
        faults.push(Fault {
            section: section.name.clone(),
            key: Some(shortened(name)),
            value: Some(shown),
            allowed,
        });
    }
    for key in keys {
        if key.is_required && !seen.contains(key.name) {
            faults.push(missing(&section.name, key));
        }
    }
}

/// Writes a section by its table, leaving unset keys out.
pub(crate) fn write_keys<T>(name: &str, keys: &[Key<T>], source: &mut T) -> String {
    let mut text = format!("[{name}]\n");
    for key in keys {
        if let Some(value) = key.access.write(source) {
            text.push_str(&format!("{} = {value}\n", key.name));
        }
    }
    text
}

/// Returns the fault of a section that no table knows.
pub(crate) fn unknown_section<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Fault {
    Fault {
        section: shortened(name),
        key: None,
        value: None,
        allowed: format!("a known section, {}", known_names(name, known)),
    }
}

fn parse_option() -> ParseOption {
    ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    }
}

fn malformed(error: &ini::ParseError) -> Fault {
    let (line, column, message) = (error.line, error.col, &error.msg);
    Fault {
        section: String::new(),
        key: None,
        value: None,
        allowed: format!(
            "INI text of [section] and key = value lines; line {line}, column {column}: {message}"
        ),
    }
}

fn outside_section(key: &str) -> Fault {
    Fault {
        section: String::new(),
        key: Some(shortened(key)),
        value: Some(mask()),
        allowed: "a key below a [section] line".to_owned(),
    }
}

fn repeated_section(name: &str) -> Fault {
    Fault {
        section: shortened(name),
        key: None,
        value: None,
        allowed: "each section once".to_owned(),
    }
}

fn missing<T>(section: &str, key: &Key<T>) -> Fault {
    Fault {
        section: section.to_owned(),
        key: Some(key.name.to_owned()),
        value: None,
        allowed: key.access.allowed(),
    }
}

fn shortened(text: &str) -> String {
    match text.char_indices().nth(SHOWN_MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
