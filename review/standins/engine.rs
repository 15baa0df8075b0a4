//! Model engines: what all of them answer, with the answers to requests left to each case.

use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::http::{Request, answer, serve};

/// Starts an engine on a thread; `run` answers a request and returns whether its connection goes on.
pub fn start(
    id: &str,
    run: impl Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an engine");
    let address = listener.local_addr().expect("an address");
    let id = id.to_owned();
    serve(listener, move |request, stream| {
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/celerylever/report" => answer(stream, 200, &json, REPORT).map(|()| true),
            "/celerylever/order" => answer(stream, 200, &json, "{}").map(|()| true),
            "/celerylever/kv-events" => answer(stream, 200, &json, NO_EVENTS).map(|()| true),
            "/celerylever/kv-list" => answer(stream, 200, &json, NO_PARTS).map(|()| true),
            _ if is_other(request, &id) => {
                let headers = [("Request-Id", request.header("request-id").unwrap_or(""))];
                answer(stream, 421, &headers, "").map(|()| true)
            }
            _ => run(request, stream),
        }
    });
    address
}

const REPORT: &str = "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\
    \"Adapters\":[]}],\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\
    \"KvTotal\":232217,\"Handles\":0}";
const NO_EVENTS: &str = "{\"BootEpoch\":1,\"Next\":0,\"Lost\":false,\"Events\":[]}";
const NO_PARTS: &str = "{\"BootEpoch\":1,\"Next\":0,\"Held\":[]}";

/// Returns whether the request names another engine or other weights.
fn is_other(request: &Request, id: &str) -> bool {
    let instance = request.header("expect-instance");
    let weights = request.header("expect-version");
    instance.is_some_and(|instance| instance != id) || weights.is_some_and(|text| text != "1")
}

/// Returns the head of an answer, without its last line.
pub fn head(request: &Request, media_type: &str) -> String {
    let id = request.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nWeight-Versions: 1\r\n\
         Content-Type: {media_type}\r\n"
    )
}

/// Returns an event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Returns bytes as a chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
