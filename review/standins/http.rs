//! HTTP/1.1 on blocking sockets: a server for stand-ins and a client that shows what arrived.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Serves each connection on a thread; the handler returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(reading);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(&request, &mut stream).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop()? != b'\n' {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Returns the next chunk, `Some(None)` for the last one, and `None` if the connection ended.
fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
    if size == 0 {
        while !read_line(reader)?.is_empty() {}
        return Some(None);
    }
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some(Some(chunk))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())
}

/// Answer as a caller receives it, piece by piece.
pub struct Answer {
    pub status: u16,
    headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
    left: Option<usize>,
    is_chunked: bool,
    /// Whether the answer has ended as the protocol has it.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the head of the answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let broken = || std::io::Error::other("the connection ended before the head of an answer");
    let first = read_line(&mut reader).ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let headers = read_headers(&mut reader).ok_or_else(broken)?;
    Ok(Answer {
        status: status.ok_or_else(broken)?,
        left: find(&headers, "content-length").and_then(|text| text.parse().ok()),
        is_chunked: find(&headers, "transfer-encoding").is_some(),
        headers,
        reader,
        is_complete: false,
    })
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the next bytes, or `None` at the end, complete or not.
    pub fn next(&mut self) -> Option<Vec<u8>> {
        if self.is_complete {
            return None;
        }
        if self.is_chunked {
            return match read_chunk(&mut self.reader) {
                Some(Some(chunk)) => Some(chunk),
                Some(None) => {
                    self.is_complete = true;
                    None
                }
                None => None,
            };
        }
        let left = self.left?;
        let mut bytes = vec![0; left.min(4096)];
        if left == 0 {
            self.is_complete = true;
            return None;
        }
        let count = self
            .reader
            .read(&mut bytes)
            .ok()
            .filter(|count| *count > 0)?;
        bytes.truncate(count);
        self.left = Some(left - count);
        Some(bytes)
    }

    /// Reads to the end.
    pub fn rest(&mut self) -> String {
        let mut body = Vec::new();
        while let Some(bytes) = self.next() {
            body.extend_from_slice(&bytes);
        }
        String::from_utf8_lossy(&body).into_owned()
    }
}

/// Repeats a check until it holds or the time is over.
pub fn wait_until(time: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
