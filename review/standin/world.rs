//! A small deployment: machines with a node (the project's program) and a backend server each, the store, and a record
//! of what was sent, answered and run.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Kept;
use crate::http::Message;
use crate::store::Store;

/// Time after which a backend server that ended is back ("the backend is back after some seconds").
const SERVER_DOWN: Duration = Duration::from_secs(2);
/// Time after which a process that was killed for its memory is back ("after a short delay").
const NODE_DOWN: Duration = Duration::from_millis(500);
/// `memoryMb` of the association's machines.
pub const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the platform's example of a configuration.
pub const MAX_BODY_BYTES: usize = 67_108_864;

pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    slots: u32,
    addresses: Addresses,
    node: Mutex<Option<Child>>,
    /// Standard input of the backend server, which ends with this process.
    server: Mutex<Option<ChildStdin>>,
    /// Process id of the backend server while it runs.
    server_pid: Mutex<Option<u32>>,
    /// When the node was started, told to stop or killed last.
    disturbed_at: Mutex<Instant>,
    /// Times at which the node was killed because it took more memory than it may.
    pub memory_kills: Mutex<Vec<Instant>>,
}

struct Addresses {
    inner: SocketAddr,
    outbound: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    app: SocketAddr,
}

/// A run of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub machine: usize,
}

pub struct World {
    pub machines: Vec<Machine>,
    pub store: Store,
    pub start: Instant,
    pub has_trouble: bool,
    /// Whether the answers of backend servers have a length.
    pub has_length: AtomicBool,
    store_address: SocketAddr,
    dir: PathBuf,
    temporary: PathBuf,
    record: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    attempts: AtomicU32,
    stopping: AtomicBool,
}

