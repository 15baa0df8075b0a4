//! HTTP server shared by the stand-ins, with the faults that all of them know.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, oneshot};
use tokio::task::{JoinHandle, JoinSet};

use crate::fault::FaultHandle;

/// Paths that tests read and set a stand-in by, whatever its faults.
const OUTSIDE_FAULTS: [&str; 2] = ["/stats", "/vms"];

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
pub(crate) type Reply = Response<Body>;

/// Request as it arrived.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query; empty where there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl SeenRequest {
    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the body read as UTF-8.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a number from the query, or zero.
    pub(crate) fn query_number(&self, name: &str) -> u64 {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0)
    }

    /// Parses the body.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// What a stand-in answers; `None` closes the connection without an answer.
pub(crate) trait Handler: Send + Sync + 'static {
    fn answer(self: Arc<Self>, request: SeenRequest) -> BoxFuture<'static, Option<Reply>>;

    /// Returns whether refusals and lost answers strike the request.
    fn has_effect(&self, request: &SeenRequest) -> bool {
        request.method != Method::GET
    }

    /// Returns whether refusing means closing every connection.
    fn refuses_by_closing(&self) -> bool {
        false
    }

    /// Told before the stand-in listens again.
    fn restarting(&self) {}
}

/// Listener with its connections, which can crash and come back.
pub(crate) struct Server {
    address: SocketAddr,
    faults: FaultHandle,
    handler: Arc<dyn Handler>,
    running: Mutex<Option<Running>>,
}

struct Running {
    stop: oneshot::Sender<Infallible>,
    task: JoinHandle<()>,
}

/// Time between two looks at whether a stopped stand-in refuses connections.
const REFUSED_POLL: Duration = Duration::from_millis(1);

impl Server {
    pub(crate) async fn start(
        address: SocketAddr,
        faults: FaultHandle,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let running = Some(serve(listener, faults.clone(), handler.clone())).into();
        Ok(Self {
            address,
            faults,
            handler,
            running,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn faults(&self) -> &FaultHandle {
        &self.faults
    }

    pub(crate) async fn stop(&self) {
        if let Some(running) = self.running.lock().await.take() {
            drop(running.stop);
            let _ = running.task.await;
            self.wait_refused().await;
        }
    }

    /// Waits until connections are refused.
    ///
    /// A process that is being started holds copies of all sockets until its program is loaded.
    async fn wait_refused(&self) {
        while TcpStream::connect(self.address).await.is_ok() {
            tokio::time::sleep(REFUSED_POLL).await;
        }
    }

    pub(crate) async fn restart(&self) -> io::Result<()> {
        self.stop().await;
        self.handler.restarting();
        let listener = TcpListener::bind(self.address).await?;
        let running = serve(listener, self.faults.clone(), self.handler.clone());
        *self.running.lock().await = Some(running);
        Ok(())
    }
}

/// Gives a stand-in the public methods of its server.
macro_rules! server_methods {
    ($standin:ident) => {
        impl $standin {
            /// Returns the address it listens on.
            pub fn address(&self) -> std::net::SocketAddr {
                self.server.address()
            }

            /// Returns the handle to its faults.
            pub fn faults(&self) -> &crate::FaultHandle {
                self.server.faults()
            }

            /// Closes the listener and all connections, like a crash.
            pub async fn stop(&self) {
                self.server.stop().await;
            }

            /// Stops it if need be and listens on the same address again.
            pub async fn restart(&self) -> std::io::Result<()> {
                self.server.restart().await
            }
        }
    };
}
pub(crate) use server_methods;

fn serve(listener: TcpListener, faults: FaultHandle, handler: Arc<dyn Handler>) -> Running {
    let (stop, mut stopped) = oneshot::channel::<Infallible>();
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                _ = &mut stopped => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(connection(stream, faults.clone(), handler.clone()));
                    }
                }
            }
        }
        drop(listener);
        connections.shutdown().await;
    });
    Running { stop, task }
}

async fn connection(stream: TcpStream, faults: FaultHandle, handler: Arc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let mark = faults.connection_mark();
    let io = SilencedStream {
        stream,
        faults: faults.clone(),
        mark,
    };
    let service = service_fn(move |request| {
        let faults = faults.clone();
        let handler = handler.clone();
        async move {
            match exchange(request, &faults, handler).await {
                Some(reply) => Ok(reply),
                None if faults.is_silent(mark) => std::future::pending().await,
                None => Err(closed()),
            }
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(io), service)
        .await;
}

async fn exchange(
    request: Request<Incoming>,
    faults: &FaultHandle,
    handler: Arc<dyn Handler>,
) -> Option<Reply> {
    let (head, body) = request.into_parts();
    let request = SeenRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.collect().await.ok()?.to_bytes(),
    };
    if request.path == "/faults" && request.method == Method::POST {
        return Some(set_faults(faults, &request.body));
    }
    if OUTSIDE_FAULTS.contains(&&*request.path) {
        return handler.answer(request).await;
    }
    faults.thawed().await;
    let has_effect = handler.has_effect(&request);
    match faults.get().refuse {
        true if handler.refuses_by_closing() => return None,
        true if has_effect => return Some(refused()),
        _ => {}
    }
    let lost = has_effect && faults.take_lost_answer();
    let reply = handler.answer(request).await?;
    if lost {
        let _ = reply.into_body().collect().await;
        return None;
    }
    let delay = faults.get().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    faults.thawed().await;
    Some(reply)
}

fn set_faults(faults: &FaultHandle, body: &[u8]) -> Reply {
    match faults.merge(body) {
        Ok(()) => json(StatusCode::OK, &faults.get()),
        Err(error) => named_error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Creates a JSON answer.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut reply = Response::new(full(text));
    *reply.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, json);
    reply
}

/// Creates an answer with an error's name.
pub(crate) fn named_error(status: StatusCode, name: &str) -> Reply {
    json(status, &serde_json::json!({ "error": { "name": name } }))
}

/// Creates the 503 of a request that was not run.
pub(crate) fn refused() -> Reply {
    named_error(StatusCode::SERVICE_UNAVAILABLE, "refused")
}

/// Creates a body of known contents.
pub(crate) fn full(contents: impl Into<Bytes>) -> Body {
    Full::new(contents.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates the error that closes a connection.
pub(crate) fn closed() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

/// Connection that can go silent for good while it stays open.
struct SilencedStream {
    stream: TcpStream,
    faults: FaultHandle,
    mark: u64,
}

impl SilencedStream {
    fn unless_silent<T>(
        self: Pin<&mut Self>,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let this = self.get_mut();
        if this.faults.is_silent(this.mark) {
            return Poll::Pending;
        }
        poll(Pin::new(&mut this.stream))
    }
}

impl AsyncRead for SilencedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.unless_silent(|stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for SilencedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.unless_silent(|stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.unless_silent(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.unless_silent(|stream| stream.poll_shutdown(context))
    }
}
