//! A crowd of clients that nobody controls sends bodies to one gateway.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::caller::Stream;
use crate::fleet::Fleet;
use crate::memory::memory_kb;
use crate::record::Record;

/// Memory of a machine, as in the smallest of the small installations.
const MEMORY_MB: u64 = 110;
/// Most memory that the machine can be said to have: megabytes of 1,024 x 1,024 bytes.
const MEMORY_KB: u64 = MEMORY_MB * 1_024;
const WAVES: usize = 8;
const WAVE_TIME: Duration = Duration::from_secs(9);
/// Threads that write for the clients.
const WRITERS: usize = 4;

/// Clients of a wave that send the same.
#[derive(Clone, Copy)]
struct Kind {
    clients: usize,
    /// Length that the head announces; `None` if the body comes in chunks.
    announced: Option<usize>,
    part: &'static [u8],
    /// Bytes that each client sends after the head.
    bytes: usize,
}

/// The limit on a body is 4 MiB.
fn kinds() -> [Kind; 4] {
    const LIMIT: usize = 4_194_304;
    let plain: &[u8] = vec![b'a'; 65_536].leak();
    let large_chunk: &[u8] = [b"10000\r\n".as_slice(), &[b'a'; 0x10000], b"\r\n"]
        .concat()
        .leak();
    let small_chunks: &[u8] = b"1\r\na\r\n".repeat(4_000).leak();
    [
        // Large bodies of legal size that stop just short of their end.
        Kind {
            clients: 600,
            announced: Some(LIMIT),
            part: plain,
            bytes: LIMIT - 10,
        },
        // Bodies in very small chunks that stop short of their end.
        Kind {
            clients: 900,
            announced: None,
            part: small_chunks,
            bytes: 1_200_000,
        },
        // Bodies far over the limit that are just sent.
        Kind {
            clients: 600,
            announced: None,
            part: large_chunk,
            bytes: 4 * LIMIT,
        },
        // Small bodies that stop just short of their end.
        Kind {
            clients: 600,
            announced: Some(16_000),
            part: plain,
            bytes: 15_990,
        },
    ]
}

struct Client {
    stream: TcpStream,
    /// What is written again and again.
    part: &'static [u8],
    /// Bytes of the head, then of the parts, that are still to be written.
    head: Vec<u8>,
    left: usize,
    at: usize,
}

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (20, Duration::from_millis(50));
    let mut fleet = Fleet::start_with_memory(folder, &["v1", "v1"], stream, 1, MEMORY_MB)?;
    let address = fleet.gateways[0].callers;
    let pid = fleet.gateways[0].pid();
    let text = format!(
        "one gateway of {MEMORY_MB} MB, at rest {} kB",
        memory_kb(pid, "VmHWM:")
    );
    record.line("start", &text);
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = {
        let is_over = is_over.clone();
        std::thread::spawn(move || {
            let mut streams = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let mut stream = Stream::new(streams.len());
                stream.attempt(address, Some(1));
                streams.push(stream);
                std::thread::sleep(Duration::from_millis(500));
            }
            streams
        })
    };
    let mut most_kb = 0;
    let kinds = kinds();
    for wave in 1..=WAVES {
        let until = Instant::now() + WAVE_TIME;
        if has_trouble {
            let writers: Vec<_> = (0..WRITERS)
                .map(|writer| {
                    std::thread::spawn(move || write_all(address, wave * 10 + writer, kinds, until))
                })
                .collect();
            let sums = writers.into_iter().filter_map(|writer| writer.join().ok());
            let (opened, sent) = sums.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
            let text = format!("wave {wave}: {opened} clients sent {} MB", sent / 1_000_000);
            record.line("sent", &text);
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        if fleet.gateways[0].has_ended() {
            record.line("result", "the process ended");
            return Ok(Outcome::Broken);
        }
        most_kb = most_kb.max(memory_kb(pid, "VmHWM:"));
        let text = format!(
            "peak {most_kb} kB of {MEMORY_KB} kB, now {} kB",
            memory_kb(pid, "VmRSS:")
        );
        record.line("memory", &text);
    }
    is_over.store(true, Ordering::SeqCst);
    let streams = ordinary.join().map_err(|_| "the ordinary caller ended")?;
    let began = streams
        .iter()
        .filter(|stream| !stream.attempts[0].events.is_empty())
        .count();
    let text = format!(
        "ordinary streams: {}, began: {began}; peak {most_kb} kB",
        streams.len()
    );
    record.line("result", &text);
    Ok(match most_kb > MEMORY_KB {
        true => Outcome::Broken,
        false => Outcome::Held,
    })
}

/// Writes for some clients of each kind until a time, at which all are closed; returns how many there
/// were and how many bytes were sent.
fn write_all(
    address: SocketAddr,
    writer: usize,
    kinds: [Kind; 4],
    until: Instant,
) -> (usize, usize) {
    let mut clients = Vec::new();
    let most = kinds.iter().map(|kind| kind.clients).max().unwrap_or(0);
    // Clients of all kinds come in turn.
    for number in (writer % WRITERS..most).step_by(WRITERS) {
        for (index, kind) in kinds
            .iter()
            .enumerate()
            .filter(|(_, kind)| number < kind.clients)
        {
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                continue;
            };
            let _ = stream.set_nonblocking(true);
            let framing = match kind.announced {
                Some(length) => format!("Content-Length: {length}"),
                None => "Transfer-Encoding: chunked".to_owned(),
            };
            let head = format!(
                "POST /note/a HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: x{writer}-{index}-{number}\r\n\
                 Model: m\r\nToken-Count: 1460,80\r\nPrefix-Hash: {writer:x}{index}{number:x}:1000,c{number:x}:460\r\n\
                 Deadline-Ms: 12000\r\nAuthorization: Bearer key-teifi\r\n{framing}\r\n\r\n"
            );
            clients.push(Client {
                stream,
                part: kind.part,
                head: head.into_bytes(),
                left: kind.bytes,
                at: 0,
            });
        }
    }
    let (opened, mut sent) = (clients.len(), 0);
    while Instant::now() < until {
        let mut is_blocked = true;
        for client in &mut clients {
            let bytes = match client.head.is_empty() {
                false => client.head.as_slice(),
                true if client.left == 0 => continue,
                true => {
                    let end = client.part.len().min(client.at + client.left);
                    &client.part[client.at..end]
                }
            };
            match client.stream.write(bytes) {
                Ok(written) => {
                    is_blocked = false;
                    sent += written;
                    if client.head.is_empty() {
                        client.at = (client.at + written) % client.part.len();
                        client.left = client.left.saturating_sub(written);
                    } else {
                        client.head.drain(..written);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // The gateway has closed the connection.
                Err(_) => {
                    client.head.clear();
                    client.left = 0;
                }
            }
        }
        if is_blocked {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    (opened, sent)
}
