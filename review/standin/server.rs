//! A backend server: a process of its own, so that its crash is one.
//!
//! It writes a line to standard output before it runs a request: the node's word is never taken for what ran.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;

/// Interval of the heartbeats (`heartbeatMs`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Length of the body of an answer without a length, in attempt ids: 1,504 bytes.
const LONG_BODY_IDS: usize = 94;
/// Time between the begin of an answer and the crash.
const BEFORE_CRASH: Duration = Duration::from_millis(5);
/// Exit code of a backend server that a request has crashed.
pub const CRASHED: i32 = 101;

/// Runs a backend server until a request crashes it or its standard input ends, which happens when its parent ends.
///
/// Words: id, service, zone, address, address of the node's control listener, slots, `length` or `no-length`.
pub fn run(words: &[String]) -> io::Result<()> {
    let [id, service, zone, address, control, slots, length] = words else {
        return Err(io::Error::other("seven words are needed"));
    };
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let control: SocketAddr = control.parse().map_err(io::Error::other)?;
    let own_id = id.clone();
    let has_length = length == "length";
    http::serve(TcpListener::bind(address)?, move |req, stream| {
        handle(&own_id, has_length, req, stream)
    });
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(io::Error::other)?
        .as_millis();
    let beats = Beats {
        start: format!("POST /v1/rpc?call=instances.heartbeat&of={id} HTTP/1.1"),
        top: format!("\"address\":\"{address}\",\"born\":{born}"),
        info: format!(
            "\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"capacity\":{slots}"
        ),
        control,
        sequence: Mutex::new(0),
    };
    let beats: &'static Beats = Box::leak(Box::new(beats));
    std::thread::spawn(move || {
        loop {
            beats.send();
            std::thread::sleep(BEAT_INTERVAL);
        }
    });
    // Nobody writes to the standard input: it ends with the parent.
    let _ = io::stdin().read(&mut [0]);
    Ok(())
}

/// What a backend server says of itself.
struct Beats {
    start: String,
    top: String,
    info: String,
    control: SocketAddr,
    /// Number of the last heartbeat.
    sequence: Mutex<u32>,
}

impl Beats {
    /// Sends a heartbeat. One that is not acknowledged is followed by the next.
    fn send(&self) {
        let (top, info) = (&self.top, &self.info);
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let body = format!(
            "{{{top},\"info\":{{{info}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
             \"coldRemainingMs\":0}}}}"
        );
        let headers = [("host", "node"), ("content-type", "application/json")];
        let timeout = Duration::from_secs(1);
        let _ = http::call(
            self.control,
            &self.start,
            &headers,
            body.as_bytes(),
            timeout,
        );
    }
}

fn handle(id: &str, has_length: bool, req: &Message, stream: &mut TcpStream) -> io::Result<()> {
    let path = req.word(1);
    if path == "/health" {
        return http::write(stream, "HTTP/1.1 200 OK", &[("x-instance-id", id)], b"");
    }
    if req
        .header("x-target-instance")
        .is_some_and(|target| target != id)
    {
        let headers = [("x-instance-id", id)];
        return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    let Some(attempt) = req.header("x-attempt-id") else {
        let headers = [("x-not-executed", "1")];
        return http::write(stream, "HTTP/1.1 400 Bad Request", &headers, b"");
    };
    let line = format!("runs {attempt} {path} {}\n", req.body.len());
    io::stdout().write_all(line.as_bytes())?;
    io::stdout().flush()?;
    if path.ends_with("/crashes") {
        std::process::exit(CRASHED);
    }
    if path.ends_with("/crashes-late") {
        return crash_late(attempt, &format!("{id}.{attempt}"), stream);
    }
    let work = path
        .rsplit('/')
        .next()
        .and_then(|text| text.strip_prefix("work-"));
    // `work-MS` or `work-MS-BYTES`
    let mut numbers = work.into_iter().flat_map(|text| text.split('-'));
    let mut number = || numbers.next().and_then(|text| text.parse().ok());
    let (work, bytes) = (number().unwrap_or(20), number());
    let signature = format!("{id}.{attempt}");
    if !has_length {
        return answer_in_parts(attempt, &signature, Duration::from_millis(work), stream);
    }
    std::thread::sleep(Duration::from_millis(work));
    let headers = [
        ("x-attempt-id", attempt),
        ("x-response-signature", &signature),
    ];
    let body = match bytes {
        Some(bytes) => attempt.repeat(bytes as usize / attempt.len()),
        None => attempt.to_owned(),
    };
    http::write(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())
}

/// Begins to answer and crashes.
fn crash_late(attempt: &str, signature: &str, stream: &mut TcpStream) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: {signature}\r\n\
         content-length: 1504\r\n\r\n"
    );
    stream.write_all((head + attempt).as_bytes())?;
    std::thread::sleep(BEFORE_CRASH);
    std::process::exit(CRASHED)
}

/// The body of an answer without a length: the attempt id, many times.
pub fn long_body(attempt: &str) -> String {
    attempt.repeat(LONG_BODY_IDS)
}

/// Sends an answer without a length, half of it in the middle of the work, and ends it with the connection.
fn answer_in_parts(
    attempt: &str,
    signature: &str,
    work: Duration,
    stream: &mut TcpStream,
) -> io::Result<()> {
    std::thread::sleep(work / 2);
    let body = long_body(attempt);
    let (first, second) = body.split_at(body.len() / 2);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: {signature}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all((head + first).as_bytes())?;
    std::thread::sleep(work / 2);
    stream.write_all(second.as_bytes())?;
    // Ends the connection.
    Err(io::ErrorKind::ConnectionAborted.into())
}
