//! Memory of responses that are not complete.

use std::sync::Arc;

use celerylever::gateway::{ResponseMemory, ResponseShare};

const MIB: usize = 1024 * 1024;

#[test]
fn large_responses_share_a_bound_and_small_ones_always_fit() {
    let memory: Arc<ResponseMemory> = Arc::default();
    let mut shares: Vec<_> = (0..300)
        .map(|_| ResponseShare::new(memory.clone()))
        .collect();
    let fitting = shares.iter_mut().filter_map(|share| share.resize(MIB).ok());
    assert_eq!(fitting.count(), 16);
    let mut small = ResponseShare::new(memory.clone());
    assert!(small.resize(10_000).is_ok() && small.resize(MIB).is_err());
    drop(shares);
    assert!(small.resize(15 * MIB).is_ok());
}
