//! References to headers that were sent on a connection before.
//!
//! Most headers, hosts and services repeat on every call. The sender numbers a header when it meets it for the second
//! time and sends the number from then on, much as HPACK does (RFC 7541); unlike HPACK, nothing is ever dropped from the
//! table, which simply stops growing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::frame::Header;
use crate::frame::Kind;

/// Headers that a connection remembers at most. Callers and backend servers use some dozens.
const MAX_NUMBERED: usize = 256;
/// Headers that were met once and are kept for a second time; beyond that all are forgotten.
const MAX_MET: usize = 256;
/// Longest name and value together that are remembered, in bytes.
const MAX_BYTES: usize = 256;
/// Names under which the host, the caller and the service of a call travel. No header has such a name.
const HOST: &str = ":host";
const CALLER: &str = ":caller";
const SERVICE: &str = ":service";

/// The sender's side of a connection.
#[derive(Debug, Default)]
pub(crate) struct Sender {
    numbered: BTreeMap<Header, u32>,
    met: BTreeSet<Header>,
}

/// The receiver's side of a connection.
#[derive(Debug, Default)]
pub(crate) struct Receiver {
    headers: Vec<Header>,
}

impl Sender {
    /// Replaces what the receiver knows by references.
    pub(crate) fn pack(&mut self, kind: &mut Kind) {
        match kind {
            Kind::Call(call) => {
                for (name, text) in [
                    (HOST, &mut call.host),
                    (CALLER, &mut call.caller),
                    (SERVICE, &mut call.service),
                ] {
                    call.headers.push(Header {
                        name: name.into(),
                        value: std::mem::take(text).into_bytes(),
                        number: 0,
                    });
                }
                self.pack_headers(&mut call.headers);
            }
            Kind::Answer(answer) => self.pack_headers(&mut answer.headers),
            _ => {}
        }
    }

    fn pack_headers(&mut self, headers: &mut [Header]) {
        for header in headers {
            if header.name.len() + header.value.len() > MAX_BYTES {
                continue;
            }
            if let Some(number) = self.numbered.get(header) {
                *header = Header {
                    number: *number,
                    ..Header::default()
                };
                continue;
            }
            if !self.met.remove(header) {
                if self.met.len() >= MAX_MET {
                    self.met.clear();
                }
                self.met.insert(header.clone());
                continue;
            }
            if self.numbered.len() < MAX_NUMBERED {
                let number = self.numbered.len() as u32 + 1;
                self.numbered.insert(header.clone(), number);
                header.number = number;
            }
        }
    }
}

impl Receiver {
    /// Replaces references by what they stand for, and returns whether all of them were known.
    pub(crate) fn unpack(&mut self, kind: &mut Kind) -> bool {
        match kind {
            Kind::Call(call) => {
                if !self.unpack_headers(&mut call.headers) {
                    return false;
                }
                let (named, headers): (Vec<Header>, Vec<Header>) =
                    std::mem::take(&mut call.headers)
                        .into_iter()
                        .partition(|h| h.name.starts_with(':'));
                call.headers = headers;
                for header in named {
                    let Ok(text) = String::from_utf8(header.value) else {
                        return false;
                    };
                    match &*header.name {
                        HOST => call.host = text,
                        CALLER => call.caller = text,
                        SERVICE => call.service = text,
                        _ => return false,
                    }
                }
                true
            }
            Kind::Answer(answer) => self.unpack_headers(&mut answer.headers),
            _ => true,
        }
    }

    fn unpack_headers(&mut self, headers: &mut [Header]) -> bool {
        for header in headers {
            if header.number == 0 {
                continue;
            }
            let number = std::mem::take(&mut header.number) as usize;
            if !header.name.is_empty() {
                if number != self.headers.len() + 1 || number > MAX_NUMBERED {
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
