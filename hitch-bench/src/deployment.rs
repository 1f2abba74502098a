//! Deployment files, and the processes started from them.

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
use crate::http::HttpClient;
use crate::process::Process;
use crate::process::binary;

/// Ports reserved for each instance: caller, peer and admin listener of its node, and its backend
/// server.
const PORTS_PER_INSTANCE: u16 = 4;
/// Timeout for a path of a node's admin listener to be answered with status 2xx.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL: Duration = Duration::from_millis(20);

/// Services, instances and contract of a deployment, as read from a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Customer of the services.
    pub customer: Box<str>,
    /// Path of the contract file, relative to the working directory.
    pub contract: Box<str>,
    /// Region of the instances.
    pub region: Box<str>,
    /// Availability zones, to which the instances are assigned round robin.
    pub zones: Vec<Box<str>>,
    /// Time that a backend server takes to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Time that a backend server takes to answer a health check, in milliseconds.
    pub probe_ms: u64,
    /// Services, in the order in which their instances are numbered.
    pub services: Vec<Service>,
    /// Whether all nodes of a service share one backend server. Experiments without calls set it to
    /// start fewer processes.
    #[serde(default)]
    pub shared_backends: bool,
}

/// A service of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of instances, each with a backend server.
    pub servers: u16,
    /// Number of calls that a backend server runs at once.
    pub slots: u32,
    /// Maximum number of connections of a backend server.
    pub connections: u32,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
}

impl Deployment {
    /// Reads a deployment file.
    ///
    /// ```
    /// assert!(hitch_bench::Deployment::from_file("no/such/file.yaml".as_ref()).is_err());
    /// ```
    pub fn from_file(path: &Path) -> Result<Deployment, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(FileSnafu {
            step: "read",
            file: file.clone(),
        })?;
        serde_saphyr::from_str(&text).map_err(|err| Error::Invalid {
            what: file.into(),
            detail: err.to_string().into(),
        })
    }

    /// Reads the contract and, for each pair in `changes`, replaces the first text by the second.
    /// Fails if the first text does not occur.
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
                return Err(Error::Invalid { what: file, detail });
            }
            text = text.replace(from, to);
        }
        Ok(text)
    }
}

/// An instance: a node and its backend server.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) name: Box<str>,
    pub(crate) service: Box<str>,
    /// Address on which the node accepts calls.
    pub(crate) caller: SocketAddr,
    /// Address of the admin listener of the node.
    pub(crate) admin: SocketAddr,
    /// Address of the backend server; with `shared_backends`, the one of the first instance of the
    /// service.
    pub(crate) backend: SocketAddr,
    /// Process of the node; `None` while it is stopped.
    pub(crate) node: Option<Process>,
}

/// The processes of a deployment, which are killed when it is dropped.
pub(crate) struct RunningDeployment {
    /// Address of the stand-in for the log.
    pub(crate) log: SocketAddr,
    pub(crate) instances: Vec<Instance>,
    pub(crate) http: HttpClient,
    /// Working directory with the settings and the log output of the processes.
    directory: TempDir,
    _standins: Vec<Process>,
}

impl RunningDeployment {
    /// Starts a deployment, publishes the contract and waits until all nodes are ready.
    pub(crate) async fn start(
        deployment: &Deployment,
        port_base: u16,
        contract: &str,
    ) -> Result<RunningDeployment, Error> {
        let directory = tempfile::tempdir().context(FileSnafu {
            step: "create",
            file: "working directory",
        })?;
        let log = SocketAddr::from(([127, 0, 0, 1], port_base));
        let mut running = RunningDeployment {
            log,
            instances: Vec::new(),
            http: HttpClient::new(),
            directory,
            _standins: Vec::new(),
        };
        let listen = log.to_string();
        running.start_standin("log", "hitch-standin-log", &["--listen", &listen])?;
        for service in &deployment.services {
            for _ in 0..service.servers {
                running.add_instance(deployment, service, port_base)?;
            }
        }
        for index in 0..running.instances.len() {
            running.start_node(index)?;
        }
        for index in 0..running.instances.len() {
            running.wait_for(index, "/healthz").await?;
        }
        running.publish("publish", contract).await?;
        running.wait_all_ready().await?;
        Ok(running)
    }

