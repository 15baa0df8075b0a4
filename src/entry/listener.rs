//! Accepts connections and serves them with bounded buffers.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::caller_stream::CallerStream;
use super::connections::Connections;

/// Maximum size of the HTTP library's buffers of a connection. It is above the size of a request head
/// with one read beyond it; the library's default is 408 KiB.
const BUFFER_MAX_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until dropped; open ones are served further.
///
/// `accept` returns `None` for a connection that is not served; `on_error` is told of connections that
/// could not be accepted.
pub(crate) async fn serve_connections(
    listener: TcpListener,
    connections: &Connections,
    new_handler: impl NewHandler + 'static,
    accept: impl Fn(TcpStream) -> Option<CallerStream>,
    on_error: impl Fn(&io::Error),
) {
    let new_handler = Arc::new(new_handler);
    loop {
        connections.wait_for_room().await;
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                on_error(&error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Some(stream) = accept(stream) {
            tokio::spawn(serve_connection(stream, peer, new_handler.clone()));
        }
    }
}

async fn serve_connection(
    stream: CallerStream,
    peer: SocketAddr,
    new_handler: Arc<impl NewHandler + 'static>,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, peer);
        call_handler(new_handler.clone(), AssertUnwindSafe(state))
    });
    let served = Builder::new()
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // The caller has closed the connection or sent what is not HTTP.
    let _ = served.await;
}
