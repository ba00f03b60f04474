//! The tables that can be shown. Names and order of their columns are stable.

use std::collections::BTreeMap;

use cicada_lib::config::Config;
use cicada_lib::config::EngineRole;
use cicada_lib::config::Fencing;
use cicada_lib::config::Keyless;
use cicada_lib::config::Objective;
use cicada_lib::config::Rights;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::ServiceKind;
use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_chunks::Root;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRole;
use cicada_lib::query::TableKind;
use cicada_lib::query_rows::Cell;
use cicada_lib::query_rows::Column;
use cicada_lib::query_rows::Table;

use crate::status::ProcessReport;
use crate::status::Standing;
use crate::status::StatusPage;

const SERVICES: [Column; 12] = [
    Column::text("name"),
    Column::text("kind"),
    Column::list("models"),
    Column::list("idempotent"),
    Column::text("objective"),
    Column::number("max_wait"),
    Column::number("retry_percent"),
    Column::number("retry_burst"),
    Column::number("max_attempts"),
    Column::text("keyless"),
    Column::number("key_window"),
    Column::text("fencing"),
];
const WORKSPACES: [Column; 9] = [
    Column::text("name"),
    Column::number("share"),
    Column::number("max_running"),
    Column::number("max_queued"),
    Column::number("rate"),
    Column::number("burst"),
    Column::number("max_caller"),
    Column::list("services"),
    Column::number("keys"),
];
const HOSTS: [Column; 10] = [
    Column::text("name"),
    Column::text("role"),
    Column::text("service"),
    Column::text("region"),
    Column::text("zone"),
    Column::text("state"),
    Column::text("leaving"),
    Column::number("version"),
    Column::number("in_flight"),
    Column::text("address"),
];
const BACKEND_SERVERS: [Column; 11] = [
    Column::text("name"),
    Column::text("service"),
    Column::text("region"),
    Column::text("zone"),
    Column::text("state"),
    Column::text("leaving"),
    Column::text("drain"),
    Column::list("models"),
    Column::list("adapters"),
    Column::number("version"),
    Column::number("in_flight"),
];
const KEYS: [Column; 3] = [
    Column::text("digest"),
    Column::text("label"),
    Column::text("workspace"),
];
const OPERATORS: [Column; 2] = [Column::text("name"), Column::text("rights")];
const VERSIONS: [Column; 5] = [
    Column::number("version"),
    Column::text("digest"),
    Column::text("standing"),
    Column::number("processes"),
    Column::list("hosts"),
];
const PLACEMENTS: [Column; 4] = [
    Column::text("host"),
    Column::list("models"),
    Column::list("adapters"),
    Column::text("role"),
];
const COMMITS: [Column; 5] = [
    Column::number("version"),
    Column::text("author"),
    Column::number("at"),
    Column::text("summary"),
    Column::text("writer"),
];

/// The columns of a table.
pub(crate) fn columns(kind: TableKind) -> &'static [Column] {
    match kind {
        TableKind::Services => &SERVICES,
        TableKind::Workspaces => &WORKSPACES,
        TableKind::Hosts => &HOSTS,
        TableKind::BackendServers => &BACKEND_SERVERS,
        TableKind::Keys => &KEYS,
        TableKind::Operators => &OPERATORS,
        TableKind::Versions => &VERSIONS,
        TableKind::Placements => &PLACEMENTS,
        TableKind::Commits => &COMMITS,
    }
}

/// Whether a table is made of what processes say.
pub(crate) fn is_live(kind: TableKind) -> bool {
    use TableKind::BackendServers;
    use TableKind::Hosts;
    use TableKind::Versions;
    matches!(kind, Hosts | BackendServers | Versions)
}

/// A table of the configuration or of its root.
pub(crate) fn config_table(kind: TableKind, config: &Config, root: &Root) -> Table {
    let rows = match kind {
        TableKind::Services => config.services.iter().map(service).collect(),
        TableKind::Workspaces => workspaces(config),
        TableKind::Keys => keys(config),
        TableKind::Operators => operators(config),
        TableKind::Placements => placements(config),
        TableKind::Commits => commits(root),
        TableKind::Hosts | TableKind::BackendServers | TableKind::Versions => Vec::new(),
    };
    let columns = columns(kind);
    Table { columns, rows }
}

/// A table of what processes say.
pub(crate) fn live_table(
    kind: TableKind,
    config: &Config,
    newest: &ConfigVersionId,
    reports: &[ProcessReport],
) -> Table {
    let agents = reports.iter().filter(|r| r.host.role == HostRole::Agent);
    let rows = match kind {
        TableKind::Hosts => reports.iter().map(host).collect(),
        TableKind::BackendServers => agents.map(|r| backend_server(r, config)).collect(),
        _ => versions(newest, reports),
    };
    let columns = columns(kind);
    Table { columns, rows }
}

fn text(text: impl ToString) -> Cell {
    Cell::Text(text.to_string())
}

fn number(number: impl Into<u64>) -> Cell {
    Cell::Number(number.into())
}

fn list<'a>(names: impl IntoIterator<Item = &'a Name>) -> Cell {
    Cell::List(names.into_iter().map(Name::to_string).collect())
}

fn yes(yes: bool) -> Cell {
    text(if yes { "yes" } else { "no" })
}

