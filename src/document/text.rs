//! Parser and writer of the document's INI text, and the reference page of its keys.

use std::collections::BTreeMap;

use super::check::cross_check;
use super::table::{CUSTOMER_KEYS, DOCUMENT_KEYS, MODEL_KEYS, ROUTE_KEYS, UPSTREAM_KEYS};
use super::{Document, Upstream};
use crate::error::{Fault, Faults};
use crate::ini::{
    Accessor, Key, RawSection, format_section, is_name, mask, parse_keys, split_sections,
    unknown_section_fault,
};

/// Maximum length of the text, as limited by the platform's store.
pub const DOCUMENT_MAX_BYTES: usize = 1_048_576;

const SECTIONS: [&str; 5] = [
    "document",
    "customer.NAME",
    "model.NAME",
    "upstream.NAME",
    "route.NAME",
];
const PAGE_HEAD: &str = "# Operators' document\n\nGenerated from `src/document/table.rs` by `celerylever document-page`; a test compares the two.\n\
One INI text for each environment. All faults are reported together; unknown sections and keys are\nrefused, and so is a text above 1,048,576 bytes.\n";
const PAGE_TAIL: &str = "\n## Checks across sections\n\n\
- Names are 1 to 64 letters, digits, `.`, `_` or `-`, starting with a letter or digit.\n\
- Models of customers and engines, and upstreams of routes, exist.\n\
- One digest belongs to one customer; plain keys are not allowed in the document.\n\
- A customer's `burst_tokens` is at least the largest `context_max_tokens` of its models, and at least the `cost_tokens` of each route that needs a key.\n\
- `output_max_tokens` is at most `context_max_tokens`.\n\
- Engines have models; other upstreams have none. Addresses have a port.\n\
- Routes name plain services; their prefixes are unique and not under `/v1/chat`, `/v1/completions` or `/v1/models`.\n";

impl Document {
    /// Parses a document from its INI text.
    ///
    /// # Errors
    ///
    /// Returns the faults of the text; those across sections only if each section is valid.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        if text.len() > DOCUMENT_MAX_BYTES {
            return Err(Faults(vec![too_large(text.len())]));
        }
        let mut faults = Vec::new();
        let mut document = Self::default();
        let sections = split_sections(text, &mut faults);
        let mut has_document_section = false;
        for section in &sections {
            has_document_section |= section.name == "document";
            read_section(section, &mut document, &mut faults);
        }
        if !has_document_section {
            let absent = RawSection {
                name: "document".to_owned(),
                ..RawSection::default()
            };
            read_section(&absent, &mut document, &mut faults);
        }
        if faults.is_empty() {
            cross_check(&document, &mut faults);
        }
        match faults.is_empty() {
            true => Ok(document),
            false => Err(Faults(faults)),
        }
    }

    /// Returns the document as INI text, including its credentials.
    pub fn to_ini(&self) -> String {
        self.sections()
            .iter()
            .map(|section| section.text.as_str())
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Returns a copy of the document with each credential replaced by a mask.
    pub fn masked(&self) -> Self {
        let mut masked = self.clone();
        for upstream in masked.upstreams.values_mut() {
            upstream.credential = upstream.credential.as_ref().map(|_| mask());
        }
        masked
    }

    /// Returns the text of each section, in the order of the document.
    pub(super) fn sections(&self) -> Vec<SectionText> {
        let mut document = self.clone();
        let mut sections = vec![SectionText::new(
            "document".to_owned(),
            DOCUMENT_KEYS,
            &mut document,
        )];
        push_sections("customer", CUSTOMER_KEYS, &self.customers, &mut sections);
        push_sections("model", MODEL_KEYS, &self.models, &mut sections);
        push_sections("upstream", UPSTREAM_KEYS, &self.upstreams, &mut sections);
        push_sections("route", ROUTE_KEYS, &self.routes, &mut sections);
        sections
    }
}

/// Text of one section, whole and key by key.
pub(super) struct SectionText {
    /// Section name, without the brackets.
    pub(super) name: String,
    /// Keys that have a value.
    pub(super) values: Vec<KeyText>,
    text: String,
}

