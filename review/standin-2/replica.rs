//! A small replica, run as a process of its own: it answers each request with numbered events, and prints what it runs.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::kit::{lock, read_body, read_head, Head};

/// How a replica works; the arguments of its process, as NAME=VALUE.
#[derive(Clone, Debug)]
pub struct Shape {
    pub id: String,
    /// Events of a whole answer.
    pub events: u64,
    /// Time until the first event, which is that of the prompt.
    pub first_ms: u64,
    /// Time between events.
    pub pause_ms: u64,
    /// Requests at once.
    pub slots: usize,
    /// Requests that wait for a slot; more are rejected with `Not-Run`.
    pub queue: usize,
    /// True if an answer has no length and ends with its connection; otherwise it comes in chunks.
    pub closes: bool,
    /// Bytes of an event's data beside its number.
    pub filler: usize,
    /// How many times as many events a request has whose path ends with `/long`.
    pub long: u64,
}

impl Shape {
    pub fn args(&self) -> Vec<String> {
        vec![
            "replica".to_owned(),
            format!("id={}", self.id),
            format!("events={}", self.events),
            format!("first={}", self.first_ms),
            format!("pause={}", self.pause_ms),
            format!("slots={}", self.slots),
            format!("queue={}", self.queue),
            format!("closes={}", u8::from(self.closes)),
            format!("filler={}", self.filler),
            format!("long={}", self.long),
        ]
    }
    pub fn of(args: &[String]) -> Self {
        let all: HashMap<&str, &str> = args.iter().filter_map(|arg| arg.split_once('=')).collect();
        let number = |name: &str| all.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        Self {
            id: all.get("id").copied().unwrap_or("i-0").to_owned(),
            events: number("events"),
            first_ms: number("first"),
            pause_ms: number("pause"),
            slots: number("slots") as usize,
            queue: number("queue") as usize,
            closes: number("closes") == 1,
            filler: number("filler") as usize,
            long: number("long").max(1),
        }
    }
}

struct Shared {
    shape: Shape,
    /// Requests running and waiting.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    output: Mutex<()>,
}

impl Shared {
    fn print(&self, text: &str) {
        let _guard = lock(&self.output);
        println!("{text}");
        let _ = std::io::stdout().flush();
    }
}

impl Shared {
    /// Takes a slot, and waits for it if none is free; false if too many wait already.
    fn enter(&self) -> bool {
        let mut load = lock(&self.load);
        if load.0 >= self.shape.slots && load.1 >= self.shape.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.shape.slots {
            load = self.freed.wait(load).unwrap_or_else(PoisonError::into_inner);
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }
    fn leave(&self) {
        lock(&self.load).0 -= 1;
        self.freed.notify_one();
    }
}

/// Text of an event.
pub fn event(request: &str, number: u64, filler: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", event_data(request, number, filler))
}

pub fn event_data(request: &str, number: u64, filler: usize) -> String {
    format!("{request}-{number}{}", "x".repeat(filler))
}

/// Runs a replica until its process ends. It prints its address first.
pub fn run(args: &[String]) {
    let shape = Shape::of(args);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the replica");
    let shared = Arc::new(Shared {
        shape,
        load: Mutex::default(),
        freed: Condvar::new(),
        output: Mutex::new(()),
    });
    // It ends with its owner.
    thread::spawn(|| {
        let mut rest = Vec::new();
        let _ = std::io::stdin().read_to_end(&mut rest);
        std::process::exit(0);
    });
    shared.print(&format!("address {}", listener.local_addr().expect("its address")));
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || {
            let _ = serve(&shared, stream);
        });
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(head) = read_head(&mut from)? {
        let _body = read_body(&mut from, &head)?;
        let target = head.line.get(1).cloned().unwrap_or_default();
        if head.line[0] == "GET" && (target == "/v1/report" || target == "/healthz") {
            let (active, queued) = *lock(&shared.load);
            let text = format!(
                "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"seq\":1,\"queued\":{queued},\"active\":{active},\"kv-used\":0,\"kv-total\":100000,\"handles\":0}}"
            );
            let reply = format!(
                "HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                shared.shape.id,
                text.len()
            );
            to.write_all(reply.as_bytes())?;
            continue;
        }
        if head.line[0] != "POST" {
            to.write_all(b"HTTP/1.1 404 Not Found\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if !answer(shared, &head, &mut to)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers a request; false if the connection ends with the answer.
fn answer(shared: &Arc<Shared>, head: &Head, to: &mut TcpStream) -> std::io::Result<bool> {
    let shape = &shared.shape;
    let id = head.header("attempt-id").unwrap_or("").to_owned();
    let is_other = head.header("expect-instance").is_some_and(|expected| expected != shape.id);
    if is_other {
        let text = format!("HTTP/1.1 421 Misdirected\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", shape.id);
        to.write_all(text.as_bytes())?;
        return Ok(true);
    }
    if !shared.enter() {
        shared.print(&format!("full {id}"));
        let text = format!("HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        to.write_all(text.as_bytes())?;
        return Ok(true);
    }
    let result = send_events(shared, head, &id, to);
    shared.leave();
    shared.print(&format!("left {id} {}", if result.is_ok() { "whole" } else { "broken" }));
    result?;
    Ok(!shape.closes)
}

fn send_events(
    shared: &Arc<Shared>,
    head: &Head,
    id: &str,
    to: &mut TcpStream,
) -> std::io::Result<()> {
    let shape = &shared.shape;
    let last: u64 = head.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    shared.print(&format!("run {id} after {last}"));
    let framing = if shape.closes {
        "Connection: close\r\n"
    } else {
        "Transfer-Encoding: chunked\r\n"
    };
    thread::sleep(Duration::from_millis(shape.first_ms));
    let text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: {id}.{}\r\nContent-Type: text/event-stream\r\n\
         Replica-Load: {},0,{}\r\n{framing}\r\n",
        shape.id,
        lock(&shared.load).0,
        shape.slots
    );
    to.write_all(text.as_bytes())?;
    let is_long = head.line.get(1).is_some_and(|target| target.ends_with("/long"));
    let events = if is_long { shape.events * shape.long } else { shape.events };
    for number in last + 1..=events {
        // Each event is handed to the kernel whole, so that a crash of the process ends the answer between two events.
        let event = event(id, number, shape.filler);
        let piece = if shape.closes {
            event
        } else {
            format!("{:x}\r\n{event}\r\n", event.len())
        };
        to.write_all(piece.as_bytes())?;
        thread::sleep(Duration::from_millis(shape.pause_ms));
    }
    if !shape.closes {
        to.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
