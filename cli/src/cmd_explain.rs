//! `explain`: which backend servers a request may go to, and why not to the others.
//!
//! The choice among those that may is the entry's, by load and distance at that moment.

use std::collections::BTreeSet;

use cicada_lib::config::Config;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_check::base_model;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRole;
use cicada_lib::query::Explain;
use cicada_lib::query::Word;
use cicada_lib::query_rows::Cell;
use cicada_lib::query_rows::Column;
use cicada_lib::query_rows::Table;
use serde_json::json;

use crate::error::Error;
use crate::error::Result;
use crate::output::print_json;
use crate::output::print_line;
use crate::output::print_table;
use crate::output::rows;
use crate::session::Session;
use crate::status::ProcessReport;

const COLUMNS: [Column; 6] = [
    Column::text("host"),
    Column::text("region"),
    Column::text("zone"),
    Column::number("in_flight"),
    Column::text("eligible"),
    Column::text("reason"),
];

/// Explains.
pub(crate) async fn run(session: &Session, source: &str, explain: &Explain) -> Result<()> {
    let loaded = session.loaded().await?;
    let config = &loaded.config;
    let wrong = |e| Error::Query(e, source.to_owned());
    let name = Name::new(&explain.service.text);
    let missing = |word: &Word, kind: &str| {
        let message = format!("there is no {kind} '{}'", word.text);
        wrong(word.error(message, format!("see `show {kind}s`")))
    };
    let service = config.services.get(&name);
    let service = service.ok_or_else(|| missing(&explain.service, "service"))?;
    let workspace = config.workspaces.get(explain.workspace.text.as_str());
    let workspace = workspace.ok_or_else(|| missing(&explain.workspace, "workspace"))?;
    if let Some(model) = &explain.model
        && !service.models().contains(model.text.as_str())
    {
        let message = format!("the service does not offer the model '{}'", model.text);
        return Err(wrong(model.error(message, "see `show services`")));
    }
    let hosts = session.hosts().await?;
    let agents = hosts
        .into_iter()
        .filter(|h| h.role == HostRole::Agent && h.service == name);
    let reports = session.ask(agents.collect()).await;
    let rules = rules(workspace, service, &name);
    let table = table(config, &reports, explain.model.as_ref());
    print(session, &rules, &table);
    Ok(())
}

fn print(session: &Session, rules: &[String], table: &Table) {
    if session.run.json {
        print_json(&json!({ "rules": rules, "backend_servers": rows(table) }));
        return;
    }
    rules.iter().for_each(|r| print_line(r));
    print_table(table, false);
}

fn rules(workspace: &WorkspaceConfig, service: &ServiceConfig, name: &Name) -> Vec<String> {
    let allowed = if workspace.allows(name) {
        "may"
    } else {
        "may not"
    };
    let limit = |n: u32| match n {
        0 => "no limit".to_owned(),
        n => n.to_string(),
    };
    vec![
        format!(
            "The workspace {allowed} use the service; its share is {}.",
            workspace.share
        ),
        format!(
            "Requests a second: {}, burst {}.",
            limit(workspace.rate),
            workspace.burst
        ),
        format!(
            "At one backend server: running {}, waiting {}.",
            limit(workspace.max_running),
            workspace.max_queued
        ),
        format!(
            "Refused where the expected wait is over {} ms.",
            service.max_wait
        ),
    ]
}

fn table(config: &Config, reports: &[ProcessReport], model: Option<&Word>) -> Table {
    let model = model.map(|m| Name::new(&m.text));
    let row = |report: &ProcessReport| {
        let reason = obstacle(config, report, model.as_ref());
        let in_flight = report.page.as_ref().ok();
        let in_flight = in_flight.and_then(|p| u64::try_from(p.in_flight).ok());
        vec![
            Cell::Text(report.host.name.to_string()),
            Cell::Text(report.host.region.to_string()),
            Cell::Text(report.host.zone.to_string()),
            in_flight.map_or(Cell::Missing, Cell::Number),
            Cell::Text(if reason.is_none() { "yes" } else { "no" }.to_owned()),
            Cell::Text(reason.unwrap_or_default()),
        ]
    };
    Table {
        columns: &COLUMNS,
        rows: reports.iter().map(row).collect(),
    }
}

// Why a backend server gets no request, the first reason that holds.
fn obstacle(config: &Config, report: &ProcessReport, model: Option<&Name>) -> Option<String> {
    let name = &report.host.name;
    if config.drains.contains(name) {
        return Some("told to drain".to_owned());
    }
    if report.host.leaving {
        return Some("leaving, says the platform".to_owned());
    }
    match &report.page {
        Err(why) => return Some(format!("unreachable: {why}")),
        Ok(page) if page.state != "ready" => return Some(format!("its process is {}", page.state)),
        Ok(_) => {}
    }
    let placement = config.placements.get(name)?;
    let held: BTreeSet<Name> = placement.models.iter().map(base_model).collect();
    let model = model.filter(|m| !held.contains(*m))?;
    Some(format!("'{model}' is not placed on it"))
}