/// Takes a free port of an address.
fn free(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl World {
    /// Starts machines, each given by zone, service and slots, and waits until all nodes are ready and each backend
    /// server has run a request.
    pub fn start(
        dir: PathBuf,
        machines: &[(&'static str, &'static str, u32)],
    ) -> io::Result<Arc<World>> {
        let pid = std::process::id();
        let prefix = [127, (pid >> 8) as u8 | 1, pid as u8];
        let ip = |i: usize| IpAddr::from([prefix[0], prefix[1], prefix[2], 10 + i as u8]);
        let mut list = Vec::new();
        for (i, (zone, service, slots)) in machines.iter().enumerate() {
            list.push(Machine {
                name: format!("sidecar-{zone}-{}", i + 1),
                zone,
                service,
                slots: *slots,
                addresses: Addresses {
                    inner: free(ip(i))?,
                    outbound: free(ip(i))?,
                    ready: free(ip(i))?,
                    control: free(ip(i))?,
                    app: free(ip(i))?,
                },
                node: Mutex::new(None),
                server: Mutex::new(None),
                server_pid: Mutex::new(None),
                disturbed_at: Mutex::new(Instant::now()),
                memory_kills: Mutex::default(),
            });
        }
        let store_address = free(ip(100))?;
        let temporary = std::env::temp_dir().join(format!("hitch-review-{pid}"));
        fs::create_dir_all(&temporary)?;
        let world = Arc::new(World {
            machines: list,
            store: Store::start(store_address)?,
            start: Instant::now(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            has_length: AtomicBool::new(true),
            store_address,
            record: Mutex::new(File::create(dir.join("record.txt"))?),
            dir,
            temporary,
            runs: Mutex::default(),
            attempts: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
        });
        world.note(&format!("trouble: {}", world.has_trouble));
        Ok(world)
    }

    /// Starts the nodes and the backend servers, and waits until all are in use.
    pub fn begin(self: &Arc<World>, config: &str) -> io::Result<()> {
        self.store.put("keyed.op", "config", config.as_bytes());
        for i in 0..self.machines.len() {
            self.start_node(i, true)?;
            let world = self.clone();
            std::thread::spawn(move || world.supervise_server(i));
        }
        for i in 0..self.machines.len() {
            self.await_ready(i)?;
        }
        // The nodes connect to each other, and the first heartbeats arrive.
        std::thread::sleep(Duration::from_secs(5));
        Ok(())
    }

    /// Writes a line to the record, with the seconds since the start.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        // A record that cannot be written shows as one that is not there.
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// The command of the deploy file.
    fn command() -> io::Result<Command> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.unwrap_or_default().split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words);
        Ok(command)
    }

    /// Writes the settings file of a machine, and returns its path.
    fn write_settings(&self, i: usize, is_first: bool) -> io::Result<PathBuf> {
        let machine = &self.machines[i];
        let at = &machine.addresses;
        let (name, zone, service) = (&machine.name, machine.zone, machine.service);
        let port = at.inner.port();
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"sidecar\",\"machineClass\":\"sidecar\",\"serves\":[\"sidecar\"],\
             \"ip\":\"{}\",\"zone\":\"{zone}\",\"region\":\"nl-west\",\"listenAddrs\":{{\"inbound\":\"{}\",\
             \"outbound\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"}},\"internalPorts\":[{port},{}],\"seeds\":[],\
             \"bootstrap\":{is_first},\"limits\":{{\"memoryMb\":{MEMORY_MB},\"maxFds\":4100}},\"heartbeatMs\":1500,\
             \"bounds\":[\"stableWindowMs=3000\",\"ackMs=4000\",\"drainMs=2000\",\"graceS=6\",\
             \"configApplyMs=2000\",\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"retryBudgetSlack=62\",\
             \"recoveryS=15\"],\"appAddr\":\"{}\",\"service\":\"{service}\",\"platform\":{{\"address\":\"{}\"}}}}",
            at.inner.ip(),
            at.inner,
            at.outbound,
            at.ready,
            at.control,
            port + 1,
            at.app,
            self.store_address
        );
        let path = self.temporary.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        Ok(path)
    }

    pub fn start_node(&self, i: usize, is_first: bool) -> io::Result<()> {
        let machine = &self.machines[i];
        let name = &machine.name;
        let path = self.write_settings(i, is_first)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.temporary.join(format!("{name}.log")))?;
        let mut node = machine.node.lock().unwrap();
        if self.stopping.load(Ordering::Relaxed) {
            return Ok(());
        }
        let child = World::command()?
            .env("CRANBERRYHITCH_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.keep_pid(child.id());
        *node = Some(child);
        drop(node);
        *machine.disturbed_at.lock().unwrap() = Instant::now();
        self.note(&format!("{name}: node started"));
        Ok(())
    }

    /// Lists a process for `run.sh`, which ends what is left.
    fn keep_pid(&self, pid: u32) {
        let path = self.dir.join("pids.tmp");
        let file = File::options().create(true).append(true).open(path);
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{pid}");
        }
    }

    /// Stops a node with SIGTERM, waits for its end and starts it again.
    pub fn restart_node(&self, i: usize) -> io::Result<()> {
        let machine = &self.machines[i];
        self.note(&format!("{}: SIGTERM to the node", machine.name));
        *machine.disturbed_at.lock().unwrap() = Instant::now();
        let node = machine.node.lock().unwrap().take();
        if let Some(mut child) = node {
            let kill = format!("kill -TERM {}", child.id());
            Command::new("sh").args(["-c", &kill]).status()?;
            let status = child.wait()?;
            self.note(&format!("{}: node ended, {status}", machine.name));
        }
        self.start_node(i, false)?;
        self.await_ready(i)
    }

    pub fn await_ready(&self, i: usize) -> io::Result<()> {
        let machine = &self.machines[i];
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let answer = http::call(
                machine.addresses.ready,
                "GET /v1/ready HTTP/1.1",
                &[("host", "node")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.note(&format!("{}: ready", machine.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", machine.name)))
    }

    /// Kills the backend server of a machine. It is back after [`SERVER_DOWN`].
    pub fn kill_server(&self, i: usize) -> io::Result<()> {
        let pid = self.machines[i].server_pid.lock().unwrap();
        if let Some(pid) = *pid {
            self.note(&format!("{}: SIGKILL to the server", self.machines[i].name));
            Command::new("sh")
                .args(["-c", &format!("kill -KILL {pid}")])
                .status()?;
        }
        Ok(())
    }

    /// Whether a node has run without disturbance for a time.
    pub fn is_calm(&self, i: usize, at: Instant, time: Duration) -> bool {
        let disturbed_at = *self.machines[i].disturbed_at.lock().unwrap();
        at.saturating_duration_since(disturbed_at) >= time
    }

    fn supervise_server(&self, i: usize) -> io::Result<()> {
        let machine = &self.machines[i];
        for life in 1.. {
            let id = format!("i-{i}-{life}");
            let mut child = Command::new(std::env::current_exe()?)
                .args(["server", &id, machine.service, machine.zone])
                .arg(machine.addresses.app.to_string())
                .arg(machine.addresses.control.to_string())
                .arg(machine.slots.to_string())
                .arg(match self.has_length.load(Ordering::Relaxed) {
                    true => "length",
                    false => "no-length",
                })
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn()?;
            *machine.server.lock().unwrap() = child.stdin.take();
            *machine.server_pid.lock().unwrap() = Some(child.id());
            self.note(&format!("{}: server {id} started", machine.name));
            for line in BufReader::new(child.stdout.take().unwrap()).lines() {
                let line = line?;
                let mut words = line.split(' ').skip(1).map(str::to_owned);
                let run = Run {
                    at: Instant::now(),
                    attempt: words.next().unwrap_or_default(),
                    path: words.next().unwrap_or_default(),
                    machine: i,
                };
                self.note(&format!("{}: server {id} {line}", machine.name));
                self.runs.lock().unwrap().push(run);
            }
            // Before the process is waited for, so that its number isn't used again yet.
            *machine.server_pid.lock().unwrap() = None;
            let status = child.wait()?;
            self.note(&format!("{}: server {id} ended, {status}", machine.name));
            std::thread::sleep(SERVER_DOWN);
            if self.stopping.load(Ordering::Relaxed) {
                break;
            }
        }
        Ok(())
    }

    /// Kills a node that takes more memory than `memoryMb`, and starts it again, as the platform does.
    pub fn limit_memory(self: &Arc<World>, i: usize) {
        let world = self.clone();
        std::thread::spawn(move || {
            let machine = &world.machines[i];
            let mut most = 0;
            while !world.stopping.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(2));
                let Some(pid) = machine.node.lock().unwrap().as_ref().map(Child::id) else {
                    continue;
                };
                let used = resident_kb(pid).unwrap_or(0);
                if used > most + 20_000 {
                    world.note(&format!("{}: node takes {} MB", machine.name, used / 1_000));
                    most = used;
                }
                if used <= MEMORY_MB * 1024 {
                    continue;
                }
                let child = machine.node.lock().unwrap().take();
                if let Some(mut child) = child {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                machine.memory_kills.lock().unwrap().push(Instant::now());
                *machine.disturbed_at.lock().unwrap() = Instant::now();
                world.note(&format!(
                    "{}: node killed, it took {} MB of {MEMORY_MB}",
                    machine.name,
                    used / 1024
                ));
                most = 0;
                std::thread::sleep(NODE_DOWN);
                if world.start_node(i, false).is_err() {
                    return;
                }
            }
        });
    }

    /// Sends a request of a consumer on machine `i` on a new connection, and returns its attempt id and the answer.
    pub fn send(
        &self,
        i: usize,
        method: &str,
        path: &str,
        timeout_ms: u64,
        body: &[u8],
    ) -> (String, io::Result<Message>) {
        self.send_kept(i, &mut None, method, path, timeout_ms, body)
    }

    /// Sends a request of a consumer on machine `i` on a connection that it keeps, or on a new one if it has none.
    pub fn send_kept(
        &self,
        i: usize,
        connection: &mut Option<Kept>,
        method: &str,
        path: &str,
        timeout_ms: u64,
        body: &[u8],
    ) -> (String, io::Result<Message>) {
        let attempt = self.next_attempt();
        let name = &self.machines[i].name;
        self.note(&format!(
            "{name}: consumer sends {attempt} {method} {path}, {} bytes",
            body.len()
        ));
        let timeout = timeout_ms.to_string();
        let headers = [
            ("host", "mesh.example"),
            ("x-attempt-id", &*attempt),
            ("x-timeout-ms", &timeout),
        ];
        let start = format!("{method} {path} HTTP/1.1");
        let timeout = Duration::from_millis(timeout_ms);
        let opened = match connection.take() {
            Some(kept) => Ok(kept),
            None => Kept::open(self.machines[i].addresses.outbound),
        };
        let answer = opened.and_then(|mut kept| {
            let answer = kept.call(&start, &headers, body, timeout)?;
            *connection = Some(kept);
            Ok(answer)
        });
        let text = match &answer {
            Ok(answer) if answer.body.len() > 200 => {
                format!("{} and {} bytes", answer.status(), answer.body.len())
            }
            Ok(answer) => {
                let signed = answer.header("x-response-signature").is_some();
                let from = if signed { "the server" } else { "the mesh" };
                let text = String::from_utf8_lossy(&answer.body);
                format!("{} from {from}: {text}", answer.status())
            }
            Err(err) => format!("no answer: {err}"),
        };
        self.note(&format!("{name}: consumer of {attempt} gets {text}"));
        (attempt, answer)
    }

    /// Sends a request of a consumer that receives at most `rate` bytes a second. Returns the status of the answer, the
    /// bytes of its body that arrived and its length, or `None` if there was no answer.
    pub fn receive_slowly(
        &self,
        i: usize,
        method: &str,
        path: &str,
        timeout_ms: u64,
        rate: usize,
    ) -> io::Result<Option<(u16, usize, usize)>> {
        let (name, attempt) = (&self.machines[i].name, self.next_attempt());
        self.note(&format!("{name}: consumer sends {attempt} {method} {path}"));
        let timeout = timeout_ms.to_string();
        let headers = [
            ("host", "mesh.example"),
            ("x-attempt-id", &*attempt),
            ("x-timeout-ms", &timeout),
        ];
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        let mut stream = TcpStream::connect(self.machines[i].addresses.outbound)?;
        http::narrow(&stream)?;
        http::write(
            &mut stream,
            &format!("{method} {path} HTTP/1.1"),
            &headers,
            b"7",
        )?;
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        let mut received = Vec::new();
        let mut part = vec![0; rate / 100];
        let why = loop {
            if Instant::now() > until {
                break "the time limit".to_owned();
            }
            match stream.read(&mut part) {
                Ok(0) => break "the end of the connection".to_owned(),
                Ok(bytes) => received.extend_from_slice(&part[..bytes]),
                Err(err) => break err.to_string(),
            }
            if http::is_whole(&received) {
                break "the end of the answer".to_owned();
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        let answer = http::received(&received);
        self.note(&format!(
            "{name}: consumer of {attempt} gets {answer:?} (status, bytes of the body, its length) until {why}"
        ));
        Ok(answer)
    }

    fn next_attempt(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", std::process::id())
    }

    pub fn runs(&self) -> Vec<Run> {
        // The lines of runs that have just ended may still be on their way.
        std::thread::sleep(Duration::from_millis(300));
        self.runs.lock().unwrap().clone()
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        for machine in &self.machines {
            if let Some(mut child) = machine.node.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.temporary);
        }
        // The backend servers end with their standard input, when this process ends.
    }
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Writes a configuration: rows of route name, path prefix, kind, `timeoutMs`, `targetLatencyMs`, priority, service.
pub fn config(
    version: u32,
    routes: &[(&str, &str, &str, u32, u32, u32, &str)],
    services: &[&str],
) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout, target, priority, service)| {
            format!(
                "[\"{name}\",\"mesh.example\",\"{prefix}\",\"{kind}\",{timeout},{target},{priority},\"{service}\",2,null]"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("[\"{name}\",\"/health\",130,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\
         \"targetLatencyMs\",\"priority\",\"service\",\"maxAttempts\",\"weightedServices\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"baseVersion\":\"r{}\"}}",
        rows.join(","),
        services.join(","),
        version - 1
    )
}
