//! Processes that end with their owner.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;

use crate::error::Error;
use crate::error::FileSnafu;
use crate::error::ProcessSnafu;
use crate::error::TimeoutSnafu;

/// Pause between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(10);

/// Returns the path of a binary of this workspace, which is next to the own executable.
pub(crate) fn binary(name: &str) -> Result<PathBuf, Error> {
    let own = std::env::current_exe().context(FileSnafu {
        step: "find",
        file: "own executable",
    })?;
    // A test binary is in the subdirectory `deps` of the binaries.
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| Error::Content {
        file: name.into(),
        detail: "not built; run cargo build --workspace --bins with the same profile".into(),
    })
}

/// A process that is killed by its id and reaped when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a binary; its output is appended to `log`.
    pub(crate) fn start(
        name: &str,
        binary: &Path,
        args: &[&str],
        log: &Path,
    ) -> Result<Process, Error> {
        let open = || File::options().create(true).append(true).open(log);
        let out = open().context(FileSnafu {
            step: "open",
            file: log.display().to_string(),
        })?;
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()
            .context(ProcessSnafu {
                step: "start",
                process: name,
            })?;
        let name = name.into();
        Ok(Process { name, child })
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `-STOP`.
    pub(crate) fn signal(&self, signal: &str) -> Result<(), Error> {
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.id().to_string())
            .status()
            .context(ProcessSnafu {
                step: "signal",
                process: self.name.clone(),
            })?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other(status.to_string())).context(ProcessSnafu {
                step: "signal",
                process: self.name.clone(),
            }),
        }
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(&mut self, within: Duration) -> Result<ExitStatus, Error> {
        let until = Instant::now() + within;
        loop {
            let status = self.child.try_wait().context(ProcessSnafu {
                step: "wait for",
                process: self.name.clone(),
            })?;
            if let Some(status) = status {
                return Ok(status);
            }
            if Instant::now() > until {
                return TimeoutSnafu {
                    what: format!("the end of {}", self.name),
                    seconds: within.as_secs(),
                }
                .fail();
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended and was reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
