//! Settings that change while the process runs: on SIGHUP, or when their file changes without one.
//!
//! A file may be read while it is being written, and its time may not tell: the rest can come within the time's
//! resolution. What was read is therefore compared, and a change without a signal must be read twice.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use cicada_lib::daemon_settings::Settings;

/// How often the file is looked at.
pub(crate) const LOOK: Duration = Duration::from_secs(2);

/// How long a file must stay the same before a change without a signal is taken over.
pub(crate) const SETTLE: Duration = Duration::from_millis(100);

/// The settings file, and what was last read from it.
pub(crate) struct Reload {
    file: PathBuf,
    // What was last read twice or on a signal. `None` until then.
    taken: Option<String>,
    // What was read once.
    seen: Option<String>,
    settings: Settings,
}

/// Whether the file is to be looked at again soon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Look {
    /// Nothing is new.
    Settled,
    /// A change has been read once.
    Again,
}

impl Reload {
    /// Settings that were just read from the file.
    pub(crate) fn new(file: &Path, settings: Settings) -> Self {
        Reload {
            file: file.to_path_buf(),
            taken: None,
            seen: None,
            settings,
        }
    }

    /// Reads the file, and hands over what it holds if that has changed, or if the process was `told`. A file with faults
    /// changes nothing.
    pub(crate) fn look(&mut self, told: bool, apply: impl FnOnce(&Settings)) -> Look {
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                self.report(&error.to_string());
                return Look::Settled;
            }
        };
        if !told && self.taken.as_ref() == Some(&text) {
            return Look::Settled;
        }
        if !told && self.seen.as_ref() != Some(&text) {
            self.seen = Some(text);
            return Look::Again;
        }
        match Settings::parse(&text) {
            Ok(settings) => self.take(told, settings, apply),
            Err(error) => self.report(&error.to_string()),
        }
        self.seen = None;
        self.taken = Some(text);
        Look::Settled
    }

    fn take(&mut self, told: bool, settings: Settings, apply: impl FnOnce(&Settings)) {
        let changes = settings.changes_since(&self.settings);
        // The first look finds what the process was started with.
        if !told && changes.is_empty() {
            return;
        }
        tracing::info!(told, ?changes, "process: the settings were read again");
        apply(&settings);
        self.settings = settings;
    }

    fn report(&self, error: &str) {
        tracing::error!(%error, "process: the settings were not taken over; mend the file");
    }
}
