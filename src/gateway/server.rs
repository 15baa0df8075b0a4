//! HTTP servers for callers, readiness checks, metrics and reads by peers.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::event_log::{AbortStage, LogEvent};
use super::peer_forward::{FORWARD_HEADER, HelpReply, mark_reply};
use super::request::{self, ReceivedRequest};
use super::response;
use super::state::Gateway;
use super::store_relay;
use crate::caller_memory::SendingHandle;
use crate::entry::{
    CallerStream, ConnectionRequestGuard, Connections, apply_backpressure, discard_body,
    serve_connections, track_body,
};
use crate::error::{Code, Refusal};
use crate::ids::RequestId;

/// Maximum number of requests in flight; more would exhaust the file descriptors of a VM.
const REQUESTS_MAX: usize = 1_800;
/// Retry delay returned when too many requests are in flight.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Idle time of a caller's connection before the first TCP keep-alive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(5);
/// Time after which unacknowledged data closes a caller's connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until dropped; connections that are open then are served further.
pub(super) async fn serve_callers(listener: TcpListener, gateway: Arc<Gateway>) {
    let gateway = AssertUnwindSafe(gateway);
    let accept_gateway = Arc::clone(&gateway);
    let new_handler = move || {
        let gateway = Arc::clone(&gateway);
        Ok(move |state: State| respond(gateway, state))
    };
    let connections = &accept_gateway.connections;
    serve_connections(
        listener,
        connections,
        new_handler,
        |stream| accept_connection(&accept_gateway, connections, stream),
        |error| record_accept_failure(&accept_gateway, error),
    )
    .await;
}

/// Serves readiness checks, metrics and reads by peers until dropped.
pub(super) async fn serve_fleet(listener: TcpListener, gateway: Arc<Gateway>) {
    let gateway = AssertUnwindSafe(gateway);
    let accept_gateway = Arc::clone(&gateway);
    let new_handler = move || {
        let gateway = Arc::clone(&gateway);
        Ok(move |state: State| {
            let request = start_request(&gateway.fleet_connections, &state);
            async move {
                let mut state = state;
                let headers = HeaderMap::borrow_from(&state);
                let response = match headers.contains_key(FORWARD_HEADER) {
                    true => respond_forwarded(&gateway, &mut state, request.as_ref()).await,
                    false => {
                        let uri = Uri::borrow_from(&state).clone();
                        respond_fleet(&gateway, &uri).await
                    }
                };
                Ok((state, count_until_sent(response, request)))
            }
            .boxed()
        })
    };
    let connections = &accept_gateway.fleet_connections;
    serve_connections(
        listener,
        connections,
        new_handler,
        |stream| accept_connection(&accept_gateway, connections, stream),
        |error| record_accept_failure(&accept_gateway, error),
    )
    .await;
}

fn respond(
    gateway: Arc<Gateway>,
    state: State,
) -> std::pin::Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    let request = start_request(&gateway.connections, &state);
    async move {
        let mut state = state;
        let mut received = take_request(&mut state, request.as_ref(), false);
        let response = handle_request(gateway, &mut received).await;
        if !received.body.is_end_stream() {
            tokio::spawn(discard_body(received.body, request.clone()));
        }
        Ok((state, count_until_sent(response, request)))
    }
    .boxed()
}

fn start_request(connections: &Connections, state: &State) -> Option<Arc<ConnectionRequestGuard>> {
    let request = connections.start_request(client_addr(state)?);
    request.map(Arc::new)
}

/// Makes the request count as in flight until its response was sent, and closes its connection if the
/// response is evicted before.
fn count_until_sent(
    mut response: Response<Body>,
    request: Option<Arc<ConnectionRequestGuard>>,
) -> Response<Body> {
    let sending = response.extensions_mut().remove::<SendingHandle>();
    if let (Some(sending), Some(request)) = (sending, &request) {
        sending.set_on_eviction(request.closer());
    }
    response.map(|body| apply_backpressure(body, request))
}

fn take_request(
    state: &mut State,
    request: Option<&Arc<ConnectionRequestGuard>>,
    is_forwarded: bool,
) -> ReceivedRequest {
    ReceivedRequest {
        method: Method::take_from(state),
        uri: Uri::take_from(state),
        headers: HeaderMap::take_from(state),
        body: track_body(Body::take_from(state), request),
        is_forwarded,
    }
}

