//! Recognises pipelined requests in the bytes that a caller sends, so that they can run before the answers to the
//! requests ahead of them are written (RFC 9112, section 9.3.2).
//!
//! An HTTP/1 server library handles one request of a connection at a time. A caller that sends further requests without
//! waiting then waits for the sum of their times. [`Scanner`] reads the same bytes as the library and returns the heads
//! of requests without a body. The library stays the authority on what a request is: the scanner gives up on anything
//! that the two could take in different ways, and the owner compares a request that it ran early with the one that the
//! library hands over.

use std::collections::VecDeque;

use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;

/// Longest head that is recognised, in bytes. A longer one ends the recognition.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a head that is recognised, as in the HTTP library.
const MAX_HEADERS: usize = 100;
/// Most recognised requests that are kept. Those beyond it are counted, and run in their turn.
const MAX_KEPT: usize = 32;
/// End of a head.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// A request on a connection, in the order of the connection.
#[derive(Debug)]
pub struct Scanned {
    /// Number of requests on the connection before this one.
    pub index: u64,
    /// The request, or `None` if it has a body or was not kept: it must run in its turn.
    pub request: Option<Request<()>>,
}

/// Finds the requests in the bytes of one connection.
#[derive(Debug)]
pub struct Scanner {
    max_head_bytes: usize,
    state: State,
    head: BytesMut,
    next_index: u64,
    found: VecDeque<Scanned>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Within a head, or between two requests.
    #[default]
    Head,
    /// Within a body of which so many bytes are left.
    Body(u64),
    /// Nothing is recognised any more.
    Ended,
}

/// What follows the head of a request.
enum Framing {
    NoBody,
    Body(u64),
    /// The message is not understood, or the last one of the connection.
    Unclear,
}

impl Default for Scanner {
    fn default() -> Scanner {
        Scanner {
            max_head_bytes: MAX_HEAD_BYTES,
            state: State::default(),
            head: BytesMut::new(),
            next_index: 0,
            found: VecDeque::new(),
        }
    }
}

impl Scanner {
    /// Lowers the length of the longest head that is recognised, in bytes, to that of the HTTP library.
    ///
    /// ```
    /// let mut scanner = hitch_edge::pipeline::Scanner::default();
    /// scanner.limit_head(10);
    /// scanner.feed(b"GET /a HTTP/1.1\r\n\r\n");
    /// assert!(scanner.pop().is_none());
    /// ```
    pub fn limit_head(&mut self, max_head_bytes: usize) {
        self.max_head_bytes = max_head_bytes.min(MAX_HEAD_BYTES);
    }

    /// Reads the next bytes of the connection.
    ///
    /// ```
    /// let mut scanner = hitch_edge::pipeline::Scanner::default();
    /// scanner.feed(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HT");
    /// let first = scanner.pop().unwrap();
    /// assert_eq!((first.index, first.request.unwrap().uri().path()), (0, "/a"));
    /// assert!(scanner.pop().is_none());
    /// ```
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                State::Ended => return,
                State::Body(left) => {
                    let skipped = (bytes.len() as u64).min(left);
                    bytes = &bytes[skipped as usize..];
                    self.state = body_state(left - skipped);
                }
                State::Head => {
                    let before = self.head.len();
                    // The end may have begun in the bytes before.
                    let searched_from = before.saturating_sub(END_OF_HEAD.len() - 1);
                    self.head.extend_from_slice(bytes);
                    let end = self.head[searched_from..]
                        .windows(END_OF_HEAD.len())
                        .position(|window| window == END_OF_HEAD);
                    let Some(end) = end else {
                        if self.head.len() > self.max_head_bytes {
                            self.state = State::Ended;
                            self.head = BytesMut::new();
                        }
                        return;
                    };
                    let length = searched_from + end + END_OF_HEAD.len();
                    bytes = &bytes[length - before..];
                    let head = self.head.split_to(length);
                    self.head = BytesMut::new();
                    self.on_head(&head);
                }
            }
        }
    }

    /// Returns the next request that was found, in the order of the connection.
    ///
    /// ```
    /// assert!(hitch_edge::pipeline::Scanner::default().pop().is_none());
    /// ```
    pub fn pop(&mut self) -> Option<Scanned> {
        self.found.pop_front()
    }

    /// Stops the recognition and forgets what was found.
    ///
    /// ```
    /// let mut scanner = hitch_edge::pipeline::Scanner::default();
    /// scanner.feed(b"GET /a HTTP/1.1\r\n\r\n");
    /// scanner.end();
    /// assert!(scanner.pop().is_none());
    /// ```
    pub fn end(&mut self) {
        self.state = State::Ended;
        self.head = BytesMut::new();
        self.found.clear();
    }

    fn on_head(&mut self, head: &[u8]) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        // The parser skips empty lines before a request.
        let is_whole = head.len() <= self.max_head_bytes
            && head.first().is_some_and(u8::is_ascii_uppercase)
            && matches!(parsed.parse(head), Ok(httparse::Status::Complete(length)) if length == head.len());
        if !is_whole || parsed.version != Some(1) {
            // What was found before stays valid.
            self.state = State::Ended;
            return;
        }
        let framing = framing(&parsed);
        self.state = match framing {
            Framing::NoBody => State::Head,
            Framing::Body(length) => body_state(length),
            Framing::Unclear => State::Ended,
        };
        let request = match framing {
            Framing::NoBody if self.found.len() < MAX_KEPT => to_request(&parsed),
            _ => None,
        };
        let index = self.next_index;
        self.next_index += 1;
        if self.found.len() < MAX_KEPT {
            self.found.push_back(Scanned { index, request });
        } else {
            // Requests after one that is not kept must not run before it.
            self.state = State::Ended;
        }
    }
}

fn body_state(left: u64) -> State {
    match left {
        0 => State::Head,
        left => State::Body(left),
    }
}

/// Determines what follows a head, as far as every reader of the message agrees on it.
fn framing(parsed: &httparse::Request<'_, '_>) -> Framing {
    let mut length = None;
    for header in parsed.headers.iter() {
        let is = |name: HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if is(header::TRANSFER_ENCODING)
            || is(header::UPGRADE)
            || is(header::EXPECT)
            || is(header::CONNECTION)
        {
            return Framing::Unclear;
        }
        if !is(header::CONTENT_LENGTH) {
            continue;
        }
        let digits = std::str::from_utf8(header.value).ok();
        let digits = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let number = digits.and_then(|text| text.parse::<u64>().ok());
        if length.is_some() || number.is_none() {
            return Framing::Unclear;
        }
        length = number;
    }
    match (parsed.method, length) {
        (Some("GET" | "HEAD"), None) => Framing::NoBody,
        (Some("POST" | "PUT" | "DELETE" | "PATCH"), None | Some(0)) => Framing::Body(0),
        (Some("POST" | "PUT" | "DELETE" | "PATCH"), Some(length)) => Framing::Body(length),
        _ => Framing::Unclear,
    }
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
