//! Logs: one line for each event, as text or JSON, on standard output.
//!
//! A thread of its own writes them. When standard output takes no more, lines are dropped and counted;
//! without that, a reader that stands still would hold up every request.

use cicada_lib::daemon_settings::Settings;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Libraries log warnings only, whatever the level of the system's own parts.
const LIBRARIES: &str = "warn";

/// The parts of the system whose lines the level is for.
const PARTS: [&str; 4] = ["cicadad", "cicada_lib", "cicada_relay", "cicada_platform"];

/// Lines that wait to be written: some seconds of a busy entry, at 300 bytes a line under 2 MB.
const WAITING: usize = 4_096;

/// Sends log lines to standard output, in the form and from the level that the settings name. What
/// waits is written when the guard is dropped.
pub(crate) fn start(settings: &Settings) -> WorkerGuard {
    let level = settings.text("log", "level");
    let parts: Vec<String> = PARTS.iter().map(|part| format!("{part}={level}")).collect();
    let filter = EnvFilter::new(format!("{LIBRARIES},{}", parts.join(",")));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(writer);
    match settings.text("log", "format") {
        "json" => builder.json().init(),
        _ => builder.with_ansi(false).init(),
    }
    guard
}
