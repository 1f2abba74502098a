//! Stand-ins for the scripts of review 2: the platform's store, backends, consumers, and the start of the project's own
//! program. They follow the users' pages PROTOCOL and DEPLOY; nothing but the standard library is needed.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|err| err.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// How a script ends: 0 held, 1 broken, 2 could not run.
pub fn could_not_run(log: &Log, reason: &str) -> i32 {
    log.line(&format!("could not run: {reason}"));
    2
}

/// Returns whether the script plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The file `record.txt`, with the time of each line in milliseconds since the start.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Log {
    pub fn create(path: &str) -> io::Result<Log> {
        Ok(Log {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Writes a line to the file and to the standard output.
    pub fn line(&self, text: &str) {
        println!("{text}");
        self.detail(text);
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{ms:>6} {text}");
    }
}

/// A request or an answer: its first line, headers with names in lower case, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value.to_owned())
    }
}

/// Reads the first line and the headers; `None` if the connection ends before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= part.len() { digit as char } else { '=' });
        }
    }
    text
}

/// The platform's metadata store, as far as a small deployment uses it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar)>,
    /// While set, the store answers 503 and does nothing.
    pub is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store {
            address,
            topics: Arc::default(),
            is_down: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator does. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let (topics, changed) = &*self.topics;
        lock(topics)
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            sleep_ms(4);
            let answer = match self.is_down.load(Ordering::Relaxed) {
                true => answer("503 Service Unavailable", &[], b""),
                false => self.handle(&request),
            };
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let path = request.word(1).split('?').next().unwrap_or_default();
        match path {
            "/v1/log-append" => self.append(&topic, number("at"), &request.body),
            "/v1/log-read" => self.read(
                &topic,
                number("from").unwrap_or(0) as usize,
                number("waitMs").unwrap_or(0),
            ),
            "/v1/log-newest" => self.newest(&topic),
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, mut body: &[u8]) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let mut topics = lock(topics);
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        if at.is_some_and(|at| at != first as u64) {
            let end = format!("{{\"end\":{first}}}");
            return answer("412 Precondition Failed", &[], end.as_bytes());
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        changed.notify_all();
        let text = format!("{{\"offset\":{first},\"end\":{end}}}");
        answer("200 OK", &[], text.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let topics = lock(topics);
        let is_empty = |topics: &mut BTreeMap<String, Vec<Vec<u8>>>| {
            topics
                .get(topic)
                .is_none_or(|records| records.len() <= from)
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = changed.wait_timeout_while(topics, wait, is_empty);
        let (topics, _) = waited.unwrap_or_else(|err| err.into_inner());
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        answer("200 OK", &[], &body)
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = lock(&self.topics.0);
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let split = 1 + usize::from(record[0]);
            newest.insert(&record[1..split], (offset, &record[split..]));
        }
        let items: Vec<String> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = records.len();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}",
            items.join(",")
        );
        answer("200 OK", &[], text.as_bytes())
    }
}

/// Settings that all machines of a deployment share.
#[derive(Clone)]
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub log: Log,
    pub net: String,
    pub store: SocketAddr,
    pub bounds: Vec<String>,
    pub memory_mb: u64,
    pub processes: Arc<Mutex<Vec<u32>>>,
}

/// Time after which a script gives up and ends the processes that it started.
const LONGEST_RUN: Duration = Duration::from_secs(110);

pub const BOUNDS: [&str; 15] = [
    "seedLagS=3",
    "reuseAfterS=2",
    "stableWindowMs=3000",
    "ackMs=4000",
    "catchUpS=4",
    "drainMs=2000",
    "graceS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "downgradeSlackMs=250",
    "maxStretchMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "retryBudgetSlack=62",
    "recoveryS=15",
];

impl Site {
    /// Chooses loopback addresses on which nothing listens, and a temporary folder.
    pub fn create(log: &Log) -> io::Result<Site> {
        let root = PathBuf::from(std::env::var("REPOSITORY").map_err(io::Error::other)?);
        let folder = PathBuf::from(std::env::var("FOLDER").map_err(io::Error::other)?);
        let mut number = std::process::id();
        let net = loop {
            let net = format!("127.{}.{}", 16 + number / 250 % 200, 1 + number % 250);
            let is_free = |port: u16| TcpListener::bind(format!("{net}.10:{port}")).is_ok();
            if [8620, 8624, 8625, 8628, 8629, 7600, 9464]
                .into_iter()
                .all(is_free)
            {
                break net;
            }
            number += 1;
        };
        let processes: Arc<Mutex<Vec<u32>>> = Arc::default();
        let started = processes.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            for id in lock(&started).iter() {
                send_signal(*id, SIGKILL);
            }
            std::process::exit(2);
        });
        Ok(Site {
            root,
            folder,
            log: log.clone(),
            store: format!("{net}.2:8627").parse().map_err(io::Error::other)?,
            net,
            bounds: BOUNDS.iter().map(|bound| (*bound).to_owned()).collect(),
            memory_mb: 260,
            processes,
        })
    }

    pub fn machine(&self, number: u32, zone: &str, service: &str) -> Machine {
        Machine {
            site: self.clone(),
            name: format!("sidecar-{zone}-{number}"),
            ip: format!("{}.{}", self.net, 9 + number),
            zone: zone.to_owned(),
            service: service.to_owned(),
            child: Arc::default(),
        }
    }
}

