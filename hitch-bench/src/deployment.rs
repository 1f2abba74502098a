//! Deployment files and the processes of a deployment.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use snafu::ResultExt;
use tempfile::TempDir;

use crate::error::Error;
use crate::error::FileSnafu;
use crate::error::ProcessSnafu;
use crate::error::TimeoutSnafu;
use crate::http::Http;
use crate::process::Process;
use crate::process::binary;

/// Ports between the listeners of two instances.
const PORTS_PER_INSTANCE: u16 = 4;
/// Time within which a deployment must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// A deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Customer of the services.
    pub customer: Box<str>,
    /// Path of the contract.
    pub contract: Box<str>,
    /// Region of the instances.
    pub region: Box<str>,
    /// Availability zones, to which the instances are assigned in turn.
    pub zones: Vec<Box<str>>,
    /// Time that a new connection to a backend server costs, in milliseconds.
    pub connect_ms: u64,
    /// Time that a probe of a backend server costs, in milliseconds.
    pub probe_ms: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Whether all nodes of a service share one backend server, which saves processes in
    /// experiments without calls.
    #[serde(default)]
    pub shared_backends: bool,
}

/// A service of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of backend servers.
    pub servers: u16,
    /// Slots of a backend server.
    pub slots: u32,
    /// Connections of a backend server.
    pub connections: u32,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
}

impl Deployment {
    /// Reads a deployment file.
    ///
    /// ```
    /// assert!(hitch_bench::Deployment::at("no/such/file.yaml".as_ref()).is_err());
    /// ```
    pub fn at(path: &Path) -> Result<Deployment, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(FileSnafu {
            step: "read",
            file: file.clone(),
        })?;
        serde_saphyr::from_str(&text).map_err(|err| Error::Content {
            file: file.into(),
            detail: err.to_string().into(),
        })
    }

    /// Returns the contract, with the text of some lines replaced.
    pub(crate) fn contract_with(&self, changes: &[(&str, &str)]) -> Result<String, Error> {
        let file = self.contract.clone();
        let text = std::fs::read_to_string(&*file);
        let mut text = text.context(FileSnafu {
            step: "read",
            file: file.clone(),
        })?;
        for (from, to) in changes {
            if !text.contains(from) {
                let detail = format!("no text {from:?} to replace").into();
                return Err(Error::Content { file, detail });
            }
            text = text.replace(from, to);
        }
        Ok(text)
    }
}

/// An instance: a backend server and its node.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) name: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) caller: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) backend: SocketAddr,
    /// The node, if it runs.
    pub(crate) node: Option<Process>,
}

/// The processes of a deployment; they end when it is dropped.
pub(crate) struct Running {
    pub(crate) log: SocketAddr,
    pub(crate) instances: Vec<Instance>,
    pub(crate) http: Http,
    folder: TempDir,
    _standins: Vec<Process>,
}

impl Running {
    /// Starts a deployment, publishes the contract and waits until all nodes are ready.
    pub(crate) async fn start(
        deployment: &Deployment,
        port_base: u16,
        contract: &str,
    ) -> Result<Running, Error> {
        let folder = tempfile::tempdir().context(FileSnafu {
            step: "create",
            file: "working folder",
        })?;
        let log = SocketAddr::from(([127, 0, 0, 1], port_base));
        let mut running = Running {
            log,
            instances: Vec::new(),
            http: Http::new(),
            folder,
            _standins: Vec::new(),
        };
        let listen = log.to_string();
        running.standin("log", "hitch-standin-log", &["--listen", &listen])?;
        for service in &deployment.services {
            for _ in 0..service.servers {
                running.add(deployment, service, port_base)?;
            }
        }
        for number in 0..running.instances.len() {
            running.start_node(number)?;
        }
        for number in 0..running.instances.len() {
            running.wait_for(number, "/healthz").await?;
        }
        running.publish("publish", contract).await?;
        running.wait_all_ready().await?;
        Ok(running)
    }

    fn standin(&mut self, name: &str, program: &str, args: &[&str]) -> Result<(), Error> {
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::start(name, &binary(program)?, args, &log)?;
        self._standins.push(process);
        Ok(())
    }

