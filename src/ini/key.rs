//! Declaration of one key: how its text is read into and written from a struct.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use super::rules;
use crate::document::KeyDigest;

const DIGESTS_ALLOWED: &str = "comma list of distinct digests, each sha256: and 64 hex digits; \
                               never a plain key (`celerylever key new` prints a digest)";

/// One key of a section of `T`.
pub(crate) struct Key<T> {
    /// Name in the text.
    pub(crate) name: &'static str,
    /// Unit of the value; empty where it has none.
    pub(crate) unit: &'static str,
    /// Whether the key must stand in the text.
    pub(crate) is_required: bool,
    /// Field that holds the value.
    pub(crate) access: Access<T>,
    /// One-line explanation.
    pub(crate) meaning: &'static str,
}

type Field<T, V> = fn(&mut T) -> &mut V;

/// Form of a value and the field that holds it.
pub(crate) enum Access<T> {
    Name(Field<T, String>),
    OptionalName(Field<T, Option<String>>),
    Names(Field<T, Vec<String>>),
    Credential(Field<T, Option<String>>),
    PathPrefix(Field<T, String>),
    Number(RangeInclusive<u64>, Field<T, u64>),
    Small(RangeInclusive<u64>, Field<T, u32>),
    Count(RangeInclusive<u64>, Field<T, usize>),
    Millis(RangeInclusive<u64>, Field<T, Duration>),
    Seconds(RangeInclusive<u64>, Field<T, Duration>),
    Fraction(Field<T, f64>),
    Address(Field<T, SocketAddr>),
    OptionalAddress(Field<T, Option<SocketAddr>>),
    Addresses(Field<T, Vec<SocketAddr>>),
    Path(Field<T, Option<PathBuf>>),
    Flag(Field<T, bool>),
    Digests(Field<T, Vec<KeyDigest>>),
    Choice {
        names: &'static [&'static str],
        get: fn(&T) -> usize,
        set: fn(&mut T, usize),
    },
}

impl<T> Key<T> {
    /// Returns whether the value must not be shown.
    pub(crate) fn is_secret(&self) -> bool {
        matches!(self.access, Access::Credential(_) | Access::Digests(_))
    }

    /// Returns the key's row in a page of docs.
    pub(crate) fn page_row(&self, defaults: &mut T) -> String {
        let default = match self.access.write(defaults) {
            _ if self.is_required => "required".to_owned(),
            Some(value) => format!("`{value}`"),
            None => "none".to_owned(),
        };
        let allowed = self.access.allowed();
        format!(
            "| `{}` | {} | {default} | {allowed} | {} |\n",
            self.name, self.unit, self.meaning
        )
    }
}

impl<T> Access<T> {
    /// What a name may be, in words.
    pub(crate) const NAME_ALLOWED: &'static str =
        "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";

    /// Returns what is allowed, in words.
    pub(crate) fn allowed(&self) -> String {
        match self {
            Self::Name(_) | Self::OptionalName(_) => Self::NAME_ALLOWED.into(),
            Self::Names(_) => "comma list of distinct names".into(),
            Self::Credential(_) => {
                "1 to 256 printable ASCII characters without spaces or \\, other than ***".into()
            }
            Self::PathPrefix(_) => "path such as /pickup/slots, without a slash at its end".into(),
            Self::Number(range, _)
            | Self::Small(range, _)
            | Self::Count(range, _)
            | Self::Millis(range, _)
            | Self::Seconds(range, _) => {
                format!("whole number from {} to {}", range.start(), range.end())
            }
            Self::Fraction(_) => "number from 0 to 1".into(),
            Self::Address(_) | Self::OptionalAddress(_) => "IP number and port as IP:PORT".into(),
            Self::Addresses(_) => "comma list of distinct IP:PORT".into(),
            Self::Path(_) => "path of a file".into(),
            Self::Flag(_) => "true or false".into(),
            Self::Digests(_) => DIGESTS_ALLOWED.into(),
            Self::Choice { names, .. } => format!("one of {}", names.join(", ")),
        }
    }

