//! Table-driven parser and formatter of INI text that reports all faults at once.

mod key;
mod parser;
mod suggest;
mod value_rules;

pub(crate) use key::{Accessor, Key};
pub(crate) use parser::{
    RawSection, format_section, mask, parse_keys, parse_sections, split_sections,
    unknown_section_fault,
};
pub(crate) use value_rules::is_name;
pub use value_rules::{DIGEST_PREFIX, format_digest, parse_digest};
