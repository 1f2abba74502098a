//! Loading of the contract file that a command names.

use std::fs::File;
use std::io::Read;

use hitch_contract::Contract;
use hitch_contract::read::MAX_BYTES;

use crate::run::Error;

/// A valid contract and the text of its file.
pub(crate) struct ContractFile {
    pub(crate) text: Box<str>,
    pub(crate) contract: Contract,
}

/// Reads and validates the contract in `file`. Reads at most one byte more than [`MAX_BYTES`], which is enough to see
/// that a file is too large.
pub(crate) fn load(file: &str) -> Result<ContractFile, Error> {
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
    Ok(ContractFile { text, contract })
}
