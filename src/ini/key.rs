//! Declaration of an INI key and of the struct field that stores its value.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use super::value_rules;
use crate::document::KeyDigest;

const DIGESTS_ALLOWED: &str = "comma-separated list of distinct digests, each sha256: and 64 hex \
                               digits; never a plain key (`celerylever key new` prints a digest)";

/// Key of an INI section whose values are stored in a `T`.
pub(crate) struct Key<T: 'static> {
    /// Name of the key in the INI text.
    pub(crate) name: &'static str,
    /// Unit of the value; empty if it has none.
    pub(crate) unit: &'static str,
    /// Whether the section must contain the key.
    pub(crate) is_required: bool,
    /// Type of the value and the field that stores it.
    pub(crate) accessor: Accessor<T>,
    /// One-line explanation for the generated page.
    pub(crate) meaning: &'static str,
}

type Field<T, V> = fn(&mut T) -> &mut V;

/// Type of a value, its allowed range and the field that stores it.
pub(crate) enum Accessor<T: 'static> {
    Name(Field<T, String>),
    OptionalName(Field<T, Option<String>>),
    Names(Field<T, Vec<String>>),
    /// List whose entries another program chooses; unknown ones must not be faults.
    Labels(Field<T, Vec<String>>),
    Credential(Field<T, Option<String>>),
    PathPrefix(Field<T, String>),
    U64(RangeInclusive<u64>, Field<T, u64>),
    U32(RangeInclusive<u64>, Field<T, u32>),
    Usize(RangeInclusive<u64>, Field<T, usize>),
    Millis(RangeInclusive<u64>, Field<T, Duration>),
    Seconds(RangeInclusive<u64>, Field<T, Duration>),
    Fraction(Field<T, f64>),
    OptionalFraction(Field<T, Option<f64>>),
    /// Value of another type with decimal places, which are dropped.
    RoundedDown(&'static Accessor<T>),
    Address(Field<T, SocketAddr>),
    OptionalAddress(Field<T, Option<SocketAddr>>),
    Addresses(Field<T, Vec<SocketAddr>>),
    FilePath(Field<T, Option<PathBuf>>),
    Flag(Field<T, bool>),
    KeyDigests(Field<T, Vec<KeyDigest>>),
    Choice {
        names: &'static [&'static str],
        get: fn(&T) -> usize,
        set: fn(&mut T, usize),
    },
}

impl<T> Key<T> {
    /// Returns whether the value must be masked in output.
    pub(crate) fn is_secret(&self) -> bool {
        matches!(
            self.accessor,
            Accessor::Credential(_) | Accessor::KeyDigests(_)
        )
    }

    /// Returns the table row of the key for a generated Markdown page.
    pub(crate) fn page_row(&self, defaults: &mut T) -> String {
        let default = match self.accessor.format(defaults) {
            _ if self.is_required => "required".to_owned(),
            Some(value) => format!("`{value}`"),
            None => "none".to_owned(),
        };
        let allowed = self.accessor.allowed();
        format!(
            "| `{}` | {} | {default} | {allowed} | {} |\n",
            self.name, self.unit, self.meaning
        )
    }
}

impl<T> Accessor<T> {
    /// Description of a valid name.
    pub(crate) const NAME_ALLOWED: &'static str =
        "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";

    /// Returns a description of the allowed values.
    pub(crate) fn allowed(&self) -> String {
        match self {
            Self::Name(_) | Self::OptionalName(_) => Self::NAME_ALLOWED.into(),
            Self::Names(_) => "comma-separated list of distinct names".into(),
            Self::Labels(_) => "comma-separated list, possibly empty".into(),
            Self::Credential(_) => {
                "1 to 256 printable ASCII characters without spaces or \\, other than ***".into()
            }
            Self::PathPrefix(_) => "path such as /pickup/slots, without a trailing slash".into(),
            Self::U64(range, _)
            | Self::U32(range, _)
            | Self::Usize(range, _)
            | Self::Millis(range, _)
            | Self::Seconds(range, _) => {
                format!("whole number from {} to {}", range.start(), range.end())
            }
            Self::Fraction(_) | Self::OptionalFraction(_) => "number from 0 to 1".into(),
            Self::RoundedDown(accessor) => format!(
                "{}; decimal places are dropped",
                accessor.allowed().replace("whole number", "number")
            ),
            Self::Address(_) | Self::OptionalAddress(_) => "IP address and port as IP:PORT".into(),
            Self::Addresses(_) => "comma-separated list of distinct IP:PORT".into(),
            Self::FilePath(_) => "path of a file".into(),
            Self::Flag(_) => "true or false".into(),
            Self::KeyDigests(_) => DIGESTS_ALLOWED.into(),
            Self::Choice { names, .. } => format!("one of {}", names.join(", ")),
        }
    }

