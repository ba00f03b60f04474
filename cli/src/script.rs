//! Runs statements in order, those between `begin` and `commit` as one change.

use std::io;
use std::io::Read;

use cicada_lib::query::QueryError;
use cicada_lib::query::Statement;
use cicada_lib::query_parse::parse;

use crate::args::Run;
use crate::cmd_change;
use crate::cmd_collect;
use crate::cmd_explain;
use crate::cmd_help;
use crate::cmd_show;
use crate::error::Error;
use crate::error::Result;
use crate::session::Session;

/// What is done as one.
#[derive(Debug)]
pub(crate) enum Step {
    /// One statement that changes nothing.
    Ask(Statement),
    /// Statements that take effect together.
    Change(Vec<Statement>),
}

/// The text of the statements.
pub(crate) fn source(run: &Run) -> Result<String> {
    if let Some(path) = &run.file {
        let name = path.display().to_string();
        return std::fs::read_to_string(path).map_err(|e| Error::File(name, e));
    }
    match run.words.as_slice() {
        [] => {
            let mut text = String::new();
            let read = io::stdin().read_to_string(&mut text);
            read.map_err(|e| Error::File("standard input".to_owned(), e))?;
            Ok(text)
        }
        [text] => Ok(text.clone()),
        words => Ok(words.iter().map(|w| quote(w)).collect::<Vec<_>>().join(" ")),
    }
}

// The shell has taken the quotes off a word with blanks.
fn quote(word: &str) -> String {
    if word.contains(char::is_whitespace) && !word.contains('\'') {
        format!("'{word}'")
    } else {
        word.to_owned()
    }
}

/// The steps of a text. Nothing runs unless all of it can be read.
pub(crate) fn steps(source: &str) -> Result<Vec<Step>> {
    let statements = parse(source).map_err(|e| Error::Query(e, source.to_owned()))?;
    let mut steps = Vec::new();
    let mut open: Option<Vec<Statement>> = None;
    for statement in statements {
        match (statement, &mut open) {
            (Statement::Begin, None) => open = Some(Vec::new()),
            (Statement::Begin, Some(_)) => {
                return Err(wrong(
                    source,
                    "'begin' stands twice",
                    "commit the first change",
                ));
            }
            (Statement::Commit, Some(list)) => {
                steps.push(Step::Change(std::mem::take(list)));
                open = None;
            }
            (Statement::Commit, None) => {
                return Err(wrong(
                    source,
                    "'commit' has no 'begin'",
                    "write 'begin' before",
                ));
            }
            (statement, Some(list)) if changes(&statement) => list.push(statement),
            (statement, None) if changes(&statement) => steps.push(Step::Change(vec![statement])),
            (statement, None) => steps.push(Step::Ask(statement)),
            (statement, Some(_)) => {
                let message = format!("'{statement}' changes nothing");
                return Err(wrong(
                    source,
                    &message,
                    "ask before 'begin' or after 'commit'",
                ));
            }
        }
    }
    if open.is_some() {
        let hint = "write 'commit' after the last statement; nothing was run";
        return Err(wrong(source, "'begin' has no 'commit'", hint));
    }
    Ok(steps)
}

fn changes(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Create(_)
            | Statement::Set(_)
            | Statement::Delete(_)
            | Statement::Drain(_)
            | Statement::Undrain(_)
    )
}

fn wrong(source: &str, message: &str, hint: &str) -> Error {
    let end = source.trim_end().len();
    let error = QueryError::new(end..end, message, hint);
    Error::Query(error, source.to_owned())
}

/// Runs the steps up to the first one that fails.
pub(crate) async fn run(session: &mut Session, source: &str, steps: Vec<Step>) -> Result<()> {
    let count = steps.len();
    for (done, step) in steps.into_iter().enumerate() {
        let result = run_step(session, source, step).await;
        if result.is_err() && count > 1 {
            eprintln!("{done} of {count} steps done; the next one failed, and ends the run");
        }
        result?;
    }
    Ok(())
}

async fn run_step(session: &mut Session, source: &str, step: Step) -> Result<()> {
    match step {
        Step::Change(statements) => cmd_change::run(session, source, &statements).await,
        Step::Ask(Statement::Show(show)) => cmd_show::run(session, source, &show).await,
        Step::Ask(Statement::Explain(explain)) => cmd_explain::run(session, source, &explain).await,
        Step::Ask(Statement::Collect) => cmd_collect::run(session).await,
        Step::Ask(Statement::Help(words)) => {
            cmd_help::run(&words);
            Ok(())
        }
        Step::Ask(_) => Ok(()),
    }
}
