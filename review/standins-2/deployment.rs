//! The project's own programs as processes on loopback addresses, with settings from the templates of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::client;
use crate::http;
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A case ends within this time whatever happens.
const LONGEST: Duration = Duration::from_secs(110);

const PEER: u16 = 0;
const STATUS: u16 = 1;
const CALLERS: u16 = 2;
const READY: u16 = 3;
const APP: u16 = 4;
const STORE: u16 = 5;
/// Where a replica behind a link takes requests.
pub const INNER: u16 = 6;

/// `graceS` and `configApplyMs` of the small sites, and the memory of their edge machines.
pub const GRACE: Duration = Duration::from_secs(8);

/// How a replica answers: milliseconds to the first event and between two, what ends its answers (`close` or `chunks`), and the
/// event after which poison requests crash it, 0 for none.
#[derive(Clone, Copy)]
pub struct Pace {
    pub first_ms: u32,
    pub gap_ms: u32,
    pub framing: &'static str,
    pub crash_at: u32,
}

/// What a replica printed: its line, and when.
pub type Lines = Arc<Mutex<Vec<(u64, String)>>>;

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub lines: Lines,
    children: Arc<Mutex<Vec<(String, Child)>>>,
    folder: PathBuf,
    net: (u8, u8),
    ports: u16,
    // Zone and region of each zone.
    zones: Vec<(&'static str, &'static str)>,
    seeds: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts the store with the first config. `seeds` are the numbers of the hosts that others start from.
    pub fn start(
        folder: &str,
        zones: &[(&'static str, &'static str)],
        seeds: &[u8],
    ) -> Result<Self, Failure> {
        let record = Arc::new(Record::create(folder)?);
        let (net, ports) = free_net()?;
        let temporary = std::env::temp_dir().join(format!("cicada-review-2-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let store = Store::start(address(net, 250, ports + STORE))?;
        let deployment = Deployment {
            record,
            store,
            lines: Lines::default(),
            children: Arc::default(),
            folder: temporary,
            net,
            ports,
            zones: zones.to_vec(),
            seeds: seeds.iter().map(|host| address(net, *host, ports + CALLERS)).collect(),
        };
        let (children, temporary) = (deployment.children.clone(), deployment.folder.clone());
        thread::spawn(move || {
            thread::sleep(LONGEST);
            end_all(&children, &temporary);
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        deployment.store.put("config", "main", &config());
        Ok(deployment)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        address(self.net, host, self.ports + port)
    }

    pub fn callers(&self, relay: u8) -> SocketAddr {
        self.at(relay, CALLERS)
    }

    pub fn app(&self, replica: u8) -> SocketAddr {
        self.at(replica, APP)
    }

    /// The fields of a process's settings, by the names of the platform's pages.
    fn fields(
        &self,
        host: u8,
        zone: &str,
        name: &str,
        bootstrap: bool,
    ) -> BTreeMap<&'static str, String> {
        let ip = self.at(host, PEER).ip().to_string();
        let region = self.zones.iter().find(|(known, _)| *known == zone).map_or("", |(_, r)| *r);
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        BTreeMap::from([
            ("nodeName", name.to_string()),
            ("region", region.to_string()),
            ("zone", zone.to_string()),
            ("ip", ip),
            ("internalPorts.0", (self.ports + PEER).to_string()),
            ("internalPorts.1", (self.ports + STATUS).to_string()),
            ("limits.memoryMb", "110".into()),
            ("platform.address", self.at(250, STORE).to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("listen.frontend", self.at(host, CALLERS).to_string()),
            ("listen.ready", self.at(host, READY).to_string()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.retryBudgetSlack", "56".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.graceS", GRACE.as_secs().to_string()),
            ("bounds.configApplyMs", "3000".into()),
            ("bounds.drainMs", "3000".into()),
            ("bounds.reuseAfterS", "2".into()),
            ("service", "liturgy".into()),
            ("app", self.at(host, APP).to_string()),
        ])
    }

    /// Runs the daemon as the deploy file does, with the settings that its template gives.
    fn run_daemon(
        &self,
        template: &str,
        host: u8,
        zone: &str,
        name: &str,
        bootstrap: bool,
    ) -> Result<(), Failure> {
        let text = fs::read_to_string(template)?;
        let fields = self.fields(host, zone, name, bootstrap);
        let settings = render(&text, &fields, &self.zones);
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/cicadad")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.keep(name, child);
        Ok(())
    }

    pub fn start_relay(&self, host: u8, zone: &str) -> Result<(), Failure> {
        self.run_daemon("deploy/relay.ini", host, zone, &format!("edge-{host}"), true)
    }

    /// Starts a relay's process again.
    pub fn restart_relay(&self, host: u8, zone: &str) -> Result<(), Failure> {
        self.run_daemon("deploy/relay.ini", host, zone, &format!("edge-{host}"), false)
    }

    pub fn start_scout(&self, host: u8, zone: &str) -> Result<(), Failure> {
        self.run_daemon("deploy/scout.ini", host, zone, &format!("side-{host}"), true)
    }

    /// Starts a replica at `inner`, and enters it into the store with the address of its host.
    pub fn start_replica(
        &self,
        host: u8,
        zone: &str,
        inner: u16,
        life: u32,
        Pace { first_ms, gap_ms, framing, crash_at }: Pace,
    ) -> Result<(), Failure> {
        let id = format!("i-{host}-{life}");
        let mut child = Command::new(std::env::current_exe()?)
            .args(["replica", &self.at(host, inner).to_string(), &id])
            .args([&first_ms.to_string(), &gap_ms.to_string(), framing, &crash_at.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("a replica has no output")?;
        let (record, lines) = (self.record.clone(), self.lines.clone());
        let (up, is_up) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(born) = line.strip_prefix("up ") {
                    let _ = up.send(born.to_string());
                    continue;
                }
                record.write(&format!("replica {line}"));
                let mut lines = lines.lock().unwrap_or_else(|error| error.into_inner());
                lines.push((record.now(), line));
            }
        });
        self.keep(&format!("replica-{host}-{life}"), child);
        let born = is_up.recv_timeout(Duration::from_secs(5))?;
        let spec = format!(
            r#"{{"service":"liturgy","address":"{}","zone":"{zone}","version":1,"slots":24,"state":"ready","coldRemainingMs":0,"seq":1,"born":{born}}}"#,
            self.at(host, APP)
        );
        self.store.put("servers", &id, &spec);
        Ok(())
    }

    fn keep(&self, name: &str, child: Child) {
        let mut children = self.children.lock().unwrap_or_else(|error| error.into_inner());
        children.push((name.to_string(), child));
    }

    /// Sends a signal to a process of this deployment.
    pub fn signal(&self, name: &str, signal: &str) -> Result<(), Failure> {
        let children = self.children.lock().unwrap_or_else(|error| error.into_inner());
        let found = children.iter().rev().find(|(known, _)| known == name);
        let (_, child) = found.ok_or("no such process")?;
        let number = match signal {
            "KILL" => 9,
            "TERM" => 15,
            _ => return Err("no such signal".into()),
        };
        // SAFETY: the process was started here and has not been waited for, so that its id is its own.
        let sent = unsafe { kill(child.id() as i32, number) };
        self.record.write(&format!("SIG{signal} to {name}"));
        (sent == 0).then_some(()).ok_or_else(|| "a signal was not sent".into())
    }

    /// Whether a relay answers the balancer's check with 200.
    pub fn is_ready(&self, relay: u8) -> bool {
        let text = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let Ok(mut channel) =
            std::net::TcpStream::connect_timeout(&self.at(relay, READY), Duration::from_millis(500))
        else {
            return false;
        };
        let asked = channel
            .set_read_timeout(Some(Duration::from_millis(500)))
            .and_then(|()| std::io::Write::write_all(&mut channel, text.as_bytes()));
        let head = asked.and_then(|()| http::read_head(&mut BufReader::new(channel)));
        head.is_ok_and(|head| head.is_some_and(|head| head.first.get(1).is_some_and(|s| s == "200")))
    }

    /// Waits until the relays are ready and serve a stream.
    pub fn wait_ready(&self, relays: &[u8]) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(20);
        while !relays.iter().all(|relay| self.is_ready(*relay)) {
            if Instant::now() > until {
                return Err("the relays are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic of the small sites starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(5));
        for relay in relays {
            let request = client::stream_request(&format!("first-{relay}"), 100, 8, 6_000);
            let heard = client::ask(self.callers(*relay), &request);
            self.record.write(&format!("first request at edge-{relay}: {heard:?}"));
            if !heard.looks_whole() {
                return Err("a stream is not served".into());
            }
        }
        Ok(())
    }
}

impl Deployment {
    /// Ends all processes that were started.
    pub fn end(&self) {
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), PathBuf::from(&kept).join(entry.file_name()));
            }
        }
        end_all(&self.children, &self.folder);
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>, folder: &PathBuf) {
    let mut children = children.lock().unwrap_or_else(|error| error.into_inner());
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(folder);
}

fn address((a, b): (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, a, b, host], port))
}

