//! One request and its whole answer, under a timeout.

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

/// Bytes of a status line with its line end, without the reason phrase.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 \r\n".len();
/// Bytes of a request line without method and path.
const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
/// Bytes around the name and the value of a header field.
const FIELD_BYTES: usize = ": \r\n".len();
/// Bytes of the field that the connection adds to a request with a body.
const CONTENT_LENGTH_BYTES: usize = "content-length: 0000\r\n".len();

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the start of the body as text, for error messages.
    ///
    /// ```
    /// let answer = hitch_log::exchange::Answer { status: http::StatusCode::OK, body: "full".into() };
    /// assert_eq!(&*answer.detail(), "full");
    /// ```
    pub fn detail(&self) -> Box<str> {
        let end = self.body.len().min(200);
        String::from_utf8_lossy(&self.body[..end]).into()
    }
}

/// Why there is no whole answer.
#[derive(Debug, Clone)]
pub enum Failure {
    /// No connection could be opened or the request is malformed, so nothing was sent.
    NotSent(Box<str>),
    /// The time was over.
    TimedOut,
    /// The connection failed after the request may have been sent.
    Interrupted(Box<str>),
}

impl Client {
    /// Sends one request and reads its answer within `timeout`.
    ///
    /// This is the step below [`crate::read`] and [`crate::append`], for a log service that has other paths and bodies.
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
        let written = request_bytes(&method, path, &data);
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", inner.base))
            .header(HOST, &*inner.peer)
            .body(Full::new(data))
            .map_err(|err| Failure::NotSent(err.to_string().into()))?;
        let written = written + fields_bytes(req.headers());
        match tokio::time::timeout(timeout, run(inner, req, written)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::TimedOut),
        }
    }
}

async fn run(inner: &Inner, req: Request<Full<Bytes>>, written: usize) -> Result<Answer, Failure> {
    inner
        .bytes_written
        .fetch_add(written as u64, Ordering::Relaxed);
    let res = match inner.http.request(req).await {
        Ok(res) => res,
        Err(err) if err.is_connect() => return Err(Failure::NotSent(chain(&err))),
        Err(err) => return Err(Failure::Interrupted(chain(&err))),
    };
    let (parts, body) = res.into_parts();
    let head = STATUS_LINE_BYTES + fields_bytes(&parts.headers);
    inner.bytes_read.fetch_add(head as u64, Ordering::Relaxed);
    let limited = Limited::new(body, inner.options.max_answer_bytes);
    let body = match limited.collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return Err(Failure::Interrupted(chain(&*err))),
    };
    inner
        .bytes_read
        .fetch_add(body.len() as u64, Ordering::Relaxed);
    Ok(Answer {
        status: parts.status,
        body,
    })
}

fn request_bytes(method: &Method, path: &str, data: &Bytes) -> usize {
    let line = method.as_str().len() + path.len() + REQUEST_LINE_BYTES;
    if data.is_empty() {
        return line;
    }
    line + CONTENT_LENGTH_BYTES + data.len()
}

fn fields_bytes(fields: &HeaderMap) -> usize {
    let mut bytes = "\r\n".len();
    for (name, value) in fields {
        bytes += name.as_str().len() + value.len() + FIELD_BYTES;
    }
    bytes
}

/// Joins an error with its causes, because the client's own errors name only their kind.
fn chain(err: &dyn std::error::Error) -> Box<str> {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(&format!(": {err}"));
        cause = err.source();
    }
    text.into()
}