/// Text of one key.
pub(super) struct KeyText {
    /// Name of the key.
    pub(super) key: &'static str,
    /// Value as it appears in the text.
    pub(super) value: String,
    /// Whether the value is a credential.
    pub(super) is_credential: bool,
}

impl SectionText {
    fn new<T>(name: String, keys: &'static [Key<T>], source: &mut T) -> Self {
        let text = format_section(&name, keys, source);
        let values = keys
            .iter()
            .filter_map(|key| {
                Some(KeyText {
                    key: key.name,
                    value: key.accessor.format(source)?,
                    is_credential: matches!(key.accessor, Accessor::Credential(_)),
                })
            })
            .collect();
        Self { name, values, text }
    }
}

/// Returns the text of `docs/DOCUMENT.md`.
pub fn document_page() -> String {
    let mut page = PAGE_HEAD.to_owned();
    page.push_str(&page_section(
        SECTIONS[0],
        DOCUMENT_KEYS,
        &mut Document::default(),
    ));
    page.push_str(&page_section(
        SECTIONS[1],
        CUSTOMER_KEYS,
        &mut Default::default(),
    ));
    page.push_str(&page_section(
        SECTIONS[2],
        MODEL_KEYS,
        &mut Default::default(),
    ));
    page.push_str(&page_section(
        SECTIONS[3],
        UPSTREAM_KEYS,
        &mut Upstream::default(),
    ));
    page.push_str(&page_section(
        SECTIONS[4],
        ROUTE_KEYS,
        &mut Default::default(),
    ));
    page.push_str(PAGE_TAIL);
    page
}

fn page_section<T>(name: &str, keys: &[Key<T>], defaults: &mut T) -> String {
    let mut text = format!("\n## `[{name}]`\n\n");
    text.push_str("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n");
    for key in keys {
        text.push_str(&key.page_row(defaults));
    }
    text
}

fn push_sections<T: Clone>(
    prefix: &str,
    keys: &'static [Key<T>],
    items: &BTreeMap<String, T>,
    sections: &mut Vec<SectionText>,
) {
    for (name, item) in items {
        sections.push(SectionText::new(
            format!("{prefix}.{name}"),
            keys,
            &mut item.clone(),
        ));
    }
}

fn read_section(section: &RawSection, document: &mut Document, faults: &mut Vec<Fault>) {
    match section.name.split_once('.') {
        None if section.name == "document" => parse_keys(section, DOCUMENT_KEYS, document, faults),
        Some(("customer", name)) => {
            read_named_section(
                section,
                name,
                CUSTOMER_KEYS,
                &mut document.customers,
                faults,
            );
        }
        Some(("model", name)) => {
            read_named_section(section, name, MODEL_KEYS, &mut document.models, faults)
        }
        Some(("upstream", name)) => {
            read_named_section(
                section,
                name,
                UPSTREAM_KEYS,
                &mut document.upstreams,
                faults,
            );
        }
        Some(("route", name)) => {
            read_named_section(section, name, ROUTE_KEYS, &mut document.routes, faults)
        }
        _ => faults.push(unknown_section_fault(&section.name, SECTIONS.into_iter())),
    }
}

fn read_named_section<T: Default>(
    section: &RawSection,
    name: &str,
    keys: &[Key<T>],
    items: &mut BTreeMap<String, T>,
    faults: &mut Vec<Fault>,
) {
    if !is_name(name) {
        faults.push(Fault {
            section: section.name.clone(),
            key: None,
            value: None,
            allowed: format!("a name of {}", Accessor::<T>::NAME_ALLOWED),
        });
    }
    let mut item = T::default();
    parse_keys(section, keys, &mut item, faults);
    items.insert(name.to_owned(), item);
}

fn too_large(bytes: usize) -> Fault {
    Fault {
        section: String::new(),
        key: None,
        value: None,
        allowed: format!("a text of at most {DOCUMENT_MAX_BYTES} bytes, not {bytes}"),
    }
}
