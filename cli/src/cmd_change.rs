//! `create`, `set`, `delete`, `drain`, `undrain`, alone or between `begin` and `commit`.

use std::time::Duration;
use std::time::Instant;

use cicada_lib::config::Config;
use cicada_lib::config::Rights;
use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_store::CommitError;
use cicada_lib::config_store::Committed;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::query::Statement;
use cicada_lib::query_eval::Evaluator;
use cicada_lib::secrets::Secret;
use serde_json::Value;
use serde_json::json;

use crate::cmd_collect;
use crate::error::Error;
use crate::error::Result;
use crate::output::print_json;
use crate::output::print_line;
use crate::session::Session;
use crate::status::ProcessReport;
use crate::status::Standing;

// Between two rounds of questions. A change is in force within seconds.
const ROUND: Duration = Duration::from_millis(500);

// A change leaves a chunk or two behind. 64 of them are some hundred calls, 53 times on a day of 3,400
// changes.
const COLLECT_EVERY: u64 = 64;

struct Issued {
    object: String,
    secret: Secret,
}

struct Worked {
    change: Change,
    issued: Vec<Issued>,
}

struct Reached {
    count: usize,
    total: usize,
    missing: Vec<Missing>,
}

struct Missing {
    host: String,
    why: String,
}

/// Commits the statements as one change.
pub(crate) async fn run(session: &Session, source: &str, statements: &[Statement]) -> Result<()> {
    let base = session.load(Rights::Full).await?;
    check_base(session, base.as_ref())?;
    let worked = work_out(source, base.as_ref(), statements)?;
    warn_unlisted(session, &worked.change).await;
    if session.run.dry_run {
        return dry_run(session, base.as_ref(), statements, &worked.change);
    }
    let author = session.author();
    let result = session
        .store
        .commit(base.as_ref(), &worked.change, &author)
        .await;
    if let Err(error @ CommitError::Unknown { .. }) = result {
        // The change may be in force, and nobody else has these secrets.
        print_secrets(&worked.issued);
        return Err(error.into());
    }
    let committed = result?;
    finish(session, &worked, &committed).await
}

fn check_base(session: &Session, base: Option<&LoadedConfig>) -> Result<()> {
    let found = base.map_or(0, |b| b.version.0);
    match session.run.base {
        Some(wanted) if wanted.0 != found => {
            let text = format!(
                "the newest version is {found}, not {}; nothing changed",
                wanted.0
            );
            Err(Error::LostRace(text))
        }
        _ => Ok(()),
    }
}

fn work_out(source: &str, base: Option<&LoadedConfig>, statements: &[Statement]) -> Result<Worked> {
    let config = base.map_or_else(Config::default, |b| b.config.as_ref().clone());
    let mut evaluator = Evaluator::new(config);
    let mut edits = Vec::new();
    let mut issued = Vec::new();
    for statement in statements {
        let secret = Secret::random().map_err(Error::Runtime)?;
        let done = evaluator.eval(statement, secret);
        let done = done.map_err(|e| Error::Query(e, source.to_owned()))?;
        if let Some(secret) = done.issued {
            let object = done.edit.to_string();
            issued.push(Issued { object, secret });
        }
        edits.push(done.edit);
    }
    let change = Change::new(edits);
    Ok(Worked { change, issued })
}

// A mistyped host drains nothing, and the command succeeds. The list lags, so that this is no error.
async fn warn_unlisted(session: &Session, change: &Change) {
    let drained = change.edits.iter().filter_map(|e| match e {
        Edit::Drain(host) => Some(host),
        _ => None,
    });
    let drained: Vec<&Name> = drained.collect();
    if drained.is_empty() {
        return;
    }
    let Ok(hosts) = session.hosts().await else {
        return;
    };
    for name in drained {
        if !hosts.iter().any(|h| h.name == *name) {
            eprintln!("warning: the platform lists no host '{name}'; see `show backend-servers`");
        }
    }
}

fn dry_run(
    session: &Session,
    base: Option<&LoadedConfig>,
    statements: &[Statement],
    change: &Change,
) -> Result<()> {
    let plan = session.store.plan(base, change, &session.author())?;
    let edits: Vec<String> = statements.iter().map(Statement::to_string).collect();
    if session.run.json {
        print_json(&json!({
            "outcome": "dry_run",
            "version": plan.root.version.0,
            "edits": edits,
            "chunks": plan.chunks.len(),
            "bytes": plan.bytes(),
        }));
        return Ok(());
    }
    for edit in edits {
        print_line(&format!("would {edit}"));
    }
    let (version, chunks, bytes) = (plan.root.version.0, plan.chunks.len(), plan.bytes());
    print_line(&format!(
        "dry run: version {version} would write {chunks} chunks, {bytes} bytes; nothing changed"
    ));
    Ok(())
}

