//! HTTP/1.1 over blocking sockets, with a thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time without any byte after which a connection is given up.
const SILENCE_MAX: Duration = Duration::from_secs(40);

pub type Headers = Vec<(String, String)>;

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> &'a str {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

/// Returns the value of a header of a response that is being made.
pub fn find_pair<'a>(headers: &'a [(&str, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.as_str())
}

/// Server that can be stopped like a process that is killed.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<std::thread::JoinHandle<()>>,
}

/// Answers one request; returns whether the connection is kept.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

impl Server {
    /// Listens at an address; port 0 stands for a free one.
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, open) = (is_stopped.clone(), connections.clone());
        let accepting = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        std::thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            address,
            is_stopped,
            connections,
            accepting: Some(accepting),
        })
    }

    /// Closes the listener and all connections at once.
    pub fn stop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_read_timeout(Some(SILENCE_MAX));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        match handler(&request, &mut writer) {
            Ok(true) => {}
            Ok(false) | Err(_) => break,
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end().to_owned())),
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    if request
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        while let Some(chunk) = read_chunk(reader)? {
            request.body.extend(chunk);
        }
    } else if let Ok(length) = request.header("content-length").parse() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    let length = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((length > 0).then_some(chunk))
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<bool> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    Ok(true)
}

/// Response whose body is read as it arrives.
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    reader: BufReader<TcpStream>,
    rest: Rest,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rest {
    Length(usize),
    Chunks,
    Ended,
}

impl Response {
    /// Returns the next part of the body; `None` at its end.
    pub fn next_part(&mut self) -> io::Result<Option<Vec<u8>>> {
        match self.rest {
            Rest::Ended => Ok(None),
            Rest::Length(length) => {
                let mut body = vec![0; length];
                self.reader.read_exact(&mut body)?;
                self.rest = Rest::Ended;
                Ok((length > 0).then_some(body))
            }
            Rest::Chunks => {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_none() {
                    self.rest = Rest::Ended;
                }
                Ok(chunk)
            }
        }
    }

    /// Returns the whole body.
    pub fn body(&mut self) -> io::Result<String> {
        let mut body = Vec::new();
        while let Some(part) = self.next_part()? {
            body.extend(part);
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}

/// Sends a request over a new connection and reads the head of the response.
pub fn send(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(&request.body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let headers = read_headers(&mut reader)?;
    let rest = match find(&headers, "transfer-encoding") {
        coding if coding.eq_ignore_ascii_case("chunked") => Rest::Chunks,
        _ => Rest::Length(find(&headers, "content-length").parse().unwrap_or(0)),
    };
    Ok(Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers,
        reader,
        rest,
    })
}