fn service((name, service): (&Name, &ServiceConfig)) -> Vec<Cell> {
    let (kind, idempotent) = match &service.kind {
        ServiceKind::Model { .. } => ("model", Vec::new()),
        ServiceKind::Plain { idempotent } => {
            let route = |r: &cicada_lib::config::Route| format!("{}:{}", r.method, r.prefix);
            ("plain", idempotent.iter().map(route).collect())
        }
    };
    let objective = match service.objective {
        Objective::Stall => "stall",
        Objective::Gap => "gap",
    };
    let keyless = match service.keyless {
        Keyless::Accept => "accept",
        Keyless::Refuse => "refuse",
    };
    let fencing = match service.fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    };
    vec![
        text(name),
        text(kind),
        list(service.models()),
        Cell::List(idempotent),
        text(objective),
        number(service.max_wait),
        number(service.retry_percent),
        number(service.retry_burst),
        number(service.max_attempts),
        text(keyless),
        number(service.key_window),
        text(fencing),
    ]
}

fn workspaces(config: &Config) -> Vec<Vec<Cell>> {
    let mut keys = BTreeMap::new();
    for key in config.keys.values() {
        *keys.entry(&key.workspace).or_insert(0_u64) += 1;
    }
    let row = |(name, w): (&Name, &cicada_lib::config::WorkspaceConfig)| {
        vec![
            text(name),
            number(w.share),
            number(w.max_running),
            number(w.max_queued),
            number(w.rate),
            number(w.burst),
            number(w.max_caller),
            list(&w.services),
            number(keys.get(name).copied().unwrap_or(0)),
        ]
    };
    config.workspaces.iter().map(row).collect()
}

fn keys(config: &Config) -> Vec<Vec<Cell>> {
    let keys = config.keys.iter();
    keys.map(|(d, k)| vec![text(d.short()), text(&k.label), text(&k.workspace)])
        .collect()
}

fn operators(config: &Config) -> Vec<Vec<Cell>> {
    let rights = |rights| match rights {
        Rights::Read => "read",
        Rights::Full => "full",
    };
    let operators = config.operators.iter();
    operators
        .map(|(name, o)| vec![text(name), text(rights(o.rights))])
        .collect()
}

fn role(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Mixed => "mixed",
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
    }
}

fn placements(config: &Config) -> Vec<Vec<Cell>> {
    let placements = config.placements.iter();
    placements
        .map(|(host, p)| {
            vec![
                text(host),
                list(&p.models),
                list(&p.adapters),
                text(role(p.role)),
            ]
        })
        .collect()
}

fn commits(root: &Root) -> Vec<Vec<Cell>> {
    let commits = root.history.iter().rev();
    commits
        .map(|c| {
            vec![
                number(c.version.0),
                text(&c.author),
                number(c.at),
                text(&c.summary),
                text(c.writer),
            ]
        })
        .collect()
}

fn of_page(report: &ProcessReport, field: impl Fn(&StatusPage) -> u64) -> Cell {
    report
        .page
        .as_ref()
        .map_or(Cell::Missing, |p| number(field(p)))
}

fn in_flight(page: &StatusPage) -> u64 {
    u64::try_from(page.in_flight).unwrap_or(0)
}

fn host(report: &ProcessReport) -> Vec<Cell> {
    let host = &report.host;
    let role = match host.role {
        HostRole::Entry => "entry",
        HostRole::Agent => "agent",
    };
    vec![
        text(&host.name),
        text(role),
        text(&host.service),
        text(&host.region),
        text(&host.zone),
        text(report.state()),
        yes(host.leaving),
        of_page(report, |p| p.version),
        of_page(report, in_flight),
        text(host.address),
    ]
}

fn backend_server(report: &ProcessReport, config: &Config) -> Vec<Cell> {
    let host = &report.host;
    let placement = config
        .placements
        .get(&host.name)
        .cloned()
        .unwrap_or_default();
    vec![
        text(&host.name),
        text(&host.service),
        text(&host.region),
        text(&host.zone),
        text(report.state()),
        yes(host.leaving),
        yes(config.drains.contains(&host.name)),
        list(&placement.models),
        list(&placement.adapters),
        of_page(report, |p| p.version),
        of_page(report, in_flight),
    ]
}

// The store's version is listed also where no process follows it yet. Processes that do not answer
// stand last, under no version.
fn versions(newest: &ConfigVersionId, reports: &[ProcessReport]) -> Vec<Vec<Cell>> {
    let mut groups: BTreeMap<Group, Vec<String>> = BTreeMap::new();
    groups.insert(Group::of_mark(newest), Vec::new());
    for report in reports {
        let name = report.host.name.to_string();
        groups
            .entry(Group::of(report, newest))
            .or_default()
            .push(name);
    }
    let row = |(group, hosts): (Group, Vec<String>)| {
        let digest: String = group.digest.chars().take(12).collect();
        vec![
            group.version.map_or(Cell::Missing, Cell::Number),
            text(digest),
            text(group.standing.name()),
            number(hosts.len() as u64),
            Cell::List(hosts),
        ]
    };
    groups.into_iter().rev().map(row).collect()
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Group {
    version: Option<u64>,
    digest: String,
    standing: Standing,
}

impl Group {
    fn of_mark(newest: &ConfigVersionId) -> Self {
        Group {
            version: Some(newest.version.0),
            digest: newest.digest.to_string(),
            standing: Standing::Newest,
        }
    }

    fn of(report: &ProcessReport, newest: &ConfigVersionId) -> Self {
        let page = report.page.as_ref().ok();
        Group {
            version: page.map(|p| p.version),
            digest: page.map(|p| p.digest.clone()).unwrap_or_default(),
            standing: report.standing(newest),
        }
    }
}
