//! Logs: one line for each event, as text or JSON.

use cicada_lib::daemon_settings::Settings;
use tracing_subscriber::EnvFilter;

/// Libraries log warnings only, whatever the level of the system's own parts.
const LIBRARIES: &str = "warn";

/// Sends log lines to standard error, in the form and from the level that the settings name.
pub(crate) fn start(settings: &Settings) {
    let level = settings.text("log", "level");
    let filter = EnvFilter::new(format!("{LIBRARIES},cicadad={level},cicada_lib={level}"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(std::io::stderr);
    match settings.text("log", "format") {
        "json" => builder.json().init(),
        _ => builder.with_ansi(false).init(),
    }
}
