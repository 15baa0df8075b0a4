//! Customers that share cached prompts.

use xxhash_rust::xxh3::xxh3_64;

use super::model::{Customer, WeightNumber};
use crate::ids::{CustomerId, RequestId};

/// Customers that share cached prompts with the one of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheGroup {
    /// All that are not isolated, in configurations with these isolated ones.
    Shared(IsolatedSet),
    /// One that is isolated.
    Isolated(CustomerId),
    /// None, for one request.
    Single(RequestId),
}

/// Identifies the set of isolated customers of a configuration; 0 if there are none.
///
/// Whoever shares prompts under one set is not in it, whatever was configured before: a customer
/// that becomes isolated leaves what it has cached under a set that nobody uses any more. It follows
/// from the configuration alone, so that VMs which have not seen the change agree.
pub type IsolatedSet = u64;

/// Returns the set of some isolated customers.
pub fn isolated_set<'a>(customers: impl IntoIterator<Item = &'a str>) -> IsolatedSet {
    let mut ids: Vec<&str> = customers.into_iter().collect();
    ids.sort_unstable();
    match ids.is_empty() {
        true => 0,
        false => xxh3_64(ids.join("\0").as_bytes()),
    }
}

impl CacheGroup {
    /// Returns the group of a customer; requests without one share prompts.
    pub fn new(customer: Option<&Customer>, isolated: IsolatedSet) -> Self {
        match customer.filter(|customer| customer.is_isolated) {
            Some(customer) => Self::Isolated(customer.id.clone()),
            None => Self::Shared(isolated),
        }
    }

    /// Returns the text that separates the cached prompts of this group from those of others.
    pub fn name(&self) -> String {
        match self {
            Self::Shared(0) => String::new(),
            Self::Shared(isolated) => format!(".{isolated:x}"),
            Self::Isolated(customer) => format!("/{customer}"),
            Self::Single(request) => format!("-{request}"),
        }
    }

    /// Returns the text under which engines cache the prompts of this group for one version of the
    /// weights.
    pub fn salt(&self, weights: WeightNumber) -> String {
        format!("{weights}{}", self.name())
    }
}
