//! Sends one HTTP request and reads the complete answer, within a timeout.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::client::Client;
use crate::client::Inner;

/// Bytes of a status line with its line end and without a reason phrase.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 \r\n".len();
/// Bytes of a request line in addition to the method and the path.
const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
/// Bytes of a header field in addition to its name and value.
const FIELD_BYTES: usize = ": \r\n".len();
/// Bytes of the `content-length` field that the HTTP client adds to a request with a body, for lengths of four digits.
const CONTENT_LENGTH_BYTES: usize = "content-length: 0000\r\n".len();

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the first 200 bytes of the body as text, for error messages.
    ///
    /// ```
    /// # use hitch_log::exchange::Answer;
    /// let headers = http::HeaderMap::new();
    /// let answer = Answer { status: http::StatusCode::OK, headers, body: "full".into() };
    /// assert_eq!(&*answer.detail(), "full");
    /// ```
    pub fn detail(&self) -> Box<str> {
        let end = self.body.len().min(200);
        String::from_utf8_lossy(&self.body[..end]).into()
    }
}

/// Why there is no complete answer.
#[derive(Debug, Clone)]
pub enum Failure {
    /// Nothing was sent, because no connection could be opened or the request is malformed.
    NotSent(Box<str>),
    /// No complete answer arrived within the timeout. The request may have been sent.
    TimedOut,
    /// The request may have been sent, but the connection failed, or the answer was malformed or too large.
    Interrupted(Box<str>),
}

impl Client {
    /// Sends one request and reads its answer within `timeout`.
    ///
    /// [`crate::read`] and [`crate::append`] are built on this method. It is public for log services that have
    /// other paths and bodies.
    ///
    /// ```no_run
    /// # async fn run(client: hitch_log::Client) {
    /// let timeout = std::time::Duration::from_secs(1);
    /// let answer = client.exchange(http::Method::GET, "/status", bytes::Bytes::new(), timeout).await;
    /// # }
    /// ```
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        data: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let inner = &*self.inner;
        let written = request_line_and_body_bytes(&method, path, &data);
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", inner.base))
            .header(HOST, &*inner.peer)
            .body(Full::new(data))
            .map_err(|err| Failure::NotSent(err.to_string().into()))?;
        let written = written + header_bytes(req.headers());
        match tokio::time::timeout(timeout, send(inner, req, written)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::TimedOut),
        }
    }
}

async fn send(inner: &Inner, req: Request<Full<Bytes>>, written: usize) -> Result<Answer, Failure> {
    inner
        .bytes_written
        .fetch_add(written as u64, Ordering::Relaxed);
    let res = match inner.http.request(req).await {
        Ok(res) => res,
        Err(err) if err.is_connect() => return Err(Failure::NotSent(with_causes(&err))),
        Err(err) => return Err(Failure::Interrupted(with_causes(&err))),
    };
    let (parts, body) = res.into_parts();
    let head = STATUS_LINE_BYTES + header_bytes(&parts.headers);
    inner.bytes_read.fetch_add(head as u64, Ordering::Relaxed);
    let limited = Limited::new(body, inner.options.max_answer_bytes);
    let body = match limited.collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return Err(Failure::Interrupted(with_causes(&*err))),
    };
    inner
        .bytes_read
        .fetch_add(body.len() as u64, Ordering::Relaxed);
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn request_line_and_body_bytes(method: &Method, path: &str, data: &Bytes) -> usize {
    let line = method.as_str().len() + path.len() + REQUEST_LINE_BYTES;
    if data.is_empty() {
        return line;
    }
    line + CONTENT_LENGTH_BYTES + data.len()
}

fn header_bytes(headers: &HeaderMap) -> usize {
    let mut bytes = "\r\n".len();
    for (name, value) in headers {
        bytes += name.as_str().len() + value.len() + FIELD_BYTES;
    }
    bytes
}

/// Formats an error with its chain of causes, because the errors of the HTTP client state only their kind.
fn with_causes(err: &dyn std::error::Error) -> Box<str> {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(&format!(": {err}"));
        cause = err.source();
    }
    text.into()
}
