//! Differences between two documents, with credentials masked.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::Document;
use super::text::SectionText;
use crate::ini::mask;

/// Kind of difference of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The key is only in the new document.
    Added,
    /// The key is only in the old document.
    Removed,
    /// The key is in both documents, with different values.
    Changed,
}

/// One key that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Change {
    /// Kind of difference.
    pub kind: ChangeKind,
    /// Name of the section that contains the key.
    pub section: String,
    /// Name of the key.
    pub key: String,
    /// Old value, masked if it is a credential; `None` for an added key.
    pub old: Option<String>,
    /// New value, masked if it is a credential; `None` for a removed key.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (old, new) = (self.old.as_deref(), self.new.as_deref());
        let (old, new) = (old.unwrap_or_default(), new.unwrap_or_default());
        let (section, key) = (&self.section, &self.key);
        match self.kind {
            ChangeKind::Added => write!(f, "+ [{section}] {key} = {new}"),
            ChangeKind::Removed => write!(f, "- [{section}] {key} = {old}"),
            ChangeKind::Changed => write!(f, "~ [{section}] {key} = {old} -> {new}"),
        }
    }
}

impl Document {
    /// Returns the differences from this document to `new`, sorted by section and key.
    pub fn changes_to(&self, new: &Document) -> Vec<Change> {
        let (old_values, new_values) = (flatten(self), flatten(new));
        let mut changes = Vec::new();
        for (key_path, old) in &old_values {
            match new_values.get(key_path) {
                None => changes.push(change(ChangeKind::Removed, key_path, Some(old), None)),
                Some(new) if new.value != old.value => {
                    changes.push(change(ChangeKind::Changed, key_path, Some(old), Some(new)));
                }
                Some(_) => {}
            }
        }
        for (key_path, new) in &new_values {
            if !old_values.contains_key(key_path) {
                changes.push(change(ChangeKind::Added, key_path, None, Some(new)));
            }
        }
        changes
            .sort_by(|left, right| (&left.section, &left.key).cmp(&(&right.section, &right.key)));
        changes
    }
}

/// Section name and key name.
type KeyPath = (String, &'static str);

struct KeyValue {
    value: String,
    is_credential: bool,
}

fn flatten(document: &Document) -> BTreeMap<KeyPath, KeyValue> {
    document
        .sections()
        .into_iter()
        .flat_map(key_values)
        .collect()
}

fn key_values(section: SectionText) -> impl Iterator<Item = (KeyPath, KeyValue)> {
    let name = section.name;
    section.values.into_iter().map(move |text| {
        let value = KeyValue {
            value: text.value,
            is_credential: text.is_credential,
        };
        ((name.clone(), text.key), value)
    })
}

fn change(
    kind: ChangeKind,
    key_path: &KeyPath,
    old: Option<&KeyValue>,
    new: Option<&KeyValue>,
) -> Change {
    Change {
        kind,
        section: key_path.0.clone(),
        key: key_path.1.to_owned(),
        old: old.map(displayed_value),
        new: new.map(displayed_value),
    }
}

fn displayed_value(value: &KeyValue) -> String {
    match value.is_credential {
        true => mask(),
        false => value.value.clone(),
    }
}