async fn finish(session: &Session, worked: &Worked, committed: &Committed) -> Result<()> {
    let version = committed.loaded.version.0;
    if !session.run.json {
        // Before any wait: what is committed must be known even if the wait is broken off.
        print_line(&format!("version {version} committed"));
        print_secrets(&worked.issued);
    }
    let reached = match session.run.wait {
        Some(limit) => Some(wait(session, ConfigVersionId::of(&committed.loaded), limit).await),
        None => None,
    };
    if session.run.json {
        print_json(&outcome(worked, committed, reached.as_ref()));
    } else {
        print_reached(version, reached.as_ref());
    }
    if version.is_multiple_of(COLLECT_EVERY) {
        // What stays behind now goes the next time.
        let _ = cmd_collect::collect(session).await;
    }
    match reached {
        Some(reached) if !reached.is_everywhere() => Err(Error::NotEverywhere),
        _ => Ok(()),
    }
}

// Asks until every process of the platform's list follows the version, or the time is over.
async fn wait(session: &Session, ours: ConfigVersionId, limit: Duration) -> Reached {
    let end = Instant::now() + limit;
    loop {
        let reached = match session.hosts().await {
            Ok(hosts) => round(session, &ours, hosts).await,
            Err(error) => unlisted(&error),
        };
        if reached.is_everywhere() || Instant::now() + ROUND > end {
            return reached;
        }
        tokio::time::sleep(ROUND).await;
    }
}

async fn round(session: &Session, ours: &ConfigVersionId, hosts: Vec<HostRecord>) -> Reached {
    let reports = session.ask(hosts).await;
    // Others may have committed on top, and their versions hold this change too.
    let newest = match session.store.root().await {
        Ok(Some(found)) => ConfigVersionId {
            version: found.root.version,
            digest: found.digest,
        },
        _ => ours.clone(),
    };
    let missing: Vec<Missing> = reports
        .iter()
        .filter_map(|r| missing(r, ours, &newest))
        .collect();
    Reached {
        count: reports.len() - missing.len(),
        total: reports.len(),
        missing,
    }
}

// Failure: the store was restored, and a process follows a version of the time before with a larger
// number. Symptom: its number would pass for one that holds the change. The store's newest version
// bounds the numbers that do.
fn missing(
    report: &ProcessReport,
    ours: &ConfigVersionId,
    newest: &ConfigVersionId,
) -> Option<Missing> {
    let why = match &report.page {
        Err(why) => format!("unreachable: {why}"),
        Ok(page) => match (report.standing(ours), report.standing(newest)) {
            (Standing::Newest, _) | (Standing::Ahead, Standing::Newest | Standing::Behind) => {
                return None;
            }
            (Standing::Behind, _) => format!("at version {}", page.version),
            _ => format!(
                "at version {}, which is not the store's; see --above",
                page.version
            ),
        },
    };
    let host = report.host.name.to_string();
    Some(Missing { host, why })
}

// Without the list it is not known how many processes there are.
fn unlisted(error: &Error) -> Reached {
    let missing = Missing {
        host: "all".to_owned(),
        why: format!("the list of hosts cannot be read: {error}"),
    };
    Reached {
        count: 0,
        total: 0,
        missing: vec![missing],
    }
}

impl Reached {
    fn is_everywhere(&self) -> bool {
        self.missing.is_empty()
    }
}

fn print_secrets(issued: &[Issued]) {
    for Issued { object, secret } in issued {
        print_line(&format!("{object}: {}", secret.reveal()));
    }
    if !issued.is_empty() {
        print_line("Keep it now: only its digest is stored, and it is not shown again.");
    }
}

fn print_reached(version: u64, reached: Option<&Reached>) {
    let Some(reached) = reached else {
        print_line("Each process follows within seconds; `cicada show versions` tells which do.");
        return;
    };
    let (count, total) = (reached.count, reached.total);
    print_line(&format!(
        "version {version} in force on {count} of {total} processes"
    ));
    for Missing { host, why } in &reached.missing {
        print_line(&format!("not reached: {host} ({why})"));
    }
}

fn outcome(worked: &Worked, committed: &Committed, reached: Option<&Reached>) -> Value {
    let issued = worked.issued.iter();
    let issued = issued.map(|i| json!({ "object": i.object, "secret": i.secret.reveal() }));
    let missing = |m: &Missing| json!({ "host": m.host, "why": m.why });
    json!({
        "outcome": "committed",
        "version": committed.loaded.version.0,
        "digest": committed.loaded.digest.to_string(),
        "writer": committed.writer.to_string(),
        "chunks": committed.chunks,
        "bytes": committed.bytes,
        "issued": issued.collect::<Vec<_>>(),
        "in_force": reached.map(|r| json!({
            "processes": r.count,
            "of": r.total,
            "missing": r.missing.iter().map(missing).collect::<Vec<_>>(),
        })),
    })
}
