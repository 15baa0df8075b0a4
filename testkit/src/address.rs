//! Loopback addresses that no other stand-in on the machine has.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address with a free port.
///
/// The host part is of this process and stand-in alone, so that a stopped stand-in's port is not
/// taken by another before it restarts.
pub(crate) fn own_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, high.max(1), low, host.max(1)), 0).into()
}
