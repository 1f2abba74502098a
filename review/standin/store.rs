//! The platform's store: keyed topics with one partition, as PROTOCOL.md tells them. It loses nothing and is never down.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// The records of each topic, in the order of their offsets.
type Topics = BTreeMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        let handler = store.clone();
        http::serve(TcpListener::bind(address)?, move |req, stream| {
            handler.handle(req, stream)
        });
        Ok(store)
    }

    /// Adds a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, added) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.into()).or_default();
        records.push((key.into(), value.into()));
        added.notify_all();
    }

    fn handle(&self, req: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let topic = req.query("topic").unwrap_or_default();
        let path = req.word(1).split('?').next().unwrap_or_default();
        let json = [("content-type", "application/json")];
        match path {
            "/v1/log-append" => {
                let (topics, added) = &*self.shared;
                let mut topics = topics.lock().unwrap();
                let records = topics.entry(topic.into()).or_default();
                let offset = records.len();
                let mut body = &req.body[..];
                while body.len() > 4 {
                    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                    let record = &body[4..4 + length];
                    let key = usize::from(record[0]);
                    records.push((record[1..=key].into(), record[1 + key..].into()));
                    body = &body[4 + length..];
                }
                let end = records.len();
                added.notify_all();
                drop(topics);
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                http::write(stream, "HTTP/1.1 200 OK", &json, body.as_bytes())
            }
            "/v1/log-newest" => {
                let mut topics = self.shared.0.lock().unwrap();
                let records = topics.entry(topic.into()).or_default();
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (value, offset));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, (value, _))| !value.is_empty())
                    .map(|(key, (value, offset))| {
                        let key = String::from_utf8_lossy(key);
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let end = records.len();
                let items = items.join(",");
                let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}");
                drop(topics);
                http::write(stream, "HTTP/1.1 200 OK", &json, body.as_bytes())
            }
            "/v1/log-read" => {
                let number = |name| req.query(name).and_then(|v| v.parse().ok());
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let (topics, added) = &*self.shared;
                let mut topics = topics.lock().unwrap();
                while topics.entry(topic.into()).or_default().len() <= from {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    topics = added.wait_timeout(topics, left).unwrap().0;
                }
                let records = &topics[topic];
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                drop(topics);
                http::write(stream, "HTTP/1.1 200 OK", &[], &body)
            }
            _ => http::write(stream, "HTTP/1.1 404 Not Found", &[], b""),
        }
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let byte = |i| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
