//! Small stand-ins for the scripts of this review, on the standard library alone: a store as `PROTOCOL.md` describes it,
//! settings files, child processes, HTTP calls and the record.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(all) => all
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        Some(value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }
    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut all = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(all));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    all.push((key, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Map(all));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut all = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(all));
                }
                loop {
                    all.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(all));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }
    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..]
            .starts_with(word.as_bytes())
            .then(|| {
                self.at += word.len();
                value
            })
    }
    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out: Vec<u8> = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let sign = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(sign.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            other if (other as u32) < 32 => out.push_str(&format!("\\u{:04x}", other as u32)),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let all = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run to the case's `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Self {
        let path = Path::new(folder).join("record.txt");
        Self {
            file: Arc::new(Mutex::new(fs::File::create(path).expect("the record"))),
            start: Instant::now(),
        }
    }
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---------------------------------------------------------------- HTTP

/// Head of a request or of a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line, split at blanks.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(from: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.line = line.split_whitespace().map(str::to_owned).collect();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(from: &mut impl BufRead, head: &Head) -> std::io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let (body, _) = read_chunks(from)?;
        return Ok(body);
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Reads chunks; true if the last one arrived.
pub fn read_chunks(from: &mut impl BufRead) -> std::io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        match from.read_line(&mut line) {
            Ok(0) | Err(_) => return Ok((body, false)),
            Ok(_) => {}
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Ok((body, false));
        };
        let mut chunk = vec![0; size + 2];
        if from.read_exact(&mut chunk).is_err() {
            return Ok((body, false));
        }
        if size == 0 {
            return Ok((body, true));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// What a client saw of one call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if none came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// True if the framing says that the body is whole.
    pub complete: bool,
    pub cause: String,
}

/// Makes one call on a new connection.
pub fn call(address: &str, head: &str, body: &[u8], wait: Duration) -> Answer {
    let mut answer = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        complete: false,
        cause: String::new(),
    };
    if let Err(error) = try_call(address, head, body, wait, &mut answer) {
        answer.cause = error.to_string();
    }
    answer
}

fn try_call(
    address: &str,
    head: &str,
    body: &[u8],
    wait: Duration,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    let mut message = head.as_bytes().to_vec();
    message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    let mut from = BufReader::new(stream);
    let Some(head) = read_head(&mut from)? else {
        return Err(std::io::Error::other("closed before an answer"));
    };
    answer.status = head.status();
    answer.head = head;
    if answer.head.header("transfer-encoding").is_some() {
        (answer.body, answer.complete) = read_chunks(&mut from)?;
        return Ok(());
    }
    if let Some(length) = answer.head.header("content-length").and_then(|text| text.parse().ok()) {
        let mut left: usize = length;
        let mut piece = [0; 4096];
        while left > 0 {
            let size = from.read(&mut piece[..left.min(4096)])?;
            if size == 0 {
                return Ok(());
            }
            answer.body.extend_from_slice(&piece[..size]);
            left -= size;
        }
        answer.complete = true;
        return Ok(());
    }
    from.read_to_end(&mut answer.body)?;
    answer.cause = "no length, closed".to_owned();
    Ok(())
}

fn query_of(target: &str) -> BTreeMap<String, String> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- store

type Location = (String, String, String);

#[derive(Default)]
struct Rows {
    cells: BTreeMap<Location, (String, u64)>,
    changes: Vec<(u64, Location, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
    ver: u64,
    /// Transactions above the limits, which were refused, and the bytes of the largest.
    refused: (u64, usize),
}

/// The platform's store: rows, feeds and objects. Answers are linearizable, and nothing is ever lost.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
    pub address: String,
}

/// Limits of a row's content, of a transaction's entries and of its size, as the pages give them.
const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION: usize = 1_000_000;