/// A part of the loopback network and a range of ports that nobody uses.
fn free_net() -> Result<((u8, u8), u16), Failure> {
    let start = std::process::id();
    for number in (0..200).map(|step| start.wrapping_mul(7).wrapping_add(step * 13)) {
        let net = (70 + (number % 150) as u8, (number / 150 % 250) as u8);
        let ports = 21_000 + (number % 900) as u16 * 10;
        let is_free = (0..8).all(|port| TcpListener::bind(address(net, 250, ports + port)).is_ok());
        if is_free {
            return Ok((net, ports));
        }
    }
    Err("no free ports".into())
}

/// Fills in a template of the deploy file: values, and sections of values that are there and true.
fn render(template: &str, fields: &BTreeMap<&str, String>, zones: &[(&str, &str)]) -> String {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#").or_else(|| text.find("{{^")) {
        let is_negative = text[start..].starts_with("{{^");
        let name_end = start + text[start..].find("}}").unwrap_or(0);
        let name = text[start + 3..name_end].to_string();
        let closing = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&closing).unwrap_or(0);
        let inner = text[name_end + 2..end].to_string();
        let is_true = fields.get(name.as_str()).is_some_and(|value| value != "false");
        let filled = match name.as_str() {
            "zones" => each_zone(&inner, zones),
            _ if is_true != is_negative => inner,
            _ => String::new(),
        };
        text.replace_range(start..end + closing.len(), &filled);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

fn each_zone(inner: &str, zones: &[(&str, &str)]) -> String {
    let last = zones.len().saturating_sub(1);
    let filled = zones.iter().enumerate().map(|(index, (zone, region))| {
        let comma = if index < last { "," } else { "" };
        let inner = inner.replace("{{@}}", zone).replace("{{.}}", region);
        inner.replace("{{,}}", comma)
    });
    filled.collect()
}

/// The operator's config: one streaming route, whose requests must not run twice.
fn config() -> String {
    r#"{"version":3,"routes":[{"name":"drafts","host":"rites.example","pathPrefix":"/drafts/","type":"streaming","timeoutMs":39000,"sloMs":1800,"gapTargetMs":180,"priority":0,"service":"liturgy","maxAttempts":1,"anonymous":false,"sticky":true}],"services":[{"name":"liturgy","healthPath":"/healthz","maxConnections":252,"engine":{"slots":24,"kvCapacity":34263,"kvBytes":18432,"linkMbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":1500,"idleTimeoutMs":60000},"tenants":[{"name":"chapel","apiKeys":["key-of-the-chapel"]}]}"#.into()
}