    /// Reads a text into the field; returns nothing where it is not allowed.
    pub(crate) fn read(&self, target: &mut T, text: &str) -> Option<()> {
        match self {
            Self::Name(field) => *field(target) = checked(text, rules::is_name)?,
            Self::OptionalName(field) => *field(target) = Some(checked(text, rules::is_name)?),
            Self::Names(field) => {
                *field(target) = each(text, |part| checked(part, rules::is_name))?;
            }
            Self::Credential(field) => *field(target) = Some(checked(text, rules::is_credential)?),
            Self::PathPrefix(field) => *field(target) = checked(text, rules::is_path_prefix)?,
            Self::Number(range, field) => *field(target) = number(text, range)?,
            Self::Small(range, field) => *field(target) = number(text, range)?.try_into().ok()?,
            Self::Count(range, field) => *field(target) = number(text, range)?.try_into().ok()?,
            Self::Millis(range, field) => {
                *field(target) = Duration::from_millis(number(text, range)?);
            }
            Self::Seconds(range, field) => {
                *field(target) = Duration::from_secs(number(text, range)?);
            }
            Self::Fraction(field) => *field(target) = fraction(text)?,
            Self::Address(field) => *field(target) = text.parse().ok()?,
            Self::OptionalAddress(field) => *field(target) = Some(text.parse().ok()?),
            Self::Addresses(field) => *field(target) = each(text, |part| part.parse().ok())?,
            Self::Path(field) => {
                *field(target) = Some(checked(text, rules::is_path)?.into());
            }
            Self::Flag(field) => *field(target) = text.parse().ok()?,
            Self::Digests(field) => *field(target) = each(text, rules::parse_digest)?,
            Self::Choice { names, set, .. } => {
                set(target, names.iter().position(|name| *name == text)?);
            }
        }
        Some(())
    }

    /// Writes the field as text; returns nothing where it is unset.
    pub(crate) fn write(&self, source: &mut T) -> Option<String> {
        match self {
            Self::Name(field) | Self::PathPrefix(field) => filled(field(source).clone()),
            Self::OptionalName(field) | Self::Credential(field) => field(source).clone(),
            Self::Names(field) => filled(field(source).join(", ")),
            Self::Number(_, field) => Some(field(source).to_string()),
            Self::Small(_, field) => Some(field(source).to_string()),
            Self::Count(_, field) => Some(field(source).to_string()),
            Self::Millis(_, field) => Some(field(source).as_millis().to_string()),
            Self::Seconds(_, field) => Some(field(source).as_secs().to_string()),
            Self::Fraction(field) => Some(field(source).to_string()),
            Self::Address(field) => Some(field(source).to_string()),
            Self::OptionalAddress(field) => field(source).map(|address| address.to_string()),
            Self::Addresses(field) => filled(joined(field(source), SocketAddr::to_string)),
            Self::Path(field) => field(source)
                .as_ref()
                .map(|path| path.display().to_string()),
            Self::Flag(field) => Some(field(source).to_string()),
            Self::Digests(field) => filled(joined(field(source), rules::format_digest)),
            Self::Choice { names, get, .. } => names.get(get(source)).map(|name| (*name).into()),
        }
    }
}

fn checked(text: &str, rule: fn(&str) -> bool) -> Option<String> {
    rule(text).then(|| text.to_owned())
}

fn filled(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

fn number(text: &str, range: &RangeInclusive<u64>) -> Option<u64> {
    text.parse().ok().filter(|number| range.contains(number))
}

fn fraction(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number| (0.0..=1.0).contains(number))
}

fn each<V: PartialEq>(text: &str, read: impl Fn(&str) -> Option<V>) -> Option<Vec<V>> {
    rules::distinct_parts(text)?.into_iter().map(read).collect()
}

fn joined<V>(values: &[V], write: impl Fn(&V) -> String) -> String {
    values.iter().map(write).collect::<Vec<_>>().join(", ")
}
