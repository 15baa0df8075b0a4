//! Engine that streams events, of some software version, which may crash and start again.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server, respond};
use crate::json::Json;

/// What an engine does, and what it has seen.
#[derive(Debug)]
struct State {
    software: String,
    events: u64,
    pause: Duration,
    silent_until: Option<Instant>,
    /// Time before which it begins no request that arrives.
    queues_until: Option<Instant>,
    /// Runs: request id, time of the first event and of the end.
    runs: Vec<(String, Instant, Instant)>,
    is_leaving: bool,
    /// Requests that it ran: time, request id, caller's first request of the stream.
    ran: Vec<(Instant, String)>,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub software: String,
    service: String,
    zone: String,
    born_ms: u64,
    events: u64,
    pause: Duration,
    state: Arc<Mutex<State>>,
    is_killed: Arc<AtomicBool>,
    server: Option<Server>,
    earlier: Vec<Arc<Mutex<State>>>,
}

impl Engine {
    /// Starts an engine whose streams have some events with a pause between them.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        software: &str,
        (events, pause): (u64, Duration),
    ) -> io::Result<Self> {
        let mut engine = Self {
            id: id.to_owned(),
            address: ([127, 0, 0, 1], 0).into(),
            software: software.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born_ms: 0,
            events,
            pause,
            state: new_state(software, events, pause),
            is_killed: Arc::default(),
            server: None,
            earlier: Vec::new(),
        };
        engine.listen()?;
        Ok(engine)
    }

    fn listen(&mut self) -> io::Result<()> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.born_ms = now.as_millis() as u64;
        self.is_killed = Arc::default();
        let (id, state, is_killed) = (self.id.clone(), self.state.clone(), self.is_killed.clone());
        let handler = move |request: &Request, stream: &mut TcpStream| {
            handle(&id, &state, &is_killed, request, stream)
        };
        let server = Server::start(self.address, Arc::new(handler))?;
        self.address = server.address;
        self.server = Some(server);
        Ok(())
    }

    /// Ends the process without a word: its connections are closed, and nothing listens.
    pub fn crash(&mut self) {
        self.is_killed.store(true, Ordering::SeqCst);
        self.server = None;
    }

    /// Starts it again under the id and the address that it had; it knows nothing of before.
    pub fn start_again(&mut self, software: &str) -> io::Result<()> {
        let state = new_state(software, self.events, self.pause);
        self.earlier.push(std::mem::replace(&mut self.state, state));
        self.software = software.to_owned();
        self.listen()
    }

    /// Sends no event of any stream for a time.
    pub fn fall_silent(&self, time: Duration) {
        self.state.lock().unwrap().silent_until = Some(Instant::now() + time);
    }

    /// Sends nothing at all for a time: requests that arrive are not begun.
    pub fn pause(&self, time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.silent_until = Some(Instant::now() + time);
        state.queues_until = state.silent_until;
    }

    /// Returns the runs of its present process: request id, first event and end.
    pub fn runs(&self) -> Vec<(String, Instant, Instant)> {
        self.state.lock().unwrap().runs.clone()
    }

    /// States in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Returns the requests that all its processes ran, with the time at which they reached it.
    pub fn ran(&self) -> Vec<(Instant, String)> {
        let states = self.earlier.iter().chain([&self.state]);
        states
            .flat_map(|state| state.lock().unwrap().ran.clone())
            .collect()
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> Json {
        Json::parse(&format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"{}","Slots":64,"State":"ready",
                "ColdMs":0,"Stage":"colocated","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],
                "Seq":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.software, self.born_ms,
        ))
    }
}

fn new_state(software: &str, events: u64, pause: Duration) -> Arc<Mutex<State>> {
    Arc::new(Mutex::new(State {
        software: software.to_owned(),
        events,
        pause,
        silent_until: None,
        queues_until: None,
        runs: Vec::new(),
        is_leaving: false,
        ran: Vec::new(),
    }))
}

fn handle(
    id: &str,
    state: &Mutex<State>,
    is_killed: &AtomicBool,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let request_id = request.header("request-id").to_owned();
    let expected = request.header("expect-instance");
    let mut headers = vec![("Request-Id", request_id.clone())];
    if state.lock().unwrap().is_leaving {
        headers.push(("Server-Leaving", "1".to_owned()));
    }
    let is_other_version = !["", "1"].contains(&request.header("expect-version"));
    if !["", id].contains(&expected) || is_other_version {
        headers.push(("Not-Executed", "1".to_owned()));
        return respond(stream, 421, &headers, "");
    }
    match request.path() {
        "/celerylever/report" => {
            let report = r#"{"Stage":"colocated","Models":[{"Name":"m","Version":1,"Adapters":[]}],
                "Busy":false,"Seq":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":100000,"Handles":0}"#;
            return respond(stream, 200, &[], report);
        }
        path if path.starts_with("/celerylever/") => return respond(stream, 404, &[], ""),
        "/health" => return respond(stream, 200, &[("Instance-Id", id.to_owned())], ""),
        _ => {}
    }
    headers.push(("Server-Seal", format!("seal-{id}")));
    headers.push(("Weight-Versions", "1".to_owned()));
    let (events, pause, software) = {
        let mut state = state.lock().unwrap();
        state.ran.push((Instant::now(), request_id.clone()));
        (state.events, state.pause, state.software.clone())
    };
    if request.header("model").is_empty() {
        // The work of a plain request.
        std::thread::sleep(pause);
        if is_killed.load(Ordering::SeqCst) {
            return Ok(false);
        }
        if state.lock().unwrap().is_leaving
            && crate::http::find_pair(&headers, "Server-Leaving").is_none()
        {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        return respond(
            stream,
            200,
            &headers,
            &format!("{software} ran {request_id}"),
        );
    }
    loop {
        let queues_until = state.lock().unwrap().queues_until;
        match queues_until {
            Some(until) if Instant::now() < until => std::thread::sleep(Duration::from_millis(10)),
            _ => break,
        }
        if is_closed(stream) {
            return Ok(false);
        }
    }
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in &headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut begun_at = None;
    let sent = send_events(
        stream,
        after + 1..=events,
        pause,
        &software,
        state,
        is_killed,
        &mut begun_at,
    );
    if let Some(begun_at) = begun_at {
        let run = (request_id, begun_at, Instant::now());
        state.lock().unwrap().runs.push(run);
    }
    if sent? {
        stream.write_all(b"0\r\n\r\n")?;
        return Ok(true);
    }
    Ok(false)
}

/// Sends events; returns whether all were sent. Stops at once when the connection is closed.
fn send_events(
    stream: &mut TcpStream,
    events: std::ops::RangeInclusive<u64>,
    pause: Duration,
    software: &str,
    state: &Mutex<State>,
    is_killed: &AtomicBool,
    begun_at: &mut Option<Instant>,
) -> io::Result<bool> {
    for number in events {
        std::thread::sleep(pause);
        loop {
            let silent_until = state.lock().unwrap().silent_until;
            match silent_until {
                Some(until) if Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(10))
                }
                _ => break,
            }
            if is_closed(stream) {
                return Ok(false);
            }
        }
        if is_killed.load(Ordering::SeqCst) || is_closed(stream) {
            return Ok(false);
        }
        let event = format!("id: {number}\ndata: {software}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        begun_at.get_or_insert(Instant::now());
    }
    Ok(true)
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
