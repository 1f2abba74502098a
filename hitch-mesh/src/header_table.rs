//! Header compression: a header that was sent on a connection before is replaced by its index.
//!
//! Most headers, hosts and services are the same on every call. The sender assigns an index to a header when it sends
//! it for the second time, and sends only the index from then on, much as HPACK does (RFC 7541). Unlike in HPACK,
//! entries are never evicted; a full table stops growing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::frame::Header;
use crate::frame::Kind;

/// Entries of a connection's table. Callers and backend servers use some dozens of headers.
const MAX_INDEXED: usize = 256;
/// Headers that are remembered after their first use. When the limit is reached, all of them are forgotten.
const MAX_SEEN_ONCE: usize = 256;
/// Longest name and value together that are entered into the table, in bytes.
const MAX_ENTRY_BYTES: usize = 256;
/// Pseudo-headers for the host, the caller, the service and the organisation of a call. No HTTP header name starts with a colon.
const HOST: &str = ":host";
const CALLER: &str = ":caller";
const SERVICE: &str = ":service";
const ORGANISATION: &str = ":organisation";

/// Compresses headers on the sender's side of a connection.
#[derive(Debug, Default)]
pub(crate) struct Encoder {
    indexed: BTreeMap<Header, u32>,
    seen_once: BTreeSet<Header>,
}

/// Decompresses headers on the receiver's side of a connection.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    headers: Vec<Header>,
}

impl Encoder {
    /// Replaces headers that the receiver knows by their index.
    pub(crate) fn encode(&mut self, kind: &mut Kind) {
        match kind {
            Kind::Call(call) => {
                for (name, text) in [
                    (HOST, &mut call.host),
                    (CALLER, &mut call.caller),
                    (SERVICE, &mut call.service),
                    (ORGANISATION, &mut call.organisation),
                ] {
                    if name == ORGANISATION && text.is_empty() {
                        continue;
                    }
                    call.headers.push(Header {
                        name: name.into(),
                        value: std::mem::take(text).into_bytes(),
                        number: 0,
                    });
                }
                self.encode_headers(&mut call.headers);
            }
            Kind::Answer(answer) => self.encode_headers(&mut answer.headers),
            _ => {}
        }
    }

    fn encode_headers(&mut self, headers: &mut [Header]) {
        for header in headers {
            if header.name.len() + header.value.len() > MAX_ENTRY_BYTES {
                continue;
            }
            if let Some(number) = self.indexed.get(header) {
                *header = Header {
                    number: *number,
                    ..Header::default()
                };
                continue;
            }
            if !self.seen_once.remove(header) {
                if self.seen_once.len() >= MAX_SEEN_ONCE {
                    self.seen_once.clear();
                }
                self.seen_once.insert(header.clone());
                continue;
            }
            if self.indexed.len() < MAX_INDEXED {
                let number = self.indexed.len() as u32 + 1;
                self.indexed.insert(header.clone(), number);
                header.number = number;
            }
        }
    }
}

impl Decoder {
    /// Replaces indices by the headers that they refer to. Returns whether all indices and pseudo-headers were valid.
    pub(crate) fn decode(&mut self, kind: &mut Kind) -> bool {
        match kind {
            Kind::Call(call) => {
                if !self.decode_headers(&mut call.headers) {
                    return false;
                }
                let (pseudo_headers, headers): (Vec<Header>, Vec<Header>) =
                    std::mem::take(&mut call.headers)
                        .into_iter()
                        .partition(|h| h.name.starts_with(':'));
                call.headers = headers;
                for header in pseudo_headers {
                    let Ok(text) = String::from_utf8(header.value) else {
                        return false;
                    };
                    match &*header.name {
                        HOST => call.host = text,
                        CALLER => call.caller = text,
                        SERVICE => call.service = text,
                        ORGANISATION => call.organisation = text,
                        _ => return false,
                    }
                }
                true
            }
            Kind::Answer(answer) => self.decode_headers(&mut answer.headers),
            _ => true,
        }
    }

    fn decode_headers(&mut self, headers: &mut [Header]) -> bool {
        for header in headers {
            if header.number == 0 {
                continue;
            }
            let number = std::mem::take(&mut header.number) as usize;
            if !header.name.is_empty() {
                if number != self.headers.len() + 1 || number > MAX_INDEXED {
                    return false;
                }
                self.headers.push(header.clone());
                continue;
            }
            match self.headers.get(number - 1) {
                Some(known) => *header = known.clone(),
                None => return false,
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
