//! Listeners: callers, questions of readiness, metrics, and reads by peers.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Response, Uri};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::answer;
use super::call::{self, Received};
use super::hub::Hub;
use super::journal::Event;
use super::relay;
use crate::entry::{CallerStream, apply_backpressure};
use crate::error::{Code, Refusal};
use crate::ids::RequestId;

/// Requests under way at once; more than the descriptors of a VM would carry.
const REQUESTS_MAX: usize = 1_800;
/// When to come back where too many are under way.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When to come back to another VM.
const DRAIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// TCP keep-alive probes start after this much silence.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Unacknowledged bytes are given up on after this long.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until dropped; connections that are open then go on.
pub(super) async fn serve_callers(listener: TcpListener, hub: Arc<Hub>) {
    let hub = AssertUnwindSafe(hub);
    let prepare_hub = Arc::clone(&hub);
    let new_handler = move || {
        let hub = Arc::clone(&hub);
        Ok(move |state: State| respond(hub, state))
    };
    gotham::bind_server(listener, new_handler, move |stream| {
        std::future::ready(prepare(&prepare_hub, stream))
    })
    .await;
}

/// Serves the paths of the fleet and its operators until dropped.
pub(super) async fn serve_fleet(listener: TcpListener, hub: Arc<Hub>) {
    let hub = AssertUnwindSafe(hub);
    let new_handler = move || {
        let hub = Arc::clone(&hub);
        Ok(move |state: State| {
            async move {
                let uri = Uri::borrow_from(&state).clone();
                let response = fleet_answer(&hub, &uri).await;
                Ok((state, response))
            }
            .boxed()
        })
    };
    gotham::bind_server(listener, new_handler, |stream: TcpStream| {
        std::future::ready(Ok::<_, ()>(stream))
    })
    .await;
}

fn respond(
    hub: Arc<Hub>,
    state: State,
) -> std::pin::Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    let peer = client_addr(&state);
    let request = peer.and_then(|peer| hub.connections.start_request(peer));
    async move {
        let mut state = state;
        let received = Received {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
        };
        let (parts, body) = handle(hub, received).await.into_parts();
        Ok((
            state,
            Response::from_parts(parts, apply_backpressure(body, request)),
        ))
    }
    .boxed()
}

async fn handle(hub: Arc<Hub>, received: Received) -> Response<Body> {
    let Some(under_way) = hub.drain.count_request(REQUESTS_MAX) else {
        let refusal = answer::come_back(Code::Overloaded, "too many requests", FULL_RETRY_AFTER);
        return refused(&hub, &RequestId::new(), &refusal);
    };
    if hub.turns_away() {
        let refusal = answer::come_back(Code::Draining, "the VM shuts down", DRAIN_RETRY_AFTER);
        let id = hub
            .platform
            .dialect
            .request(&received.headers)
            .id
            .unwrap_or_default();
        return closing(refused(&hub, &id, &refusal));
    }
    let answering = AssertUnwindSafe(call::answer(hub.clone(), received, under_way)).catch_unwind();
    let answered = tokio::select! {
        biased;
        answered = answering => answered,
        () = hub.drain.wait_for_abort() => {
            // It may be at an upstream, so nothing is promised.
            let refusal = Refusal::new(Code::UpstreamUnknown, "the VM shuts down");
            Ok((RequestId::new(), Err(refusal)))
        }
    };
    let (id, answered) = answered.unwrap_or_else(|_| {
        hub.telemetry.metrics().handler_panic();
        let refusal = Refusal::new(Code::Internal, "the request's handler failed");
        (RequestId::new(), Err(refusal))
    });
    let response = match answered {
        Ok(response) => response,
        Err(refusal) => refused(&hub, &id, &refusal),
    };
    match hub.drain.is_started() {
        true => closing(response),
        false => response,
    }
}

/// Asks the caller to open another connection for its next request.
fn closing(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn refused(hub: &Hub, id: &RequestId, refusal: &Refusal) -> Response<Body> {
    hub.meters.refusal(refusal.code);
    let retry_after = refusal.retry_after.unwrap_or_default();
    let event = Event::Refused {
        code: refusal.code.number(),
        name: refusal.code.name(),
        reason: &refusal.message,
        retry_after_ms: retry_after.as_millis() as u64,
        config: hub.table().map_or(0, |table| table.version),
    };
    hub.journal.request(id, &event);
    let mut response = answer::refusal(refusal);
    hub.platform
        .dialect
        .mark_refusal(response.headers_mut(), id);
    response
}

fn prepare(hub: &Hub, stream: TcpStream) -> Result<CallerStream, ()> {
    let peer = configure(&stream).and_then(|()| stream.peer_addr());
    let connection = peer.ok().and_then(|peer| hub.connections.accept(peer));
    let connection = connection.ok_or(())?;
    Ok(CallerStream::new(
        stream,
        connection,
        hub.telemetry.metrics(),
    ))
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

async fn fleet_answer(hub: &Arc<Hub>, uri: &Uri) -> Response<Body> {
    let path = uri.path();
    if path == hub.platform.dialect.ready_path() {
        return readiness(hub);
    }
    if path == "/metrics" {
        return answer::text(200, "text/plain; version=0.0.4", hub.telemetry.render());
    }
    let seen = relay::answer_peer(hub, path, uri.query()).await;
    seen.unwrap_or_else(|| answer::text(404, "text/plain", String::new()))
}

fn readiness(hub: &Hub) -> Response<Body> {
    let (status, reason) = match hub.table() {
        _ if hub.drain.is_started() => (503, "draining"),
        None => (503, "no configuration"),
        Some(_) => (200, "ready"),
    };
    answer::text(status, "text/plain", reason.to_owned())
}
