//! Settings that change while the process runs: on SIGHUP, or when their file changes without one.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use cicada_lib::daemon_settings::Settings;

/// How often the file is looked at.
pub(crate) const LOOK: Duration = Duration::from_secs(2);

/// The settings file, and what was last read from it.
pub(crate) struct Reload {
    file: PathBuf,
    modified: Option<SystemTime>,
    settings: Settings,
}

impl Reload {
    /// Settings that were just read from the file.
    pub(crate) fn new(file: &Path, settings: Settings) -> Self {
        Reload {
            modified: modified(file),
            file: file.to_path_buf(),
            settings,
        }
    }

    /// Reads the file again if it has changed, or if the process was `told`, and hands over what it
    /// holds. A file with faults changes nothing.
    pub(crate) fn look(&mut self, told: bool, apply: impl FnOnce(&Settings)) {
        let now = modified(&self.file);
        if !told && now == self.modified {
            return;
        }
        self.modified = now;
        let settings = match read(&self.file) {
            Ok(settings) => settings,
            Err(error) => {
                tracing::error!(%error, "process: the settings were not taken over; mend the file");
                return;
            }
        };
        let changes = settings.changes_since(&self.settings);
        tracing::info!(told, ?changes, "process: the settings were read again");
        apply(&settings);
        self.settings = settings;
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).ok()?.modified().ok()
}

fn read(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    Settings::parse(&text).map_err(|error| error.to_string())
}
