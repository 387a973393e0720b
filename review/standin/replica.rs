//! A replica: runs each request as a stream of events, one thread a connection. It keeps to the pages: it answers 421 to
//! a request for another instance, 503 with `Not-Run` when it is full or the request is larger than its memory, and
//! continues at `Last-Event-Id` + 1.
//!
//! replica ID [--events N] [--pause MS] [--slots N] [--close-first]
//!   --events      events of an item's answer; a stream's (`/ask/`) has 10
//!   --close-first the answer to the first item that it runs has no length and ends with its connection

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Tokens that it has memory for, in and out.
const MEMORY: u64 = 153_000;

/// Events of a stream.
const STREAM_EVENTS: u64 = 10;

struct Options {
    id: String,
    events: u64,
    pause: Duration,
    slots: usize,
    close_first: bool,
}

struct Shared {
    options: Options,
    running: AtomicUsize,
    closes_next: AtomicBool,
    runs: Mutex<HashMap<String, u32>>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has = |name: &str| arguments.iter().any(|one| one == name);
    let number = |name: &str, default: u64| {
        let at = arguments.iter().position(|one| one == name);
        at.and_then(|at| arguments.get(at + 1)?.parse().ok()).unwrap_or(default)
    };
    let options = Options {
        id: arguments[0].clone(),
        events: number("--events", 200),
        pause: Duration::from_millis(number("--pause", 10)),
        slots: number("--slots", 8) as usize,
        close_first: has("--close-first"),
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&format!("listens {}", listener.local_addr().unwrap()));
    let shared = Arc::new(Shared {
        closes_next: AtomicBool::new(options.close_first),
        options,
        running: AtomicUsize::new(0),
        runs: Mutex::default(),
    });
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || {
            let _ = serve(&shared, stream);
        });
    }
}

fn say(line: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

struct Request {
    path: String,
    headers: HashMap<String, String>,
}

fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    let mut buffer = [0; 16384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..read]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.lines();
    let path = lines.next().unwrap_or_default().split(' ').nth(1).unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = rest.split_off(end + 4);
    while body.len() < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        body.extend_from_slice(&buffer[..read]);
    }
    *rest = body.split_off(length);
    Ok(Some(Request { path, headers }))
}

fn serve(shared: &Shared, mut stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut rest)? {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        if request.path == "/healthz" {
            let id = &shared.options.id;
            write!(stream, "HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let id = header("attempt-id");
        let expected = header("expect-instance");
        if !expected.is_empty() && expected != shared.options.id {
            write!(stream, "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", shared.options.id)?;
            continue;
        }
        let tokens: u64 = header("token-count").split(',').filter_map(|one| one.trim().parse::<u64>().ok()).sum();
        if tokens > MEMORY {
            say(&format!("refuse {id}: {tokens} tokens are more than the memory"));
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if shared.running.fetch_add(1, Ordering::SeqCst) >= shared.options.slots {
            shared.running.fetch_sub(1, Ordering::SeqCst);
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let run = {
            let mut runs = shared.runs.lock().unwrap();
            let run = runs.entry(id.clone()).or_default();
            *run += 1;
            *run
        };
        let after: u64 = header("last-event-id").parse().unwrap_or(0);
        let is_item = !request.path.starts_with("/ask/");
        let closes = is_item && shared.closes_next.swap(false, Ordering::SeqCst);
        let framing = if closes { "without a length" } else { "in chunks" };
        say(&format!("begin {id} run {run} after {after} {framing}"));
        let last = if is_item { shared.options.events } else { STREAM_EVENTS };
        let answered = run_events(shared, &mut stream, &id, after + 1..=last, closes);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        match answered {
            Ok(()) => say(&format!("end {id} run {run} 200, whole")),
            Err(error) => {
                say(&format!("end {id} run {run} its connection broke: {error}"));
                return Err(error);
            }
        }
        if closes {
            return Ok(());
        }
    }
    Ok(())
}

fn run_events(
    shared: &Shared,
    stream: &mut TcpStream,
    id: &str,
    numbers: std::ops::RangeInclusive<u64>,
    closes: bool,
) -> std::io::Result<()> {
    let options = &shared.options;
    let framing = if closes { "Connection: close" } else { "Transfer-Encoding: chunked" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: {}.{id}.200\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
        options.id
    );
    stream.write_all(head.as_bytes())?;
    for number in numbers {
        thread::sleep(options.pause);
        let event = format!("id: {number}\ndata: {id}/{number}\n\n");
        if closes {
            stream.write_all(event.as_bytes())?;
        } else {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
    }
    if !closes {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
