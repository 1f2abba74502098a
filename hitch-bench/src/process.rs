//! Child processes that are killed when they are dropped.

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

/// Interval at which a process is polled until it exits.
const POLL: Duration = Duration::from_millis(10);

/// Returns the path of a binary of this workspace, in the directory of the running executable or in
/// its parent.
pub(crate) fn binary(name: &str) -> Result<PathBuf, Error> {
    let own_path = std::env::current_exe().context(FileSnafu {
        step: "find",
        file: "path of the running executable",
    })?;
    // Cargo puts test binaries into the subdirectory `deps` of the directory of the binaries.
    let directories = own_path.ancestors().skip(1).take(2);
    let found = directories
        .map(|directory| directory.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| Error::Invalid {
        what: name.into(),
        detail: "not built; run cargo build --workspace --bins with the same profile".into(),
    })
}

/// A child process that is killed and reaped when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a binary. Its standard error is appended to the file `log`, its standard output is
    /// discarded.
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

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
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

    /// Waits until the process has exited and returns its status.
    pub(crate) async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait().context(ProcessSnafu {
                step: "wait for",
                process: self.name.clone(),
            })?;
            if let Some(status) = status {
                return Ok(status);
            }
            if Instant::now() > deadline {
                return TimeoutSnafu {
                    what: format!("the exit of {}", self.name),
                    seconds: timeout.as_secs(),
                }
                .fail();
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has exited and was already reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
