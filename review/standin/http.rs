//! HTTP/1.1 over TCP, as far as the stand-ins need it: bodies have a length.

use std::ffi::c_int;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Window of a narrow connection, in bytes.
const WINDOW_BYTES: c_int = 64 * 1024;

/// A request or an answer. `start` is its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at the position `i`.
    pub fn word(&self, i: usize) -> &str {
        self.start.split(' ').nth(i).unwrap_or_default()
    }

    /// The status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The parameter `name` of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(n, _)| *n == name)
            .map(|(_, value)| value)
            .next()
    }
}

/// Reads a message, or returns `None` if the connection ended before its first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().into(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push((name, value));
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// The status, the bytes of the body that have arrived, and its length, of an answer that may not be whole.
pub fn received(data: &[u8]) -> Option<(u16, usize, usize)> {
    let end = data.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())?;
    Some((status, data.len() - end, length))
}

pub fn is_whole(data: &[u8]) -> bool {
    received(data).is_some_and(|(_, bytes, length)| bytes >= length)
}

unsafe extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_int,
        size: u32,
    ) -> c_int;
}

/// Gives a connection the small window that links have (`SO_RCVBUF` of its socket).
pub fn narrow(stream: &TcpStream) -> io::Result<()> {
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    let size = size_of::<c_int>() as u32;
    // SAFETY: the value is read only during the call, and its size is given.
    let result = unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &WINDOW_BYTES,
            size,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    let mut data = head.into_bytes();
    if body.len() < 64 * 1024 {
        data.extend_from_slice(body);
        return stream.write_all(&data);
    }
    stream.write_all(&data)?;
    stream.write_all(body)
}

/// Sends one request on a new connection and returns its answer.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    Kept::open(address)?.call(start, headers, body, timeout)
}

/// A connection that is kept for several requests.
pub struct Kept(BufReader<TcpStream>);

impl Kept {
    pub fn open(address: SocketAddr) -> io::Result<Kept> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Kept(BufReader::new(stream)))
    }

    /// Sends a request and returns its answer, or an error if the connection ends without one.
    pub fn call(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        write(self.0.get_mut(), start, headers, body)?;
        self.0.get_ref().set_read_timeout(Some(timeout))?;
        read(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Answers the requests of each connection in turn with what `handle` writes, in a thread for each connection.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let handle = handle.clone();
            std::thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while let Some(message) = read(&mut reader)? {
                    handle(&message, &mut writer)?;
                }
                Ok(())
            });
        }
    });
}