    /// Starts a stand-in process, which runs as long as the deployment.
    fn start_standin(&mut self, name: &str, program: &str, args: &[&str]) -> Result<(), Error> {
        let log = self.directory.path().join(format!("{name}.log"));
        let process = Process::start(name, &binary(program)?, args, &log)?;
        self._standins.push(process);
        Ok(())
    }

    /// Adds an instance: writes the settings of its node, and starts its backend server unless it
    /// shares one.
    fn add_instance(
        &mut self,
        deployment: &Deployment,
        service: &Service,
        port_base: u16,
    ) -> Result<(), Error> {
        let index = self.instances.len();
        let port = port_base + (index as u16 + 1) * PORTS_PER_INSTANCE;
        let address = |offset| SocketAddr::from(([127, 0, 0, 1], port + offset));
        let name = format!("i-{}", index + 1);
        let zone = &deployment.zones[index % deployment.zones.len()];
        let (caller, peer, admin) = (address(0), address(1), address(2));
        let mut instances_of_service = self.instances.iter().filter(|i| i.service == service.name);
        let first_of_service = instances_of_service
            .next()
            .filter(|_| deployment.shared_backends);
        let backend = first_of_service.map_or(address(3), |first| first.backend);
        let starts_backend = first_of_service.is_none();
        // The first two instances are the seeds from which nodes learn the membership; these are
        // the ports of their peer listeners.
        let seed_ports = [1, 2].map(|position| port_base + position * PORTS_PER_INSTANCE + 1);
        let node = format!(
            "instance: {name}\nregion: {}\nzone: {zone}\ncaller: {caller}\npeer: {peer}\nadmin: {admin}\n\
             log: http://{}\npeers: [127.0.0.1:{}, 127.0.0.1:{}]\n\
             backend: {{ service: {}, customer: {}, address: {backend} }}\n",
            deployment.region,
            self.log,
            seed_ports[0],
            seed_ports[1],
            service.name,
            deployment.customer
        );
        self.write(&format!("node-{name}.yaml"), &node)?;
        if starts_backend {
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
        let index = self.instances.len();
        let backend_settings = format!(
            "instance: {name}\nslots: {}\nconnections: {}\nwork_ms: {}\njitter_percent: 20\nseed: {index}\n\
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
        self.start_standin(&format!("backend-{name}"), "hitch-standin-backend", &args)
    }

    /// Writes a file into the working directory and returns its path.
    fn write(&self, name: &str, text: &str) -> Result<String, Error> {
        let path = self.directory.path().join(name);
        let file = path.display().to_string();
        std::fs::write(&path, text).context(FileSnafu {
            step: "write",
            file: file.clone(),
        })?;
        Ok(file)
    }

    /// Starts the node of an instance.
    pub(crate) fn start_node(&mut self, index: usize) -> Result<(), Error> {
        let name = format!("node-{}", self.instances[index].name);
        let settings = self.directory.path().join(format!("{name}.yaml"));
        let settings = settings.display().to_string();
        let log = self.directory.path().join(format!("{name}.log"));
        let args = ["--settings", &settings];
        let process = Process::start(&name, &binary("hitch-node")?, &args, &log)?;
        self.instances[index].node = Some(process);
        Ok(())
    }

    /// Waits until a path of the admin listener of a node is answered with status 2xx.
    pub(crate) async fn wait_for(&self, index: usize, path: &str) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let instance = &self.instances[index];
        while !self.http.is_ok(instance.admin, path).await {
            if Instant::now() > deadline {
                let what = format!("status 2xx from {path} of {}", instance.name);
                let seconds = READY_TIMEOUT.as_secs();
                return TimeoutSnafu { what, seconds }.fail();
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Waits until all nodes are ready.
    pub(crate) async fn wait_all_ready(&self) -> Result<(), Error> {
        for index in 0..self.instances.len() {
            self.wait_for(index, "/readyz").await?;
        }
        Ok(())
    }

    /// Publishes or amends a contract with the command-line tool `hitch`; returns once the contract
    /// is accepted and in force on all nodes.
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

    /// Returns the addresses on which the nodes accept calls.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.caller).collect()
    }

    /// Returns the addresses of all backend servers.
    pub(crate) fn backends(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.backend).collect()
    }
}
