//! Nodes of a small deployment as separate processes, with the store and an upstream beside each.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Upstream, Work};

/// What is the same for all nodes.
pub struct Fleet {
    pub store: Store,
    pub record: Record,
    pub nodes: Vec<Node>,
    /// Slots of the upstreams that are added.
    pub slots: u32,
    store_address: SocketAddr,
    bounds: String,
    place: [u8; 2],
    folder: PathBuf,
}

/// A node, and the upstream beside it.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub announce: SocketAddr,
    pub upstream: Upstream,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Zones, the same number of nodes in each.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
    /// A fleet without nodes; `bounds` are those of the settings, as JSON.
    pub fn new(record: &Record, bounds: &str) -> std::io::Result<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let place = [high % 100 + 100, low];
        let store = Store::default();
        let store_address = store.serve(&format!("127.{}.{}.7", place[0], place[1]));
        let folder = std::env::temp_dir().join(format!("stand-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            record: record.clone(),
            nodes: Vec::new(),
            slots: 16,
            store_address,
            bounds: bounds.to_owned(),
            place,
            folder,
        })
    }

    /// Starts a node with an upstream of `service` beside it; returns its index.
    pub fn add(&mut self, service: &str, version: &str, work: Work) -> std::io::Result<usize> {
        let index = self.nodes.len();
        let ip = format!("127.{}.{}.{}", self.place[0], self.place[1], index + 20);
        let zone = ZONES[index % ZONES.len()];
        let name = format!("sidecar-{zone}-{}", index + 1);
        let free = || TcpListener::bind((ip.as_str(), 0)).and_then(|bound| bound.local_addr());
        // Held until all are drawn, so that they differ.
        let held: Vec<_> = (0..6)
            .map(|_| TcpListener::bind((ip.as_str(), 0)))
            .collect();
        let ports: Vec<_> = held
            .iter()
            .flatten()
            .flat_map(TcpListener::local_addr)
            .collect();
        drop(held);
        let [callers, mesh, peer, readiness, announce, app] = ports[..] else {
            return free().map(|_| index);
        };
        let template = fs::read_to_string("deploy/sidecar.json")?;
        let zones: Vec<_> = ZONES
            .iter()
            .map(|zone| format!(r#""{zone}": "region""#))
            .collect();
        let section = r#"{{#zones}}"{{@}}": "{{.}}"{{,}}{{/zones}}"#;
        let filled = template
            .replace(section, &zones.join(","))
            .replace("{{nodeName}}", &name)
            .replace("{{zone}}", zone)
            .replace("{{region}}", "region")
            .replace("{{service}}", service)
            .replace("{{listen.outbound}}", &callers.to_string())
            .replace("{{listen.inbound}}", &mesh.to_string())
            .replace("{{listen.readiness}}", &readiness.to_string())
            .replace("{{listen.admin}}", &announce.to_string())
            .replace("{{ip}}:{{internalPorts.0}}", &peer.to_string())
            .replace("{{ip}}", &ip)
            .replace("{{provider.address}}", &self.store_address.to_string())
            .replace("{{bounds|json}}", &self.bounds);
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, filled)?;
        let id = format!("i-{:08x}", 0x7f3a_0000_u32 + index as u32);
        let upstream = Upstream::start(
            &id,
            (service, version, zone),
            (app, self.slots),
            &self.record,
            work,
        );
        upstream.beat(announce, Duration::from_millis(1_500));
        let log = self.folder.join(format!("{name}.log"));
        let mut node = Node {
            name,
            callers,
            readiness,
            announce,
            upstream,
            settings,
            log,
            process: None,
        };
        node.start()?;
        self.record.line(&format!(
            "start   {} beside {id} of {service} {version}",
            node.name
        ));
        self.nodes.push(node);
        Ok(index)
    }

    /// Waits until all nodes are ready and have had a second more to meet.
    pub fn await_ready(&self) -> bool {
        let started = Instant::now();
        let mut ready_since = None;
        while started.elapsed() < Duration::from_secs(20) {
            match self.nodes.iter().all(Node::is_ready) {
                false => ready_since = None,
                true => {
                    let since = *ready_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > Duration::from_secs(4) {
                        return true;
                    }
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Writes the operator's object `config/main`.
    pub fn configure(&self, spec: &str) {
        self.store.write("config", "main", spec);
        self.record.line(&format!("config  {spec}"));
    }

    /// Sends a request to the node `index` and records its answer.
    pub fn ask(
        &self,
        index: usize,
        method: &str,
        (host, path): (&str, &str),
        attempt: &str,
        key: Option<&str>,
        deadline: Duration,
    ) -> std::io::Result<Answer> {
        let node = &self.nodes[index];
        let millis = deadline.as_millis().to_string();
        let authorization = key.map(|key| format!("Token {key}"));
        let mut headers = vec![
            ("Host", host),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", &millis),
        ];
        headers.extend(
            authorization
                .as_deref()
                .map(|value| ("Authorization", value)),
        );
        self.record.line(&format!(
            "send    {attempt} to {}: {method} {host}{path}, key {}",
            node.name,
            key.unwrap_or("none")
        ));
        let answer = http::ask(node.callers, method, path, &headers, b"", deadline);
        let told = match &answer {
            Ok(answer) => {
                let signature = http::header(&answer.headers, "x-upstream-signature");
                let end = match answer.end.as_str() {
                    "" => String::new(),
                    end => format!(", ended by the connection: {end}"),
                };
                let (status, length) = (answer.status, answer.body.len());
                format!(
                    "{status}, {length} bytes, signature {}{end}",
                    signature.unwrap_or("none")
                )
            }
            Err(error) => format!("no answer: {error}"),
        };
        self.record
            .line(&format!("answer  {attempt} from {}: {told}", node.name));
        answer
    }

    /// Ends all processes; the nodes' logs are kept where `KEEP_LOGS` is set.
    pub fn close(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.close();
    }
}

impl Node {
    /// Starts the process as the deploy file says.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let program = Path::new("target/release/radishgap-sidecar");
        let process = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let answer = http::ask(self.readiness, "GET", "/v1/readiness", &[], b"", second);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Kills the process: SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal such as `STOP` to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = &self.process {
            let pid = process.id().to_string();
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{signal} {pid}"))
                .status();
        }
    }
}
