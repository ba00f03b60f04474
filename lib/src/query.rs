//! The operators' query and command language: its statements, and how they are written.
//!
//! [`crate::query_parse`] reads it. What is printed here reads back as the same statement.

use std::fmt;
use std::ops::Range;

use thiserror::Error;

/// An error at a place in the text.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct QueryError {
    /// What is wrong.
    pub message: String,
    /// Where, in bytes. Empty at the end of the text.
    pub span: Range<usize>,
    /// What to do.
    pub hint: String,
}

/// The result of reading or evaluating statements.
pub type Result<T> = std::result::Result<T, QueryError>;

/// A word with its place in the text. Two words are equal if their texts are.
#[derive(Clone, Debug)]
pub struct Word {
    /// The text, without quotes.
    pub text: String,
    /// Its place, in bytes.
    pub span: Range<usize>,
}

/// A value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// A whole number.
    Number(u64),
    /// A text.
    Text(String),
}

/// A value with its place in the text. Two are equal if their values are.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The value.
    pub value: Value,
    /// Its place, in bytes.
    pub span: Range<usize>,
}

/// What can be shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableKind {
    /// The services.
    Services,
    /// The workspaces.
    Workspaces,
    /// The processes.
    Hosts,
    /// The backend servers, by the host of their agent.
    BackendServers,
    /// The bearer keys.
    Keys,
    /// The operators.
    Operators,
    /// The versions of the configuration that are in force somewhere.
    Versions,
    /// What engines should hold.
    Placements,
    /// The latest commits.
    Commits,
}

/// What can be created, set and deleted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A bearer key.
    Key,
    /// An operator.
    Operator,
    /// What an engine should hold.
    Placement,
}

/// How two values are compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// Equal. A list is equal to a text if it contains it.
    Eq,
    /// Not equal.
    Ne,
    /// Less.
    Lt,
    /// Less or equal.
    Le,
    /// Greater.
    Gt,
    /// Greater or equal.
    Ge,
}

/// A condition on a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expr {
    /// One of the two holds.
    Or(Box<Expr>, Box<Expr>),
    /// Both hold.
    And(Box<Expr>, Box<Expr>),
    /// It does not hold.
    Not(Box<Expr>),
    /// A field against a value.
    Compare(Word, Op, Placed),
    /// A field against several values.
    In(Word, Vec<Placed>),
}

/// An order of rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The field.
    pub field: Word,
    /// Whether the largest comes first.
    pub descending: bool,
}

/// A question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Show {
    /// The table.
    pub table: TableKind,
    /// Which rows.
    pub filter: Option<Expr>,
    /// In which order; by the first column where it is not given.
    pub order: Option<Order>,
    /// How many rows at most.
    pub limit: Option<u64>,
}

/// A field and its new value or list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// The field.
    pub field: Word,
    /// The values; one where no list was written.
    pub values: Vec<Placed>,
}

/// A change of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Alter {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// Its name.
    pub name: Word,
    /// The fields.
    pub fields: Vec<Assignment>,
}

/// What `explain` is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explain {
    /// The workspace.
    pub workspace: Word,
    /// The service.
    pub service: Word,
    /// The model.
    pub model: Option<Word>,
}

/// A statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Shows a table.
    Show(Show),
    /// Makes an object.
    Create(Alter),
    /// Sets fields of an object.
    Set(Alter),
    /// Deletes an object. The fields tell keys with the same label apart.
    Delete(Alter),
    /// Tells a backend server to drain.
    Drain(Word),
    /// Takes that back.
    Undrain(Word),
    /// Begins a change of several objects.
    Begin,
    /// Commits it.
    Commit,
    /// Tells where a request would be sent, and why.
    Explain(Explain),
    /// Deletes chunks of the configuration that are out of use.
    Collect,
    /// Tells what can be said.
    Help(Vec<Word>),
}

impl TableKind {
    /// Every table by its name.
    pub const ALL: [(&'static str, TableKind); 9] = [
        ("services", TableKind::Services),
        ("workspaces", TableKind::Workspaces),
        ("hosts", TableKind::Hosts),
        ("backend-servers", TableKind::BackendServers),
        ("keys", TableKind::Keys),
        ("operators", TableKind::Operators),
        ("versions", TableKind::Versions),
        ("placements", TableKind::Placements),
        ("commits", TableKind::Commits),
    ];
}

impl ObjectKind {
    /// Every kind by its name.
    pub const ALL: [(&'static str, ObjectKind); 5] = [
        ("workspace", ObjectKind::Workspace),
        ("service", ObjectKind::Service),
        ("key", ObjectKind::Key),
        ("operator", ObjectKind::Operator),
        ("placement", ObjectKind::Placement),
    ];
}

impl Op {
    /// Every comparison as it is written, the longer ones first.
    pub const ALL: [(&'static str, Op); 6] = [
        ("!=", Op::Ne),
        ("<=", Op::Le),
        (">=", Op::Ge),
        ("=", Op::Eq),
        ("<", Op::Lt),
        (">", Op::Gt),
    ];
}

impl Word {
    /// A word at no place.
    pub fn new(text: impl Into<String>) -> Self {
        Word {
            text: text.into(),
            span: 0..0,
        }
    }

