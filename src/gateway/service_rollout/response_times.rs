//! Histograms of the times from sending a request to the first byte of its response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets. Bucket `n` ends at 2^((n + 1) / 2) ms, the last one has no end.
///
/// With a factor of 2 per bucket, a version three times slower and one a tenth slower could fall
/// into the same bucket; with the square root of 2 they cannot.
pub const RESPONSE_TIME_BUCKETS: usize = 32;

const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Counts of requests by time, without the empty buckets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResponseTimes {
    /// Bucket and count, by ascending bucket.
    buckets: Vec<(u8, u32)>,
}

impl ResponseTimes {
    /// Counts one request.
    pub fn record(&mut self, time: Duration) {
        self.add(bucket_of(time), 1);
    }

    /// Adds to the count of a bucket; one beyond the last counts as the last.
    pub fn add(&mut self, bucket: usize, count: u32) {
        let bucket = bucket.min(RESPONSE_TIME_BUCKETS - 1) as u8;
        match self.buckets.binary_search_by_key(&bucket, |entry| entry.0) {
            Ok(index) => self.buckets[index].1 = self.buckets[index].1.saturating_add(count),
            Err(index) => self.buckets.insert(index, (bucket, count)),
        }
    }

    /// Returns the counts of all buckets.
    pub fn counts(&self) -> [u32; RESPONSE_TIME_BUCKETS] {
        let mut counts = [0_u32; RESPONSE_TIME_BUCKETS];
        for &(bucket, count) in &self.buckets {
            let index = usize::from(bucket).min(RESPONSE_TIME_BUCKETS - 1);
            counts[index] = counts[index].saturating_add(count);
        }
        counts
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.buckets.iter().map(|entry| u64::from(entry.1)).sum()
    }
}

/// Returns the bucket of a time.
fn bucket_of(time: Duration) -> usize {
    let millis = time.as_secs_f64() * 1_000.0;
    let bucket = (millis.max(1.0).log2() * BUCKETS_PER_DOUBLING).floor();
    (bucket as usize).min(RESPONSE_TIME_BUCKETS - 1)
}

/// Returns the shortest time of a bucket.
pub(super) fn bucket_start(bucket: usize) -> Duration {
    Duration::from_secs_f64((bucket as f64 / BUCKETS_PER_DOUBLING).exp2() / 1_000.0)
}
