//! Settings file of a node.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::field::Field;
use crate::read::Error;
use crate::read::Options;
use crate::read::from_bytes_checked;
use crate::read::read_file;
use crate::report::Report;

/// Limit for the threads of a node, which leaves the CPU of the instance to the backend server.
pub const MAX_THREADS: u32 = 64;
/// Limit for the shards of the node's shared state (the blackboard).
pub const MAX_SHARDS: u32 = 1024;
/// Least memory of a machine, in megabytes: the process takes about 15 of them at rest.
pub const MIN_MEMORY_MB: u32 = 32;
/// Number of threads if the settings give none.
pub const DEFAULT_THREADS: u32 = 2;
/// Number of shards if the settings give none.
pub const DEFAULT_SHARDS: u32 = 8;

/// Settings that a node reads at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance that the node runs on.
    pub instance: Box<str>,
    /// Region of the instance.
    pub region: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address of the listener for callers.
    pub caller: SocketAddr,
    /// Address of the listener for other nodes.
    pub peer: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// Base URL of the platform's log, without a trailing slash.
    pub log: Box<str>,
    /// Peer addresses of the nodes to contact first (seeds); may be empty.
    pub peers: Vec<SocketAddr>,
    /// The local backend server.
    pub backend: Backend,
    /// Format of the structured log.
    pub log_format: LogFormat,
    /// Number of threads of the node, 1 to [`MAX_THREADS`].
    pub threads: u32,
    /// Number of shards of the node's shared state (the blackboard), 1 to [`MAX_SHARDS`].
    pub shards: u32,
    /// Memory that the process may use, in megabytes (2^20 bytes), or `None` if it is not limited.
    pub memory_mb: Option<u32>,
}

/// The local backend server of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that the backend server runs.
    pub service: Box<str>,
    /// Customer whose contract defines the service.
    pub customer: Box<str>,
    /// Address of the backend server.
    pub address: SocketAddr,
}

/// Output format of the structured log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

#[derive(Deserialize)]
struct Raw {
    instance: Field<Box<str>>,
    region: Field<Box<str>>,
    zone: Field<Box<str>>,
    caller: Field<Box<str>>,
    peer: Field<Box<str>>,
    admin: Field<Box<str>>,
    log: Field<Box<str>>,
    peers: Field<Vec<Field<Box<str>>>>,
    backend: Field<RawBackend>,
    log_format: Field<LogFormat>,
    threads: Field<u32>,
    shards: Field<u32>,
    memory_mb: Field<u32>,
}

#[derive(Deserialize)]
struct RawBackend {
    service: Field<Box<str>>,
    customer: Field<Box<str>>,
    address: Field<Box<str>>,
}

impl Settings {
    /// Parses and validates the settings file at `path`.
    ///
    /// ```
    /// assert!(hitch_settings::node::Settings::from_file("no/such/file.yaml").is_err());
    /// ```
    pub fn from_file(path: impl AsRef<Path>) -> Result<Settings, Error> {
        let path = path.as_ref();
        let file = path.display().to_string();
        match read_file(path) {
            Ok(bytes) => Settings::from_bytes(&file, &bytes),
            Err(source) => Err(Error::Open {
                file: file.into(),
                source,
            }),
        }
    }

    /// Parses and validates the settings in `bytes`. `file` is the name of the source in errors.
    ///
    /// ```
    /// let text = "
    /// instance: i-1
    /// region: nl-west
    /// zone: nl-west-a
    /// caller: 127.0.0.1:7100
    /// peer: 127.0.0.1:7101
    /// admin: 127.0.0.1:7102
    /// log: http://127.0.0.1:7000
    /// peers: [127.0.0.1:7201]
    /// backend: { service: ledger, customer: association, address: 127.0.0.1:7103 }
    /// ";
    /// let settings = hitch_settings::node::Settings::from_bytes("node.yaml", text.as_bytes())?;
    /// assert_eq!((settings.threads, settings.shards), (2, 8));
    /// # Ok::<(), hitch_settings::read::Error>(())
    /// ```
    pub fn from_bytes(file: &str, bytes: &[u8]) -> Result<Settings, Error> {
        let settings = from_bytes_checked(file, bytes, &Options::default(), check)?;
        Ok(settings.expect("settings without problems are complete"))
    }
}

fn check(raw: Raw, report: &mut Report) -> Option<Settings> {
    let mut scope = report.scope("", 0);
    let instance = scope.name(&raw.instance, "instance");
    let region = scope.name(&raw.region, "region");
    let zone = scope.name(&raw.zone, "zone");
    let caller = scope.address(&raw.caller, "caller");
    let peer = scope.address(&raw.peer, "peer");
    let admin = scope.address(&raw.admin, "admin");
    let log = scope.url(&raw.log, "log");
    let mut peers = Vec::new();
    for seed in raw.peers.value.iter().flatten() {
        peers.extend(scope.address(seed, "peers"));
    }
    let mut threads = DEFAULT_THREADS;
    if !raw.threads.absent {
        threads = scope.number(&raw.threads, "threads", &(1..=MAX_THREADS));
    }
    let mut shards = DEFAULT_SHARDS;
    if !raw.shards.absent {
        shards = scope.number(&raw.shards, "shards", &(1..=MAX_SHARDS));
    }
    let mut memory_mb = None;
    if !raw.memory_mb.absent {
        memory_mb = Some(scope.number(&raw.memory_mb, "memory_mb", &(MIN_MEMORY_MB..=u32::MAX)));
    }
    let line = raw.backend.line;
    let backend = scope.required(&raw.backend, "backend");
    let backend = backend.and_then(|raw| check_backend(raw, line, report));
    check_listeners([&raw.caller, &raw.peer, &raw.admin], report);
    Some(Settings {
        instance,
        region,
        zone,
        caller: caller?,
        peer: peer?,
        admin: admin?,
        log,
        peers,
        backend: backend?,
        log_format: raw.log_format.value.unwrap_or_default(),
        threads,
        shards,
        memory_mb,
    })
}

fn check_backend(raw: &RawBackend, line: u64, report: &mut Report) -> Option<Backend> {
    let mut scope = report.scope("backend", line);
    let service = scope.name(&raw.service, "service");
    let customer = scope.name(&raw.customer, "customer");
    let address = scope.address(&raw.address, "address");
    Some(Backend {
        service,
        customer,
        address: address?,
    })
}

/// Reports listeners with the same address. Port 0 may repeat, because the operating system then
/// chooses a free port for each listener.
fn check_listeners(raw: [&Field<Box<str>>; 3], report: &mut Report) {
    let fields = ["caller", "peer", "admin"];
    for later in 1..raw.len() {
        for earlier in 0..later {
            let (Some(a), Some(b)) = (&raw[earlier].value, &raw[later].value) else {
                continue;
            };
            if a != b || b.ends_with(":0") {
                continue;
            }
            let allowed = format!("an address other than that of {}", fields[earlier]);
            let mut scope = report.scope("", 0);
            scope.add(raw[later].line, fields[later], b, &allowed);
        }
    }
}
