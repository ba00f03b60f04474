//! Prints tables for people, and JSON for programs.

use std::io;
use std::io::Write;

use cicada_lib::query_rows::Cell;
use cicada_lib::query_rows::Table;
use comfy_table::ContentArrangement;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Prints a table, as an array of objects where JSON is asked for.
pub(crate) fn print_table(table: &Table, as_json: bool) {
    if as_json {
        print_json(&rows(table));
    } else {
        print_line(&human(table));
    }
}

/// Prints a JSON value on a line of its own.
pub(crate) fn print_json(value: &Value) {
    print_line(&value.to_string());
}

/// Prints a line. A reader that has gone away, as `head` does, is no error.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(io::stdout().lock(), "{text}");
}

/// The rows of a table as JSON objects; `null` for what is not known.
pub(crate) fn rows(table: &Table) -> Value {
    let row = |cells: &Vec<Cell>| {
        let pairs = table.columns.iter().zip(cells);
        let pairs = pairs.map(|(c, cell)| (c.name.to_owned(), value(cell)));
        Value::Object(pairs.collect::<Map<_, _>>())
    };
    Value::Array(table.rows.iter().map(row).collect())
}

fn value(cell: &Cell) -> Value {
    match cell {
        Cell::Text(text) => json!(text),
        Cell::Number(number) => json!(number),
        Cell::List(list) => json!(list),
        Cell::Missing => Value::Null,
    }
}

fn human(table: &Table) -> String {
    let mut out = comfy_table::Table::new();
    out.load_preset(comfy_table::presets::NOTHING);
    // Lines are never broken, so that `grep` and `awk` see one row a line.
    out.set_content_arrangement(ContentArrangement::Disabled);
    out.set_header(table.columns.iter().map(|c| c.name));
    for row in &table.rows {
        out.add_row(row.iter().map(text));
    }
    let lines: Vec<String> = out.lines().map(|l| l.trim().to_owned()).collect();
    lines.join("\n")
}

fn text(cell: &Cell) -> String {
    match cell {
        Cell::Text(text) if text.is_empty() => "-".to_owned(),
        Cell::Text(text) => text.clone(),
        Cell::Number(number) => number.to_string(),
        Cell::List(list) if list.is_empty() => "-".to_owned(),
        Cell::List(list) => list.join(","),
        Cell::Missing => "?".to_owned(),
    }
}