    /// Parses `text` into the field; returns `None` if the value is not allowed.
    pub(crate) fn parse(&self, target: &mut T, text: &str) -> Option<()> {
        match self {
            Self::Name(field) => *field(target) = validated(text, value_rules::is_name)?,
            Self::OptionalName(field) => {
                *field(target) = Some(validated(text, value_rules::is_name)?)
            }
            Self::Names(field) => {
                *field(target) = parse_list(text, |part| validated(part, value_rules::is_name))?;
            }
            Self::Labels(field) => {
                let labels = text.split(',').map(str::trim);
                let labels = labels.filter(|label| !label.is_empty());
                *field(target) = labels.map(str::to_owned).collect();
            }
            Self::Credential(field) => {
                *field(target) = Some(validated(text, value_rules::is_credential)?)
            }
            Self::PathPrefix(field) => {
                *field(target) = validated(text, value_rules::is_path_prefix)?
            }
            Self::U64(range, field) => *field(target) = parse_in_range(text, range)?,
            Self::U32(range, field) => {
                *field(target) = parse_in_range(text, range)?.try_into().ok()?
            }
            Self::Usize(range, field) => {
                *field(target) = parse_in_range(text, range)?.try_into().ok()?
            }
            Self::Millis(range, field) => {
                *field(target) = Duration::from_millis(parse_in_range(text, range)?);
            }
            Self::Seconds(range, field) => {
                *field(target) = Duration::from_secs(parse_in_range(text, range)?);
            }
            Self::Fraction(field) => *field(target) = parse_fraction(text)?,
            Self::OptionalFraction(field) => *field(target) = Some(parse_fraction(text)?),
            Self::RoundedDown(accessor) => accessor.parse(target, without_decimal_places(text)?)?,
            Self::Address(field) => *field(target) = text.parse().ok()?,
            Self::OptionalAddress(field) => *field(target) = Some(text.parse().ok()?),
            Self::Addresses(field) => *field(target) = parse_list(text, |part| part.parse().ok())?,
            Self::FilePath(field) => {
                *field(target) = Some(validated(text, value_rules::is_path)?.into());
            }
            Self::Flag(field) => *field(target) = text.parse().ok()?,
            Self::KeyDigests(field) => {
                *field(target) = parse_list(text, value_rules::parse_digest)?
            }
            Self::Choice { names, set, .. } => {
                set(target, names.iter().position(|name| *name == text)?);
            }
        }
        Some(())
    }

    /// Formats the value of the field; returns `None` if it is unset.
    pub(crate) fn format(&self, source: &mut T) -> Option<String> {
        match self {
            Self::Name(field) | Self::PathPrefix(field) => non_empty(field(source).clone()),
            Self::OptionalName(field) | Self::Credential(field) => field(source).clone(),
            Self::Names(field) | Self::Labels(field) => non_empty(field(source).join(", ")),
            Self::U64(_, field) => Some(field(source).to_string()),
            Self::U32(_, field) => Some(field(source).to_string()),
            Self::Usize(_, field) => Some(field(source).to_string()),
            Self::Millis(_, field) => Some(field(source).as_millis().to_string()),
            Self::Seconds(_, field) => Some(field(source).as_secs().to_string()),
            Self::Fraction(field) => Some(field(source).to_string()),
            Self::OptionalFraction(field) => field(source).map(|share| share.to_string()),
            Self::RoundedDown(accessor) => accessor.format(source),
            Self::Address(field) => Some(field(source).to_string()),
            Self::OptionalAddress(field) => field(source).map(|address| address.to_string()),
            Self::Addresses(field) => non_empty(format_list(field(source), SocketAddr::to_string)),
            Self::FilePath(field) => field(source)
                .as_ref()
                .map(|path| path.display().to_string()),
            Self::Flag(field) => Some(field(source).to_string()),
            Self::KeyDigests(field) => {
                non_empty(format_list(field(source), value_rules::format_digest))
            }
            Self::Choice { names, get, .. } => names.get(get(source)).map(|name| (*name).into()),
        }
    }
}

fn validated(text: &str, rule: fn(&str) -> bool) -> Option<String> {
    rule(text).then(|| text.to_owned())
}

fn non_empty(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

fn parse_in_range(text: &str, range: &RangeInclusive<u64>) -> Option<u64> {
    text.parse().ok().filter(|number| range.contains(number))
}

fn without_decimal_places(text: &str) -> Option<&str> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    (is_number(whole) && is_number(decimals)).then_some(whole)
}

fn parse_fraction(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number| (0.0..=1.0).contains(number))
}

fn parse_list<V: PartialEq>(text: &str, parse_item: impl Fn(&str) -> Option<V>) -> Option<Vec<V>> {
    value_rules::distinct_items(text)?
        .into_iter()
        .map(parse_item)
        .collect()
}

fn format_list<V>(values: &[V], format_item: impl Fn(&V) -> String) -> String {
    values
        .iter()
        .map(format_item)
        .collect::<Vec<_>>()
        .join(", ")
}
