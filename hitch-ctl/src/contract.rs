//! The contract file of a command.

use std::fs::File;
use std::io::Read;

use hitch_contract::Contract;
use hitch_contract::read::MAX_BYTES;

use crate::run::Error;

/// A contract that was read from a file.
pub(crate) struct Loaded {
    pub(crate) text: Box<str>,
    pub(crate) contract: Contract,
}

/// Reads and checks a contract, and no more of the file than is needed to see that it is too large.
pub(crate) fn load(file: &str) -> Result<Loaded, Error> {
    let mut bytes = Vec::new();
    let read = File::open(file).and_then(|f| f.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes));
    if let Err(source) = read {
        return Err(Error::File {
            file: file.into(),
            source,
        });
    }
    let contract = hitch_contract::from_bytes(file, &bytes)?;
    let text = String::from_utf8_lossy(&bytes).into();
    Ok(Loaded { text, contract })
}
