//! Starts real processes for a test, and ends them with it.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::ensure;

use crate::http_call;

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks it to end gracefully.
    Term,
    /// Says that its settings have changed.
    Hangup,
    /// Ends it at once.
    Kill,
    /// Pauses it.
    Stop,
    /// Lets it go on.
    Cont,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Signal::Term => "-TERM",
            Signal::Hangup => "-HUP",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        }
    }
}

/// A process with its settings and log in a directory of its own; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    dir: PathBuf,
}

// A process that is not ready by then will not be.
const READY: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

impl Process {
    /// Starts `bin --config FILE`, where the file holds `config`.
    pub fn spawn(bin: &Path, config: &str) -> Result<Self> {
        let dir = new_dir()?;
        let file = dir.join("cicada.ini");
        fs::write(&file, config)?;
        let mut command = Command::new(bin);
        command.arg("--config").arg(&file);
        Process::start(command, dir)
    }

    /// Starts `bin` with arguments.
    pub fn spawn_args(bin: &Path, args: &[&str]) -> Result<Self> {
        let mut command = Command::new(bin);
        command.args(args);
        Process::start(command, new_dir()?)
    }

    fn start(mut command: Command, dir: PathBuf) -> Result<Self> {
        let log = File::create(dir.join("log"))?;
        let _ports = lock(&PORTS_TRIED);
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("{command:?} cannot be started; build it first"))?;
        Ok(Process { child, dir })
    }

    /// The file that it was started with.
    pub fn config_file(&self) -> PathBuf {
        self.dir.join("cicada.ini")
    }

    /// Replaces the file that it was started with.
    pub fn write_config(&self, config: &str) -> Result<()> {
        fs::write(self.config_file(), config)?;
        Ok(())
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Sends it a signal. It is paused when this returns from [`Signal::Stop`], and has ended after [`Signal::Kill`]: its
    /// addresses are free then.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // Its id may belong to another process once it has ended.
        ensure!(self.status()?.is_none(), "the process has ended");
        let status = Command::new("kill")
            .arg(signal.flag())
            .arg(self.pid().to_string())
            .status()?;
        ensure!(status.success(), "the signal was not sent: {status}");
        if signal == Signal::Stop {
            self.wait_stopped()?;
        }
        if signal == Signal::Kill {
            self.child.wait()?;
        }
        Ok(())
    }

    /// How it ended; `None` while it runs.
    pub fn status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until it has ended.
    pub async fn wait_end(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.status()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("it still runs after {limit:?}; its log:\n{}", self.log())
    }

    /// Waits until `GET /readyz` at `addr` is answered with success.
    pub async fn wait_ready(&mut self, addr: SocketAddr) -> Result<()> {
        self.wait_answer(addr, "/readyz").await
    }

    /// Waits until a read of `path` at `addr` is answered with success.
    pub async fn wait_answer(&mut self, addr: SocketAddr, path: &str) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < READY {
            self.check_running()?;
            let answer = http_call::get(addr, path).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("not ready after {READY:?}; its log:\n{}", self.log())
    }

    /// Waits for a line of its log that contains `mark`, and returns what follows the mark.
    pub async fn wait_line(&mut self, mark: &str) -> Result<String> {
        let start = Instant::now();
        while start.elapsed() < READY {
            self.check_running()?;
            let log = self.log();
            // The last line may still be incomplete.
            let complete = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
            let found = complete.lines().find_map(|line| line.split_once(mark));
            if let Some((_, rest)) = found {
                return Ok(rest.to_string());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("no line with {mark:?}; its log:\n{}", self.log())
    }

    /// Its threads stop one by one, some of them after the signal was sent.
    fn wait_stopped(&self) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < READY {
            if all_stopped(self.pid())? {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
        bail!("it has not stopped after {READY:?}")
    }

    fn check_running(&mut self) -> Result<()> {
        if let Some(status) = self.status()? {
            bail!("it ended with {status}; its log:\n{}", self.log());
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log of process {}:\n{}", self.pid(), self.log());
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn all_stopped(pid: u32) -> Result<bool> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        // The state follows the name, which ends at the last parenthesis.
        let state = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        if !state.starts_with('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

/// The path of a program of this workspace: the environment variable `NAME_BIN` (in upper case), or
/// the file beside the running test.
pub fn program(name: &str) -> Result<PathBuf> {
    let variable = format!("{}_BIN", name.to_uppercase().replace('-', "_"));
    if let Some(path) = std::env::var_os(&variable) {
        return Ok(path.into());
    }
    // Tests run from target/PROFILE/deps.
    let test = std::env::current_exe()?;
    let found = test
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        eyre::eyre!("{name} is not built; run cargo build --workspace or set {variable}")
    })
}

// Below the ports that the kernel gives by itself, so that no connection takes one meanwhile.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

// Half of the pairs may be in use before a test gives up.
const PORT_TRIES: usize = 1_000;

// Held while ports are tried and while a process is started. A process that is started has all open
// sockets until it runs its program: one that a port was tried with would keep the port taken for as
// long, and who was given it would find its address in use. Tests of one file that run as threads of
// one process meet so; it is enough, since no other sockets are opened and given up at once.
static PORTS_TRIED: Mutex<()> = Mutex::new(());

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// An address of the loopback for a process that is started next, free for TCP and UDP.
///
/// Tests run side by side as processes of their own. So ports go in pairs: the even one is given out,
/// and the odd one above it is held until this process ends and tells the others that the pair is
/// taken.
pub fn free_addr() -> Result<SocketAddr> {
    static HELD: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let _ports = lock(&PORTS_TRIED);
    for _ in 0..PORT_TRIES {
        let port = fastrand::u16(PORTS) & !1;
        let Ok(mark) = TcpListener::bind(("127.0.0.1", port + 1)) else {
            continue;
        };
        let free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if free {
            lock(&HELD).push(mark);
            return Ok(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    bail!("no free port was found; end what is left of earlier runs")
}

fn new_dir() -> Result<PathBuf> {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cicada-test-{}-{count}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
