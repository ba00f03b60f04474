//! Starts real processes for a test, and ends them with it.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
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
        Process::spawn_with(bin, config, &[])
    }

    /// As [`Process::spawn`], with more arguments.
    pub fn spawn_with(bin: &Path, config: &str, args: &[&str]) -> Result<Self> {
        let dir = new_dir()?;
        let file = dir.join("cicada.ini");
        fs::write(&file, config)?;
        let log = File::create(dir.join("log"))?;
        let child = Command::new(bin)
            .arg("--config")
            .arg(&file)
            .args(args)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started; build it first", bin.display()))?;
        Ok(Process { child, dir })
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Sends it a signal.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // Its id may belong to another process once it has ended.
        ensure!(self.status()?.is_none(), "the process has ended");
        let status = Command::new("kill")
            .arg(signal.flag())
            .arg(self.pid().to_string())
            .status()?;
        ensure!(status.success(), "the signal was not sent: {status}");
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
            if let Some(status) = self.status()? {
                bail!("it ended with {status}; its log:\n{}", self.log());
            }
            let answer = http_call::get(addr, path).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("not ready after {READY:?}; its log:\n{}", self.log())
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

/// An address of the loopback with a port that was free a moment ago.
pub fn free_addr() -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    Ok(listener.local_addr()?)
}

fn new_dir() -> Result<PathBuf> {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cicada-test-{}-{count}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