/// Limit of an object, as the settings give it.
const BLOB_BYTES: usize = 8_388_608;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            rows: Arc::default(),
            start: Instant::now(),
            address: listener.local_addr().expect("its address").to_string(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a row of the platform's own tables, with JSON as its content.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.change((table.into(), String::new(), key.into()), Some(base64(json.as_bytes())));
    }

    /// Returns how many transactions were above the limits, and the bytes of the largest.
    pub fn refused(&self) -> (u64, usize) {
        lock(&self.rows.0).refused
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change((table.into(), String::new(), key.into()), None);
    }

    fn change(&self, location: Location, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = lock(rows);
        rows.ver += 1;
        rows.write(location, value);
        drop(rows);
        changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut to = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(head) = read_head(&mut from)? {
            let body = read_body(&mut from, &head)?;
            thread::sleep(CALL_TIME);
            let (status, content) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                content.len()
            );
            to.write_all(text.as_bytes())?;
            to.write_all(&content)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let target = head.line.get(1).cloned().unwrap_or_default();
        let path = target.split('?').next().unwrap_or("").to_owned();
        let query = query_of(&target);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path.as_str() {
            "/v1/rows-tx" => self.transact(body),
            "/v1/rows-get" => {
                let limit: usize = field("limit").parse().unwrap_or(500);
                self.read(&field("table"), &field("part"), &field("from"), &field("target"), limit)
            }
            "/v1/rows-feed" => {
                let after = field("after-rev").parse().unwrap_or(0);
                let wait = field("wait-ms").parse().unwrap_or(0);
                self.feed(&field("table"), after, Duration::from_millis(wait))
            }
            _ => self.object(&head.line[0], &path, body),
        }
    }

    fn object(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let name = path.rsplit('/').next().unwrap_or("").to_owned();
        let mut rows = lock(&self.rows.0);
        match method {
            "PUT" if body.len() > BLOB_BYTES => {
                rows.refused = (rows.refused.0 + 1, rows.refused.1.max(body.len()));
                (413, b"{}".to_vec())
            }
            "PUT" => {
                rows.objects.insert(name, body.to_vec());
                (200, b"{}".to_vec())
            }
            "DELETE" => {
                rows.objects.remove(&name);
                (200, b"{}".to_vec())
            }
            _ => match rows.objects.get(&name) {
                Some(bytes) => (200, bytes.clone()),
                None => (404, b"{}".to_vec()),
            },
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, b"{}".to_vec());
        };
        let place = |entry: &Json| -> Location {
            (
                entry.get("table").text().to_owned(),
                entry.get("part").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let (expected, put, removed) = (
            call.get("expect-rev").list(),
            call.get("put").list(),
            call.get("remove").list(),
        );
        let is_large = put.iter().any(|entry| entry.get("value").text().len() > ROW_BYTES * 4 / 3 + 4);
        let entries = expected.len() + put.len() + removed.len();
        if is_large || entries > MAX_ENTRIES || body.len() > MAX_TRANSACTION {
            let mut rows = lock(&self.rows.0);
            rows.refused = (rows.refused.0 + 1, rows.refused.1.max(body.len()));
            return (400, b"{}".to_vec());
        }
        let (rows, changed) = &*self.rows;
        let mut rows = lock(rows);
        let version = |rows: &Rows, at: &Location| rows.cells.get(at).map_or(0, |(_, ver)| *ver);
        let holds = expected
            .iter()
            .all(|entry| version(&rows, &place(entry)) == entry.get("ver").number());
        if !holds {
            let current = expected.iter().filter_map(|entry| {
                let at = place(entry);
                let (value, ver) = rows.cells.get(&at)?;
                Some(row_text(&at, value, *ver))
            });
            let current: Vec<String> = current.collect();
            let text = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                current.join(","),
                rows.ver,
                self.now_ms()
            );
            return (412, text.into_bytes());
        }
        if !put.is_empty() || !removed.is_empty() {
            rows.ver += 1;
            for entry in put {
                rows.write(place(entry), Some(entry.get("value").text().to_owned()));
            }
            for entry in removed {
                rows.write(place(entry), None);
            }
        }
        let text = format!("{{\"ver\":{},\"now_ms\":{}}}", rows.ver, self.now_ms());
        drop(rows);
        changed.notify_all();
        (200, text.into_bytes())
    }

    fn read(&self, table: &str, part: &str, from: &str, until: &str, limit: usize) -> (u16, Vec<u8>) {
        let rows = lock(&self.rows.0);
        let mut found = Vec::new();
        let mut size = 0;
        let mut more = false;
        for (at, (value, ver)) in &rows.cells {
            let is_in = at.0 == table
                && at.1 == part
                && at.2.as_str() >= from
                && (until.is_empty() || at.2.as_str() < until);
            if !is_in {
                continue;
            }
            if found.len() >= limit.min(500) || size > 900_000 {
                more = true;
                break;
            }
            let text = row_text(at, value, *ver);
            size += text.len();
            found.push(text);
        }
        let text = format!(
            "{{\"rows\":[{}],\"has-more\":{more},\"ver\":{},\"now_ms\":{}}}",
            found.join(","),
            rows.ver,
            self.now_ms()
        );
        (200, text.into_bytes())
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let (rows, changed) = &*self.rows;
        let mut rows = lock(rows);
        loop {
            let found = rows.changes.iter().filter(|(ver, at, _)| *ver > after && at.0 == table);
            let found = found.map(|(ver, at, value)| match value {
                Some(value) => row_text(at, value, *ver),
                None => format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver},\"gone\":true}}",
                    quote(&at.0),
                    quote(&at.1),
                    quote(&at.2)
                ),
            });
            let found: Vec<String> = found.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    found.join(","),
                    rows.ver,
                    self.now_ms()
                );
                return (200, text.into_bytes());
            }
            rows = changed
                .wait_timeout(rows, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Rows {
    fn write(&mut self, at: Location, value: Option<String>) {
        let ver = self.ver;
        match &value {
            Some(text) => {
                self.cells.insert(at.clone(), (text.clone(), ver));
            }
            None => {
                self.cells.remove(&at);
            }
        }
        self.changes.push((ver, at, value));
    }
}

fn row_text(at: &Location, value: &str, ver: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"ver\":{ver}}}",
        quote(&at.0),
        quote(&at.1),
        quote(&at.2)
    )
}

// ---------------------------------------------------------------- processes

