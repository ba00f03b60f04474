//! `collect`: deletes chunks of the configuration that are out of use.

use std::time::SystemTime;

use cicada_lib::config::Rights;
use serde_json::json;

use crate::error::Result;
use crate::output::print_json;
use crate::output::print_line;
use crate::session::Session;

/// Collects.
pub(crate) async fn run(session: &Session) -> Result<()> {
    session.load(Rights::Full).await?;
    if session.run.dry_run {
        print_line("dry run: nothing was deleted");
        return Ok(());
    }
    let count = collect(session).await?;
    if session.run.json {
        print_json(&json!({ "collected": count }));
    } else {
        print_line(&format!("{count} chunks out of use were deleted"));
    }
    Ok(())
}

/// Deletes what is out of use, and returns how much it was.
pub(crate) async fn collect(session: &Session) -> Result<usize> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let count = session
        .store
        .collect(now.map_or(0, |d| d.as_secs()))
        .await?;
    Ok(count)
}