    /// An error at the word.
    pub fn error(&self, message: impl Into<String>, hint: impl Into<String>) -> QueryError {
        QueryError::new(self.span.clone(), message, hint)
    }
}

impl PartialEq for Word {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Word {}

impl Placed {
    /// A value at no place.
    pub fn new(value: Value) -> Self {
        Placed { value, span: 0..0 }
    }

    /// An error at the value.
    pub fn error(&self, message: impl Into<String>, hint: impl Into<String>) -> QueryError {
        QueryError::new(self.span.clone(), message, hint)
    }
}

impl PartialEq for Placed {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

impl Eq for Placed {}

impl QueryError {
    /// An error at a place.
    pub fn new(span: Range<usize>, message: impl Into<String>, hint: impl Into<String>) -> Self {
        QueryError {
            message: message.into(),
            span,
            hint: hint.into(),
        }
    }

    /// The error with the line of `source` that it is in, and a mark below the word.
    pub fn render(&self, source: &str) -> String {
        let start = self.span.start.min(source.len());
        let line_start = source[..start].rfind('\n').map_or(0, |i| i + 1);
        let line_end = source[start..]
            .find('\n')
            .map_or(source.len(), |i| start + i);
        let line = &source[line_start..line_end];
        let number = source[..line_start].matches('\n').count() + 1;
        let before = source[line_start..start].chars().count();
        let end = self.span.end.clamp(start, line_end);
        let marks = source[start..end].chars().count().max(1);
        let prefix = format!("line {number} | ");
        format!(
            "error: {}\n{prefix}{line}\n{}{}\nHint: {}",
            self.message,
            " ".repeat(prefix.len() + before),
            "^".repeat(marks),
            self.hint,
        )
    }
}

/// A hint for a word that is none of `known`: the nearest of them, or all.
pub fn suggest(word: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|k| distance(word, k));
    match nearest {
        Some(nearest) if distance(word, nearest) <= 2 => format!("did you mean '{nearest}'?"),
        _ => format!("use one of: {}", known.join(", ")),
    }
}

// The Levenshtein distance: the letters to add, drop or replace.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.chars().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[row.len() - 1]
}

fn name_of<T: Copy + PartialEq>(all: &[(&'static str, T)], value: T) -> &'static str {
    let found = all.iter().find(|(_, v)| *v == value);
    found.map_or("", |(name, _)| name)
}

impl fmt::Display for TableKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(name_of(&TableKind::ALL, *self))
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(name_of(&ObjectKind::ALL, *self))
    }
}

impl fmt::Display for Op {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(name_of(&Op::ALL, *self))
    }
}

struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}'", self.0.replace('\'', "''"))
    }
}

impl fmt::Display for Placed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => Quoted(text).fmt(f),
        }
    }
}

fn write_list(f: &mut fmt::Formatter<'_>, values: &[Placed]) -> fmt::Result {
    let values: Vec<String> = values.iter().map(Placed::to_string).collect();
    write!(f, "({})", values.join(", "))
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expr::Or(a, b) => write!(f, "({a} or {b})"),
            Expr::And(a, b) => write!(f, "({a} and {b})"),
            Expr::Not(a) => write!(f, "not ({a})"),
            Expr::Compare(field, op, value) => write!(f, "{} {op} {value}", field.text),
            Expr::In(field, values) => {
                write!(f, "{} in ", field.text)?;
                write_list(f, values)
            }
        }
    }
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.table)?;
        if let Some(filter) = &self.filter {
            write!(f, " where {filter}")?;
        }
        if let Some(order) = &self.order {
            let direction = if order.descending { " desc" } else { "" };
            write!(f, " order by {}{direction}", order.field.text)?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Alter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, Quoted(&self.name.text))?;
        for (i, field) in self.fields.iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            write!(f, "{comma} {} ", field.field.text)?;
            write_list(f, &field.values)?;
        }
        Ok(())
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Statement::Show(show) => show.fmt(f),
            Statement::Create(alter) => write!(f, "create {alter}"),
            Statement::Set(alter) => write!(f, "set {alter}"),
            Statement::Delete(alter) => write!(f, "delete {alter}"),
            Statement::Drain(host) => write!(f, "drain backend-server {}", Quoted(&host.text)),
            Statement::Undrain(host) => write!(f, "undrain backend-server {}", Quoted(&host.text)),
            Statement::Begin => f.write_str("begin"),
            Statement::Commit => f.write_str("commit"),
            Statement::Collect => f.write_str("collect"),
            Statement::Explain(Explain {
                workspace,
                service,
                model,
            }) => {
                let (workspace, service) = (Quoted(&workspace.text), Quoted(&service.text));
                write!(f, "explain workspace {workspace} service {service}")?;
                let Some(model) = model else {
                    return Ok(());
                };
                write!(f, " model {}", Quoted(&model.text))
            }
            Statement::Help(words) => {
                f.write_str("help")?;
                words.iter().try_for_each(|w| write!(f, " {}", w.text))
            }
        }
    }
}
