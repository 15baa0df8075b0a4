//! Validation faults in settings and in the operators' document.

use std::fmt;

/// Invalid section, key or value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section that contains the fault; empty before the first section.
    pub section: String,
    /// Key, or `None` if the section itself is invalid.
    pub key: Option<String>,
    /// Invalid value, or `None` if the value is missing.
    pub value: Option<String>,
    /// Description of the allowed sections, keys or values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.section)?;
        match (&self.key, &self.value) {
            (Some(key), Some(value)) => {
                write!(f, " {key} = {value:?}: allowed is {}", self.allowed)
            }
            (Some(key), None) => write!(f, " {key} is missing: allowed is {}", self.allowed),
            (None, _) => write!(f, ": allowed is {}", self.allowed),
        }
    }
}

/// All faults of one text, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}
