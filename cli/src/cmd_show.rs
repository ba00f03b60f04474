//! `show`: tables of the configuration and of what processes say.

use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::query::Show;
use cicada_lib::query_rows::check_show;

use crate::error::Error;
use crate::error::Result;
use crate::output::print_table;
use crate::session::Session;
use crate::tables::columns;
use crate::tables::config_table;
use crate::tables::is_live;
use crate::tables::live_table;

/// Shows a table.
pub(crate) async fn run(session: &Session, source: &str, show: &Show) -> Result<()> {
    let wrong = |error| Error::Query(error, source.to_owned());
    // Before a thousand processes are asked.
    check_show(show, columns(show.table)).map_err(wrong)?;
    let loaded = session.loaded().await?;
    let table = if is_live(show.table) {
        let hosts = session.hosts().await?;
        let reports = session.ask(hosts).await;
        live_table(
            show.table,
            &loaded.config,
            &ConfigVersionId::of(&loaded),
            &reports,
        )
    } else {
        config_table(show.table, &loaded.config, &loaded.root)
    };
    let table = table.select(show).map_err(wrong)?;
    print_table(&table, session.run.json);
    Ok(())
}
