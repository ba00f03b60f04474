//! `cicadad`, the daemon of cicadastream: an entry or an agent, by its settings.

mod agent;
mod args;
mod attempts;
mod callers;
mod calls;
mod common;
mod completions;
mod config_controller;
mod control;
mod desk;
mod desk_calls;
mod desk_runs;
mod desk_streams;
mod desk_suspects;
mod dispatch;
mod drain;
mod elsewhere;
mod entry;
mod event_id;
mod evidence;
mod filters;
mod hosts_controller;
mod isolation;
mod late_requests;
mod link;
mod links;
mod logs;
mod mark_spread;
mod metrics;
mod openai;
mod orders_controller;
mod peer_ask;
mod peer_server;
mod process;
mod readers;
mod record;
mod refusal;
mod relay_role;
mod reload;
mod runs;
mod scout_role;
mod servers_controller;
mod signals;
mod sse;
mod status;
mod tombstones;

use std::path::Path;
use std::process::ExitCode;

use args::Command;
use cicada_lib::daemon_settings::Settings;

const FAILED: u8 = 1;
const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args::parse(&args) {
        Ok(command) => obey(command),
        Err(message) => {
            eprintln!("cicadad: {message}");
            ExitCode::from(WRONG_SETTINGS)
        }
    }
}

fn obey(command: Command) -> ExitCode {
    let file = match &command {
        Command::Say(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Run(file) | Command::Check(file) | Command::Print(file) => file,
    };
    let settings = match read(file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("cicadad: {message}");
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    match command {
        Command::Check(_) => println!("the settings are good"),
        Command::Print(_) => print!("{}", settings.print()),
        _ => return run(settings, file),
    }
    ExitCode::SUCCESS
}

fn read(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|err| {
        format!(
            "{} cannot be read ({err})\nHint: check the path after --config",
            file.display()
        )
    })?;
    Settings::parse(&text).map_err(|err| format!("{}:\n{err}", file.display()))
}

fn run(settings: Settings, file: &Path) -> ExitCode {
    let started = process::start(&settings);
    let _written = logs::start(&settings);
    let ended =
        started.and_then(|(traffic, signals)| process::run(settings, file, &traffic, signals));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            tracing::error!("process: {err:#}");
            ExitCode::from(FAILED)
        }
    }
}