    fn add(
        &mut self,
        deployment: &Deployment,
        service: &Service,
        port_base: u16,
    ) -> Result<(), Error> {
        let number = self.instances.len();
        let port = port_base + (number as u16 + 1) * PORTS_PER_INSTANCE;
        let address = |offset| SocketAddr::from(([127, 0, 0, 1], port + offset));
        let name = format!("i-{}", number + 1);
        let zone = &deployment.zones[number % deployment.zones.len()];
        let (caller, peer, admin) = (address(0), address(1), address(2));
        let mut same = self.instances.iter().filter(|i| i.service == service.name);
        let shared = same.next().filter(|_| deployment.shared_backends);
        let backend = shared.map_or(address(3), |first| first.backend);
        let is_new = shared.is_none();
        // The peer listeners of the first two instances.
        let seeds = [1, 2].map(|n| port_base + n * PORTS_PER_INSTANCE + 1);
        let node = format!(
            "instance: {name}\nregion: {}\nzone: {zone}\ncaller: {caller}\npeer: {peer}\nadmin: {admin}\n\
             log: http://{}\npeers: [127.0.0.1:{}, 127.0.0.1:{}]\n\
             backend: {{ service: {}, customer: {}, address: {backend} }}\n",
            deployment.region, self.log, seeds[0], seeds[1], service.name, deployment.customer
        );
        self.write(&format!("node-{name}.yaml"), &node)?;
        if is_new {
            self.add_backend(deployment, service, &name, backend)?;
        }
        self.instances.push(Instance {
            name: name.into(),
            service: service.name.clone(),
            caller,
            admin,
            backend,
            node: None,
        });
        Ok(())
    }

    fn add_backend(
        &mut self,
        deployment: &Deployment,
        service: &Service,
        name: &str,
        address: SocketAddr,
    ) -> Result<(), Error> {
        let number = self.instances.len();
        let backend_settings = format!(
            "instance: {name}\nslots: {}\nconnections: {}\nwork_ms: {}\njitter_percent: 20\nseed: {number}\n\
             connect_ms: {}\nprobe_ms: {}\n",
            service.slots,
            service.connections,
            service.work_ms,
            deployment.connect_ms,
            deployment.probe_ms
        );
        let settings = self.write(&format!("backend-{name}.yaml"), &backend_settings)?;
        let listen = address.to_string();
        let args = ["--listen", &listen, "--settings", &settings];
        self.standin(&format!("backend-{name}"), "hitch-standin-backend", &args)
    }

    fn write(&self, name: &str, text: &str) -> Result<String, Error> {
        let path = self.folder.path().join(name);
        let file = path.display().to_string();
        std::fs::write(&path, text).context(FileSnafu {
            step: "write",
            file: file.clone(),
        })?;
        Ok(file)
    }

    /// Starts the node of an instance.
    pub(crate) fn start_node(&mut self, number: usize) -> Result<(), Error> {
        let name = format!("node-{}", self.instances[number].name);
        let settings = self.folder.path().join(format!("{name}.yaml"));
        let settings = settings.display().to_string();
        let log = self.folder.path().join(format!("{name}.log"));
        let args = ["--settings", &settings];
        let process = Process::start(&name, &binary("hitch-node")?, &args, &log)?;
        self.instances[number].node = Some(process);
        Ok(())
    }

    /// Waits until a path of the admin listener of a node has status 2xx.
    pub(crate) async fn wait_for(&self, number: usize, path: &str) -> Result<(), Error> {
        let until = Instant::now() + READY_TIMEOUT;
        let instance = &self.instances[number];
        while !self.http.is_ok(instance.admin, path).await {
            if Instant::now() > until {
                let what = format!("{path} of {}", instance.name);
                let seconds = READY_TIMEOUT.as_secs();
                return TimeoutSnafu { what, seconds }.fail();
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Waits until all nodes are ready.
    pub(crate) async fn wait_all_ready(&self) -> Result<(), Error> {
        for number in 0..self.instances.len() {
            self.wait_for(number, "/readyz").await?;
        }
        Ok(())
    }

    /// Publishes or amends a contract; returns once it is accepted and in force everywhere.
    pub(crate) async fn publish(&self, command: &str, contract: &str) -> Result<(), Error> {
        let file = self.write("contract.yaml", contract)?;
        let program = binary("hitch")?;
        let log = format!("http://{}", self.log);
        let node = self.instances[0].admin.to_string();
        let command: Box<str> = command.into();
        let mut hitch = Command::new(program);
        hitch.args(["--log", &log, "--node", &node, &command, &file]);
        hitch.args(["--operator", "bench", "--wait", "30"]);
        let output = tokio::task::spawn_blocking(move || hitch.output()).await;
        let output = output.map_err(|err| Error::load(&err))?;
        let output = output.context(ProcessSnafu {
            step: "run",
            process: "hitch",
        })?;
        if output.status.success() {
            return Ok(());
        }
        let detail = format!(
            "{}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
        let detail = detail.into();
        Err(Error::Operator { command, detail })
    }

    /// Returns the caller addresses of all nodes.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.caller).collect()
    }

    /// Returns the addresses of all backend servers.
    pub(crate) fn backends(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.backend).collect()
    }
}