/// Ends the script, with the result "could not run", after this time; what it has started ends with it.
pub fn watch_over(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the time is over");
        std::process::exit(2);
    });
}

/// Runs a program and ends it when the owner of this process ends, however that happens: `guard PROGRAM SETTINGS LOG`.
/// Prints the program's process id first.
pub fn guard(args: &[String]) {
    let log = fs::OpenOptions::new().create(true).append(true).open(&args[2]).expect("a log");
    let errors = log.try_clone().expect("a log");
    let mut child = Command::new(&args[0])
        .env("HARRIERWARD_SETTINGS", &args[1])
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon's program; was it built?");
    println!("{}", child.id());
    let mut rest = Vec::new();
    let _ = std::io::stdin().read_to_end(&mut rest);
    let _ = child.kill();
    let _ = child.wait();
}

/// A child that ends with its owner.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    /// Closes its input, upon which it ends.
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

/// Returns a loopback address for a machine of this script; other scripts that run at the same time have others.
pub fn machine_ip(number: u16) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{}", 64 + process / 250 % 60, 1 + process % 250, number + 1)
}

/// A daemon of the deploy file with its settings, like those of a small deployment.
pub struct Daemon {
    pub name: String,
    process: Process,
    /// Process id of the daemon itself.
    pub pid: u32,
    pub front: String,
    pub ready: String,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

/// What the daemons of a script share. Each has an address of its own, and all have the same ports.
#[derive(Clone, Default)]
pub struct Site {
    /// Lines for the table `bounds`, beside the usual ones.
    pub bounds: String,
    pub folder: PathBuf,
    pub store: String,
    pub daemons: u16,
    /// Memory of a machine in megabytes; 0 for the usual 290.
    pub ram_mb: u64,
}

impl Site {
    pub fn start(&self, number: u16, root: &Path) -> Daemon {
        let seeds: Vec<String> = (0..self.daemons.min(3))
            .map(|other| format!("\"{}:8166\"", machine_ip(other)))
            .collect();
        let ip = machine_ip(number);
        let name = format!("front-zone-{}", number + 1);
        let settings = format!(
            "node = \"{name}\"\nrole = \"serving\"\nclass = \"front\"\nserves = [\"front\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"zone\"\nregion = \"region\"\nport-range = [7720,7735]\nseeds = [{seeds}]\n\
             bootstrap = true\nheartbeat-ms = 1200\nmetrics = \"9464/metrics\"\n[zones]\nzone = \"region\"\n\
             [listen]\nfront = \"{ip}:8161\"\nready = \"{ip}:8167\"\ncontrol = \"{ip}:8166\"\n\
             [limits]\ncpu-quota = 0.5\ncores = 1\nram-mb = {ram}\nmax-fds = 8200\n\
             [bounds]\nseed-stale-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-timeout-ms = 4000\nsync-s = 4.8\n\
             drain-timeout-ms = 2000\ngrace-s = 8\nconfig-apply-ms = 2000\ndowngrade-ms = 250\nskew-ms = 5000\n\
             recovery-s = 12\nfinish-by-s = 18\npoll-s = 120\ncancel-ms = 3000\nsettle-ms = 1000\nquota-over = 0.1\n\
             {bounds}\n[platform]\naddr = \"{store}\"\nform = \"table\"\nwrites-per-s = 800\nreads-per-s = 2000\n\
             tx_ms = 3.0\nrow_bytes = 65536\nacross = true\nhistory-s = 20\nblob_bytes = 8388608\n",
            seeds = seeds.join(","),
            bounds = self.bounds,
            ram = if self.ram_mb > 0 { self.ram_mb } else { 290 },
            store = self.store,
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings file");
        let mut daemon = Daemon {
            name: name.clone(),
            process: Process {
                child: Command::new("true").spawn().expect("a process"),
            },
            pid: 0,
            front: format!("{ip}:8161"),
            ready: format!("{ip}:8167"),
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            program: root.join("target/release/harrierward-platform"),
        };
        daemon.start();
        daemon
    }
}

impl Daemon {
    /// Starts the process with the command of the deploy file, under a guard that ends it with this one.
    fn start(&mut self) {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .arg("guard")
            .args([&self.program, &self.settings, &self.log])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a guard");
        let mut line = String::new();
        let _ = BufReader::new(child.stdout.take().expect("its output")).read_line(&mut line);
        self.pid = line.trim().parse().unwrap_or(0);
        self.process = Process { child };
    }
    /// Ends the process at once, as the platform does with one that exceeds its memory.
    pub fn kill(&self) {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {}", self.pid)]).status();
    }
    /// Starts the process again.
    pub fn restart(&mut self) {
        self.start();
    }
    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n";
        call(&self.ready, head, b"", Duration::from_millis(500)).status == 200
    }
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Starts this program again in another role, and passes each line that it prints to `on_line`.
pub fn start_self(args: &[String], on_line: impl Fn(String) + Send + 'static) -> Process {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a stand-in");
    let output = child.stdout.take().expect("its output");
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            on_line(line);
        }
    });
    Process { child }
}

/// A temporary folder that is removed with its owner.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
