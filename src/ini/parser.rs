//! Splits INI text into sections and parses each section by its table of keys.

use std::collections::BTreeSet;

use ini::{Ini, ParseOption};

use super::Key;
use super::suggest::list_known_names;
use super::value_rules::SECRET_MASK;
use crate::error::Fault;

const DISPLAYED_TEXT_MAX_CHARS: usize = 80;

/// Section of an INI text before its values are parsed; repeated keys are kept.
#[derive(Debug, Default)]
pub(crate) struct RawSection {
    /// Name in the section header, without brackets.
    pub(crate) name: String,
    /// Keys and values in the order of the text.
    pub(crate) entries: Vec<(String, String)>,
}

/// Returns the text that is shown in place of a secret value.
pub(crate) fn mask() -> String {
    SECRET_MASK.to_owned()
}

/// Splits INI text into sections and appends syntax faults to `faults`.
pub(crate) fn split_sections(text: &str, faults: &mut Vec<Fault>) -> Vec<RawSection> {
    let ini = match Ini::load_from_str_opt(text, parse_option()) {
        Ok(ini) => ini,
        Err(error) => {
            faults.push(syntax_fault(&error));
            return Vec::new();
        }
    };
    let mut seen_names = BTreeSet::new();
    let mut sections = Vec::new();
    for (name, properties) in ini.iter() {
        let entries: Vec<(String, String)> = properties
            .iter()
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        match name {
            None => faults.extend(
                entries
                    .iter()
                    .map(|(key, _)| key_outside_section_fault(key)),
            ),
            Some(name) if !seen_names.insert(name.to_owned()) => {
                faults.push(repeated_section_fault(name))
            }
            Some(name) => sections.push(RawSection {
                name: name.to_owned(),
                entries,
            }),
        }
    }
    sections
}

/// Parses INI text into `target` by the tables of its sections and returns all faults.
pub(crate) fn parse_sections<T>(
    text: &str,
    tables: &[(&'static str, &[Key<T>])],
    target: &mut T,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let sections = split_sections(text, &mut faults);
    for section in &sections {
        if !tables.iter().any(|(name, _)| *name == section.name) {
            let known = tables.iter().map(|(name, _)| *name);
            faults.push(unknown_section_fault(&section.name, known));
        }
    }
    for (name, keys) in tables {
        let empty_section = RawSection {
            name: (*name).to_owned(),
            ..RawSection::default()
        };
        let section = sections.iter().find(|section| section.name == *name);
        parse_keys(section.unwrap_or(&empty_section), keys, target, &mut faults);
    }
    faults
}

/// Parses a section into `target` by its table of keys and appends all faults to `faults`.
pub(crate) fn parse_keys<T>(
    section: &RawSection,
    keys: &[Key<T>],
    target: &mut T,
    faults: &mut Vec<Fault>,
) {
    let has_secrets = keys.iter().any(Key::is_secret);
    let mut seen_names = BTreeSet::new();
    for (name, value) in &section.entries {
        let key = keys.iter().find(|key| key.name == name);
        let is_secret = key.map_or(has_secrets, Key::is_secret);
        let displayed_value = if is_secret { mask() } else { truncated(value) };
        let allowed = match key {
            None => format!(
                "a known key, {}",
                list_known_names(name, keys.iter().map(|key| key.name))
            ),
            Some(_) if !seen_names.insert(name.as_str()) => "one value per key".to_owned(),
            Some(key) if key.accessor.parse(target, value).is_none() => key.accessor.allowed(),
            Some(_) => continue,
        };
        faults.push(Fault {
            section: section.name.clone(),
            key: Some(truncated(name)),
            value: Some(displayed_value),
            allowed,
        });
    }
    for key in keys {
        if key.is_required && !seen_names.contains(key.name) {
            faults.push(missing_key_fault(&section.name, key));
        }
    }
}

/// Formats a section by its table of keys, without unset keys.
pub(crate) fn format_section<T>(name: &str, keys: &[Key<T>], source: &mut T) -> String {
    let mut text = format!("[{name}]\n");
    for key in keys {
        if let Some(value) = key.accessor.format(source) {
            text.push_str(&format!("{} = {value}\n", key.name));
        }
    }
    text
}

/// Returns the fault of a section whose name is not in `known`.
pub(crate) fn unknown_section_fault<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Fault {
    Fault {
        section: truncated(name),
        key: None,
        value: None,
        allowed: format!("a known section, {}", list_known_names(name, known)),
    }
}

fn parse_option() -> ParseOption {
    ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    }
}

fn syntax_fault(error: &ini::ParseError) -> Fault {
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

fn key_outside_section_fault(key: &str) -> Fault {
    Fault {
        section: String::new(),
        key: Some(truncated(key)),
        value: Some(mask()),
        allowed: "a key below a [section] line".to_owned(),
    }
}

fn repeated_section_fault(name: &str) -> Fault {
    Fault {
        section: truncated(name),
        key: None,
        value: None,
        allowed: "at most one section with this name".to_owned(),
    }
}

fn missing_key_fault<T>(section: &str, key: &Key<T>) -> Fault {
    Fault {
        section: section.to_owned(),
        key: Some(key.name.to_owned()),
        value: None,
        allowed: key.accessor.allowed(),
    }
}

fn truncated(text: &str) -> String {
    match text.char_indices().nth(DISPLAYED_TEXT_MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
