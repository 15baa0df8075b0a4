//! Table-driven reader and writer of INI text that reports every fault at once.

mod key;
mod reader;
mod rules;
mod suggest;

pub(crate) use key::{Access, Key};
pub(crate) use reader::{
    RawSection, mask, read_keys, read_sections, split, unknown_section, write_keys,
};
pub(crate) use rules::is_name;
pub use rules::{DIGEST_PREFIX, format_digest, parse_digest};
