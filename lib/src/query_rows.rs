//! Tables that queries filter, order and cut.

use std::cmp::Ordering;

use crate::query::Expr;
use crate::query::Op;
use crate::query::Order;
use crate::query::Placed;
use crate::query::Result;
use crate::query::Show;
use crate::query::Value;
use crate::query::Word;
use crate::query::suggest;

/// What a cell holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cell {
    /// A text.
    Text(String),
    /// A number.
    Number(u64),
    /// Texts.
    List(Vec<String>),
    /// Nothing: it is not known.
    Missing,
}

/// The type of a column's cells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CellKind {
    /// Texts.
    Text,
    /// Numbers.
    Number,
    /// Lists of texts.
    List,
}

/// A column. Names of columns are stable: scripts rely on them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Column {
    /// The name.
    pub name: &'static str,
    /// The type.
    pub kind: CellKind,
}

/// A table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    /// The columns.
    pub columns: &'static [Column],
    /// The rows, each with a cell for each column.
    pub rows: Vec<Vec<Cell>>,
}

impl Column {
    /// A column of texts.
    pub const fn text(name: &'static str) -> Self {
        let kind = CellKind::Text;
        Column { name, kind }
    }

    /// A column of numbers.
    pub const fn number(name: &'static str) -> Self {
        let kind = CellKind::Number;
        Column { name, kind }
    }

    /// A column of lists.
    pub const fn list(name: &'static str) -> Self {
        let kind = CellKind::List;
        Column { name, kind }
    }
}

/// Checks that the fields of a query are columns, and its values of their types.
pub fn check_show(show: &Show, columns: &[Column]) -> Result<()> {
    if let Some(filter) = &show.filter {
        check_expr(filter, columns)?;
    }
    if let Some(order) = &show.order {
        find(&order.field, columns)?;
    }
    Ok(())
}

fn find(field: &Word, columns: &[Column]) -> Result<usize> {
    let found = columns
        .iter()
        .position(|c| c.name.eq_ignore_ascii_case(&field.text));
    found.ok_or_else(|| {
        let names: Vec<&str> = columns.iter().map(|c| c.name).collect();
        let message = format!("there is no column '{}'", field.text);
        field.error(message, suggest(&field.text, &names))
    })
}

fn check_expr(expr: &Expr, columns: &[Column]) -> Result<()> {
    match expr {
        Expr::Or(a, b) | Expr::And(a, b) => {
            check_expr(a, columns)?;
            check_expr(b, columns)
        }
        Expr::Not(a) => check_expr(a, columns),
        Expr::Compare(field, _, value) => check_value(field, value, columns),
        Expr::In(field, values) => values
            .iter()
            .try_for_each(|v| check_value(field, v, columns)),
    }
}

fn check_value(field: &Word, value: &Placed, columns: &[Column]) -> Result<()> {
    let column = columns[find(field, columns)?];
    if column.kind == CellKind::Number && matches!(value.value, Value::Text(_)) {
        let message = format!("the column '{}' holds numbers", column.name);
        return Err(value.error(message, "compare it with a number"));
    }
    Ok(())
}

impl Table {
    /// The rows that the query asks for, in its order.
    pub fn select(mut self, show: &Show) -> Result<Self> {
        check_show(show, self.columns)?;
        if let Some(filter) = &show.filter {
            let columns = self.columns;
            self.rows.retain(|row| holds(filter, row, columns));
        }
        self.sort(show.order.as_ref())?;
        if let Some(limit) = show.limit {
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            self.rows.truncate(limit);
        }
        Ok(self)
    }

    fn sort(&mut self, order: Option<&Order>) -> Result<()> {
        let Some(order) = order else {
            return Ok(());
        };
        let column = find(&order.field, self.columns)?;
        let compare = |a: &Vec<Cell>, b: &Vec<Cell>| {
            let ordering = compare_cells(&a[column], &b[column]);
            // What is not known comes last either way.
            let missing = a[column] == Cell::Missing || b[column] == Cell::Missing;
            if order.descending && !missing {
                ordering.reverse()
            } else {
                ordering
            }
        };
        // Stable: rows with equal cells stay in the order of the first column.
        self.rows.sort_by(compare);
        Ok(())
    }
}

fn compare_cells(a: &Cell, b: &Cell) -> Ordering {
    match (a, b) {
        (Cell::Missing, Cell::Missing) => Ordering::Equal,
        (Cell::Missing, _) => Ordering::Greater,
        (_, Cell::Missing) => Ordering::Less,
        (Cell::Number(a), Cell::Number(b)) => a.cmp(b),
        (Cell::Text(a), Cell::Text(b)) => a.cmp(b),
        (Cell::List(a), Cell::List(b)) => a.cmp(b),
        _ => Ordering::Equal,
    }
}

fn holds(expr: &Expr, row: &[Cell], columns: &[Column]) -> bool {
    match expr {
        Expr::Or(a, b) => holds(a, row, columns) || holds(b, row, columns),
        Expr::And(a, b) => holds(a, row, columns) && holds(b, row, columns),
        Expr::Not(a) => !holds(a, row, columns),
        Expr::Compare(field, op, value) => {
            let column = find(field, columns).ok();
            column.is_some_and(|c| matches_cell(&row[c], *op, &value.value))
        }
        Expr::In(field, values) => {
            let column = find(field, columns).ok();
            column.is_some_and(|c| {
                values
                    .iter()
                    .any(|v| matches_cell(&row[c], Op::Eq, &v.value))
            })
        }
    }
}

// What is not known differs from every value, and is neither less nor greater.
fn matches_cell(cell: &Cell, op: Op, value: &Value) -> bool {
    let ordering = match (cell, value) {
        (Cell::Number(a), Value::Number(b)) => a.cmp(b),
        (Cell::Text(a), value) => a.as_str().cmp(text(value).as_str()),
        (Cell::List(list), value) => {
            let contained = list.contains(&text(value));
            return contained == (op == Op::Eq) && matches!(op, Op::Eq | Op::Ne);
        }
        _ => return op == Op::Ne,
    };
    match op {
        Op::Eq => ordering.is_eq(),
        Op::Ne => ordering.is_ne(),
        Op::Lt => ordering.is_lt(),
        Op::Le => ordering.is_le(),
        Op::Gt => ordering.is_gt(),
        Op::Ge => ordering.is_ge(),
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::Number(number) => number.to_string(),
        Value::Text(text) => text.clone(),
    }
}
