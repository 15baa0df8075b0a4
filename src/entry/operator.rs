//! HTTP listener for operators, with metrics, health and readiness.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode, Uri};
use tokio::net::TcpListener;

use super::app::App;
use super::caller_stream::CallerStream;
use super::listener::serve_connections;
use super::responses;

/// Serves operators' requests until the future is dropped.
pub async fn serve_operators(listener: TcpListener, app: Arc<App>) {
    let app = AssertUnwindSafe(app);
    let accept_app = Arc::clone(&app);
    let new_handler = move || {
        let app = Arc::clone(&app);
        Ok(move |state: State| {
            let response = respond(&app, Uri::borrow_from(&state).path());
            (state, response)
        })
    };
    let connections = &accept_app.operator_connections;
    let metrics = &accept_app.metrics;
    serve_connections(
        listener,
        connections,
        new_handler,
        |stream| {
            let connection = connections.accept(stream.peer_addr().ok()?)?;
            Some(CallerStream::new(stream, connection, metrics.clone()))
        },
        |_| metrics.record_accept_failure(),
    )
    .await;
}

fn respond(app: &App, path: &str) -> Response<Body> {
    match path {
        "/metrics" => text_response(StatusCode::OK, app.telemetry.render()),
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => respond_readiness(app),
        _ => text_response(
            StatusCode::NOT_FOUND,
            "paths: /metrics, /healthz, /readyz\n",
        ),
    }
}

fn respond_readiness(app: &App) -> Response<Body> {
    let unavailable =
        |reason: &str| text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    if app.drain.is_started() {
        return unavailable("draining");
    }
    match (app.snapshot(), app.check_isolation()) {
        (Err(refusal), _) | (_, Err(refusal)) => unavailable(&refusal.message),
        (Ok(snapshot), Ok(())) => {
            text_response(StatusCode::OK, format!("ready {}\n", snapshot.version))
        }
    }
}

fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(responses::full_body(text.into()));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
