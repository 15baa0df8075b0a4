//! HTTP listener for callers.

use std::net::Shutdown;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use http::Response;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::app::App;
use super::backpressure::apply_backpressure;
use super::caller_stream::CallerStream;
use super::handler::handle;
use super::listener::serve_connections;
use super::request_body::track_body;
use super::responses;
use crate::error::{Code, Refusal};

/// Idle time after which TCP keep-alive probes start.
const KEEPALIVE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection with unacknowledged bytes is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` of connections refused because the limit on open connections is reached.
const CONNECTIONS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of concurrent error responses to refused connections.
///
/// Further refused connections are closed without a response.
const REFUSAL_TASKS_MAX: usize = 64;
/// Maximum time to send the response to a refused connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer into which requests on refused connections are read and discarded.
const DISCARD_BUFFER_BYTES: usize = 4_096;

static REFUSAL_PERMITS: Semaphore = Semaphore::const_new(REFUSAL_TASKS_MAX);

/// Accepts connections of callers until the future is dropped; open ones are served further.
pub async fn serve_callers(listener: TcpListener, app: Arc<App>) {
    let app = AssertUnwindSafe(app);
    let accept_app = Arc::clone(&app);
    let new_handler = move || {
        let app = Arc::clone(&app);
        Ok(move |state: State| respond(app, state))
    };
    serve_connections(
        listener,
        &accept_app.connections,
        new_handler,
        |stream| accept_connection(&accept_app, stream),
        |_| accept_app.metrics.record_accept_failure(),
    )
    .await;
}

/// Shuts a listening socket down, even if other handles to it are open.
pub fn stop_listening(listener: &std::net::TcpListener) -> std::io::Result<()> {
    SockRef::from(listener).shutdown(Shutdown::Both)
}

fn respond(
    app: Arc<App>,
    state: State,
) -> std::pin::Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    let peer = client_addr(&state);
    let request = peer.and_then(|peer| app.connections.start_request(peer));
    let request = request.map(Arc::new);
    Box::pin(async move {
        let mut state = state;
        let body = track_body(Body::take_from(&mut state), request.as_ref());
        state.put(body);
        let (parts, body) = handle(app, &mut state).await.into_parts();
        Ok((
            state,
            Response::from_parts(parts, apply_backpressure(body, request)),
        ))
    })
}

fn accept_connection(app: &App, stream: TcpStream) -> Option<CallerStream> {
    let peer = set_socket_options(&stream).and_then(|()| stream.peer_addr());
    let Some(connection) = app.connections.accept(peer.ok()?) else {
        refuse_connection(app, stream);
        return None;
    };
    Some(CallerStream::new(stream, connection, app.metrics.clone()))
}

/// Refuses a connection because the limit on open connections is reached.
fn refuse_connection(app: &App, mut stream: TcpStream) {
    let limit = app.settings.limits.connections_max;
    let refusal = Refusal::new(
        Code::Overloaded,
        format!("the limit of {limit} open connections is reached"),
    )
    .with_retry_after(CONNECTIONS_RETRY_AFTER);
    app.metrics.record_refusal(refusal.code, None);
    let Ok(permit) = REFUSAL_PERMITS.try_acquire() else {
        return;
    };
    tokio::spawn(async move {
        let send_refusal = async {
            stream.write_all(&responses::raw_refusal(&refusal)).await?;
            stream.shutdown().await?;
            // Closing with unread bytes would reset the connection before the response is read.
            let mut discarded = [0; DISCARD_BUFFER_BYTES];
            while stream.read(&mut discarded).await? > 0 {}
            std::io::Result::Ok(())
        };
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, send_refusal).await;
        drop(permit);
    });
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE_TIMEOUT))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