/// Handles a request that another VM has passed on like one of this VM's own callers.
async fn respond_forwarded(
    gateway: &Arc<Gateway>,
    state: &mut State,
    request: Option<&Arc<ConnectionRequestGuard>>,
) -> Response<Body> {
    let mut received = take_request(state, request, true);
    let helped = match gateway.can_help(&received.headers, &received.uri) {
        true => gateway.accept_forwarded(),
        false => None,
    };
    gateway.metrics.count_helped(helped.is_some());
    let Some(helped) = helped else {
        tokio::spawn(discard_body(received.body, None));
        let message = "this VM cannot help";
        let mut response = response::text_response(503, "text/plain", message.to_owned());
        mark_reply(response.headers_mut(), HelpReply::Unable);
        return response;
    };
    let mut response = handle_request(gateway.clone(), &mut received).await;
    if !received.body.is_end_stream() {
        tokio::spawn(discard_body(received.body, None));
    }
    mark_reply(response.headers_mut(), HelpReply::Handled);
    response.map(|body| {
        let held = move |frame| {
            let _ = &helped;
            frame
        };
        body.map_frame(held).boxed_unsync()
    })
}

async fn handle_request(gateway: Arc<Gateway>, received: &mut ReceivedRequest) -> Response<Body> {
    let head = gateway
        .platform
        .dialect
        .read_request_head(&received.headers);
    let id = head.id.clone().unwrap_or_default();
    let Some(request_guard) = gateway.drain.count_request(REQUESTS_MAX) else {
        let refusal = response::retryable_refusal(
            Code::Overloaded,
            "too many requests in flight",
            OVERLOADED_RETRY_AFTER,
        );
        return refuse(&gateway, &id, &refusal);
    };
    if gateway.drain.is_refusing() {
        let refusal = response::draining_refusal();
        return with_connection_close(refuse(&gateway, &id, &refusal));
    }
    let responding = request::respond(gateway.clone(), received, head, request_guard);
    let result = tokio::select! {
        biased;
        result = AssertUnwindSafe(responding).catch_unwind() => result,
        () = gateway.drain.wait_for_abort() => {
            gateway.record_abort(&id, AbortStage::BeforeResponse);
            // An upstream may be running the request, so the refusal must not state that it did not
            // run.
            Ok(Err(Refusal::new(Code::UpstreamUnknown, "the VM is shutting down")))
        }
    };
    let result = result.unwrap_or_else(|_| {
        gateway.telemetry.metrics().record_handler_panic();
        let message = "the handler of the request panicked";
        Err(Refusal::new(Code::Internal, message))
    });
    let response = result.unwrap_or_else(|refusal| refuse(&gateway, &id, &refusal));
    match gateway.drain.is_started() {
        true => with_connection_close(response),
        false => response,
    }
}

/// Adds `connection: close`, so that the caller opens another connection for its next request.
fn with_connection_close(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn refuse(gateway: &Gateway, id: &RequestId, refusal: &Refusal) -> Response<Body> {
    gateway.metrics.count_refusal(refusal.code);
    let retry_after = refusal.retry_after.unwrap_or_default();
    let event = LogEvent::Refused {
        code: refusal.code.number(),
        name: refusal.code.name(),
        reason: &refusal.message,
        retry_after_ms: retry_after.as_millis() as u64,
        config: gateway.table().map_or(0, |table| table.version),
    };
    gateway.event_log.log_request(id, &event);
    let mut response = response::refusal_response(refusal);
    gateway
        .platform
        .dialect
        .mark_refusal(response.headers_mut(), id);
    response
}

fn accept_connection(
    gateway: &Gateway,
    connections: &Connections,
    stream: TcpStream,
) -> Option<CallerStream> {
    let peer = configure(&stream).and_then(|()| stream.peer_addr());
    let connection = connections.accept(peer.ok()?)?;
    let metrics = gateway.telemetry.metrics();
    Some(CallerStream::new(stream, connection, metrics))
}

fn record_accept_failure(gateway: &Gateway, error: &std::io::Error) {
    gateway.telemetry.metrics().record_accept_failure();
    let reason = error.to_string();
    gateway.event_log.log(&LogEvent::AcceptFailed { reason });
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE_TIME))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

async fn respond_fleet(gateway: &Arc<Gateway>, uri: &Uri) -> Response<Body> {
    let path = uri.path();
    if path == gateway.platform.dialect.ready_path() {
        return readiness(gateway);
    }
    if path == "/metrics" {
        let metrics = gateway.telemetry.render();
        return response::held_response(&gateway.memory, "text/plain; version=0.0.4", metrics);
    }
    let peer_response = store_relay::respond_to_peer(gateway, path, uri.query()).await;
    peer_response.unwrap_or_else(|| response::text_response(404, "text/plain", String::new()))
}

fn readiness(gateway: &Gateway) -> Response<Body> {
    let (status, reason) = match gateway.table() {
        _ if gateway.drain.is_started() => (503, "draining"),
        None => (503, "no configuration"),
        Some(_) => (200, "ready"),
    };
    response::text_response(status, "text/plain", reason.to_owned())
}
