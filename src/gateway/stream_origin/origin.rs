//! Origin of a stream, and the key under which it is recorded.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128_with_seed};

use crate::gateway::model::{ServiceId, SoftwareVersion, UpstreamEntry};

/// Service and software that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamOrigin {
    /// Service whose upstream began the stream.
    pub service: ServiceId,
    /// Software of that upstream; `None` if it is not known, so that no other one can go on.
    pub software: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// Returns whether an upstream may go on with the stream.
    pub fn is_continued_by(&self, entry: &UpstreamEntry) -> bool {
        self.software.is_some() && self.software == entry.software && self.service == entry.service
    }
}

/// Key of the record of a stream.
pub type StreamKey = u128;

/// Returns the key for the request that brought the first event of a stream.
///
/// It depends on the customer, so that nobody learns of the streams of others.
pub fn stream_key(request_id: &str, customer: Option<&str>) -> StreamKey {
    let seed = customer.map_or(0, |customer| xxh3_64(customer.as_bytes()));
    xxh3_128_with_seed(request_id.as_bytes(), seed)
}