/// One `sidecar` machine: the addresses, and the process of the project.
#[derive(Clone)]
pub struct Machine {
    pub site: Site,
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    child: Arc<Mutex<Option<Child>>>,
}

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        let address = format!("{}:{port}", self.ip).parse();
        address.unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], port)))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(8629)
    }

    pub fn ready(&self) -> SocketAddr {
        self.at(8625)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(8620)
    }

    pub fn backend(&self) -> SocketAddr {
        self.at(8628)
    }

    /// Starts the program of the deploy file.
    pub fn start(&self, bootstrap: bool) -> io::Result<()> {
        let bounds: Vec<String> = self
            .site
            .bounds
            .iter()
            .map(|b| format!("\"{b}\""))
            .collect();
        let ip = &self.ip;
        let settings = format!(
            "{{\"nodeName\":\"{}\",\"role\":\"sidecar\",\"machineClass\":\"sidecar\",\"serves\":[\"sidecar\"],\
            \"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r\",\"zones\":{{\"{zone}\":\"r\"}},\
            \"listenAddrs\":{{\"inbound\":\"{ip}:8624\",\"outbound\":\"{ip}:8629\",\"ready\":\"{ip}:8625\",\
            \"control\":\"{ip}:8620\"}},\"internalPorts\":[7600,7615],\"seeds\":[],\"bootstrap\":{bootstrap},\
            \"countsInQuorum\":false,\"limits\":{{\"cpuShare\":0.2,\"cores\":1,\"memoryMb\":{memory},\"maxFds\":4100,\
            \"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"static\",\"ingress\":\"static\",\
            \"heartbeatMs\":1500,\"policies\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"platform\"],\
            \"faultTolerance\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\"bounds\":[{}],\
            \"appAddr\":\"{ip}:8628\",\"service\":\"{}\",\"platform\":{{\"address\":\"{}\",\"form\":\"log\",\
            \"writesPerS\":400,\"readsPerS\":2000,\"parts\":8,\"appendMs\":4.0,\"partitionMbS\":20.0,\"readMbS\":80.0,\
            \"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":300,\"partMb\":200,\"ttlMinMs\":1000}}}}",
            self.name,
            bounds.join(","),
            self.service,
            self.site.store,
            zone = self.zone,
            memory = self.site.memory_mb,
        );
        let path = self.site.folder.join(format!("{}.json", self.name));
        fs::write(&path, settings)?;
        let output = self.site.folder.join(format!("{}.log", self.name));
        let output = File::options().create(true).append(true).open(output)?;
        let child = Command::new(program(&self.site.root)?)
            .current_dir(&self.site.root)
            .env("CRANBERRYHITCH_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        lock(&self.site.processes).push(child.id());
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Sends a signal to the process that `start` started, if it has not ended.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &mut *lock(&self.child)
            && matches!(child.try_wait(), Ok(None))
        {
            send_signal(child.id(), number);
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            lock(&self.site.processes).retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of the process, in bytes; 0 if it is not running.
    pub fn resident_bytes(&self) -> u64 {
        let id = lock(&self.child).as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = lock(&self.child);
        child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let answer = exchange(self.ready(), request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn await_ready(&self, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

/// Reads the program from the deploy file.
fn program(root: &Path) -> io::Result<PathBuf> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let run = line.map(|line| line.trim().trim_matches('"').to_owned());
    run.map(|run| root.join(run))
        .ok_or_else(|| io::ErrorKind::NotFound.into())
}

/// Ends all processes of a site when dropped.
pub struct Cleanup(pub Vec<Machine>);

impl Drop for Cleanup {
    fn drop(&mut self) {
        for machine in &self.0 {
            machine.signal(SIGCONT);
            machine.kill();
        }
    }
}

/// What a backend has seen of one request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub by: String,
}

/// A backend: one lifetime at the address of a machine.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub machine: Machine,
    pub born: u64,
    pub capacity: u32,
    pub state: Arc<Mutex<String>>,
    pub sequence: Arc<AtomicU64>,
    pub beats: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Set when the lifetime has ended.
    pub has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Answers one request: gets the backend, the head of the request and both ways of the connection. Returns whether the
/// connection stays open.
pub type Handler = Arc<
    dyn Fn(&Backend, Message, &mut BufReader<TcpStream>, &mut TcpStream) -> io::Result<bool>
        + Send
        + Sync,
>;

impl Backend {
    pub fn start(machine: &Machine, id: &str, born: u64, handler: Handler) -> io::Result<Backend> {
        let listener = TcpListener::bind(machine.backend())?;
        let backend = Backend {
            id: id.to_owned(),
            machine: machine.clone(),
            born,
            capacity: 13,
            state: Arc::new(Mutex::new("ready".to_owned())),
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            runs: Arc::default(),
            has_ended: Arc::default(),
            connections: Arc::default(),
        };
        let shared = backend.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).ok();
            while !shared.has_ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let (backend, handler) = (shared.clone(), handler.clone());
                thread::spawn(move || {
                    let _ = backend.serve(stream, &handler);
                });
            }
        });
        let shared = backend.clone();
        thread::spawn(move || {
            while !shared.has_ended.load(Ordering::Relaxed) {
                if shared.beats.load(Ordering::Relaxed) {
                    let _ = shared.beat();
                }
                sleep_ms(1_500);
            }
        });
        Ok(backend)
    }

    /// Ends the lifetime as a crash does: the listener and all connections end.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        sleep_ms(20);
    }

    /// Sends one heartbeat, and returns whether the node acknowledged it.
    pub fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = lock(&self.state).clone();
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
            \"capacity\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingMs\":0}}}}",
            self.machine.backend(),
            self.born,
            self.machine.service,
            self.machine.zone,
            self.capacity
        );
        self.call("instances.heartbeat", &body)
    }

    /// Sends the call by which a backend leaves, and returns whether the node acknowledged it.
    pub fn deregister(&self) -> bool {
        self.beats.store(false, Ordering::Relaxed);
        let body = format!("{{\"born\":{}}}", self.born);
        self.call("instances.deregister", &body)
    }

    fn call(&self, name: &str, body: &str) -> bool {
        let request = format!(
            "POST /v1/rpc?call={name}&of={} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\n\
            content-length: {}\r\nconnection: close\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let answer = exchange(
            self.machine.control(),
            request.as_bytes(),
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        lock(&self.connections).push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_head(&mut reader)? {
            if request.word(1) == "/health" {
                let is_well = *lock(&self.state) == "ready";
                let status = if is_well {
                    "200 OK"
                } else {
                    "503 Service Unavailable"
                };
                writer.write_all(&answer(status, &[("X-Instance-Id", &self.id)], b""))?;
                continue;
            }
            if !handler(self, request, &mut reader, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Notes that the request begins to run.
    pub fn record_run(&self, request: &Message) {
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let log = &self.machine.site.log;
        log.detail(&format!("backend {}: runs {id}", self.id));
        let run = Run {
            id,
            at: Instant::now(),
            by: self.id.clone(),
        };
        lock(&self.runs).push(run);
    }
}

/// Returns the answer of a backend that ran the request.
pub fn signed(request: &Message, status: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("x-attempt-id").unwrap_or_default();
    answer(
        status,
        &[("X-Attempt-Id", id), ("X-Response-Signature", "3e1b.07")],
        body,
    )
}

/// A handler that reads the body, checks the instance, runs the request for a time and answers.
pub fn sound(work_ms: u64) -> Handler {
    Arc::new(move |backend, mut request, reader, writer| {
        read_body(reader, &mut request)?;
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != backend.id) {
            let id = request.header("x-attempt-id").unwrap_or_default();
            let headers = [("X-Attempt-Id", id), ("X-Instance-Id", &*backend.id)];
            writer.write_all(&answer("421 Misdirected Request", &headers, b""))?;
            return Ok(true);
        }
        backend.record_run(&request);
        sleep_ms(work_ms);
        writer.write_all(&signed(&request, "200 OK", b"done"))?;
        Ok(true)
    })
}

/// Returns a configuration. Each route is a row in the order of the columns below.
pub fn config(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("[\"{name}\",\"/health\",130]"))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\
        \"targetLatencyMs\",\"priority\",\"maxAttempts\",\"service\"],\"rows\":[{}]}},\
        \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],\"rows\":[{}]}},\
        \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
        \"idleTimeoutMs\":15000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    target_ms: u64,
    service: &str,
) -> String {
    format!(
        "[\"{name}\",\"shop.example\",\"{prefix}\",\"{kind}\",{timeout_ms},{target_ms},1,2,\"{service}\"]"
    )
}

/// Returns the bytes of a consumer's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    timeout_ms: u64,
    headers: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Timeout-Ms: {timeout_ms}\r\n{headers}"
    );
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// On x86-64 and arm64.
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this script started and that has not been waited for.
fn send_signal(id: u32, number: i32) {
    if let Ok(id) = i32::try_from(id) {
        // The call takes no pointers.
        unsafe { kill(id, number) };
    }
}

unsafe extern "C" {
    fn kill(id: i32, number: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Connects as a consumer behind an Ethernet link does: with segments of 1,448 bytes in place of the 64 KiB of the
/// loopback device, and with a small window.
pub fn connect_with_small_window(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    let segment = 1_448;
    // Each pointer is to a value on the stack that outlives the call, with its length.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, 4);
        if connect(fd, bytes.as_ptr(), bytes.len() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Runs a script and ends the process with its result.
pub fn run(script: fn(&Log) -> io::Result<i32>) {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let status = match Log::create(&path) {
        Err(_) => 2,
        Ok(log) => match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| script(&log))) {
            Ok(Ok(status)) => status,
            Ok(Err(err)) => could_not_run(&log, &err.to_string()),
            Err(_) => could_not_run(&log, "the script stopped"),
        },
    };
    std::process::exit(status);
}
