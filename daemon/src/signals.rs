//! The signals that a process obeys.

use eyre::Context;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Signals as they arrive. Those that arrive before they are awaited are kept.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Receives signals from now on, which no longer end the process. Needs a runtime.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Signals {
            term: signal(SignalKind::terminate()).wrap_err("process: no SIGTERM")?,
            int: signal(SignalKind::interrupt()).wrap_err("process: no SIGINT")?,
            hup: signal(SignalKind::hangup()).wrap_err("process: no SIGHUP")?,
        })
    }

    /// Waits for a signal to end the process.
    pub(crate) async fn stop(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }

    /// Waits for a signal to end the process (`true`), or to read the settings again.
    pub(crate) async fn next(&mut self) -> bool {
        tokio::select! {
            _ = self.term.recv() => true,
            _ = self.int.recv() => true,
            _ = self.hup.recv() => false,
        }
    }
}
