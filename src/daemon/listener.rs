//! Listening sockets of the daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use tokio::net::TcpSocket;

/// Maximum number of connections that wait to be accepted; the kernel lowers it to
/// `net.core.somaxconn`. It drops further attempts, which callers repeat after a second at the
/// earliest.
const LISTEN_BACKLOG: u32 = 4_096;

/// Maximum time for accepting the connections that wait when a listener is to close.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two checks for connections that wait.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// TCP listener that stays open when the task that serves it is restarted.
pub(crate) struct SharedListener {
    pub(super) address: SocketAddr,
    socket: std::net::TcpListener,
}

impl SharedListener {
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // A restarted process takes the address over while old connections linger.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let socket = socket.listen(LISTEN_BACKLOG)?.into_std()?;
        Ok(Self {
            address: socket.local_addr()?,
            socket,
        })
    }

    pub(crate) fn duplicate(&self) -> io::Result<std::net::TcpListener> {
        self.socket.try_clone()
    }
}

/// Waits until no connection waits to be accepted, which the end of the listener would reset.
///
/// The caller goes on accepting meanwhile, and may have to end while more connections arrive.
pub(crate) async fn wait_until_accepted(listener: &std::net::TcpListener) -> io::Result<()> {
    let until = tokio::time::Instant::now() + ACCEPT_TIMEOUT;
    while has_waiting_connection(listener)? && tokio::time::Instant::now() < until {
        tokio::time::sleep(ACCEPT_CHECK_INTERVAL).await;
    }
    Ok(())
}

fn has_waiting_connection(listener: &std::net::TcpListener) -> io::Result<bool> {
    let mut sockets = [PollFd::new(listener, PollFlags::IN)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // A signal must not end the task that finishes the requests in flight.
    let ready = retry_on_intr(|| poll(&mut sockets, Some(&at_once)))?;
    Ok(ready > 0)
}
