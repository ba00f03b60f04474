//! `help`: what can be said.

use cicada_lib::query::ObjectKind;
use cicada_lib::query::TableKind;
use cicada_lib::query::Word;
use cicada_lib::query_eval::known_fields;

use crate::output::print_line;
use crate::tables::columns;

const STATEMENTS: &str = "\
show TABLE [where CONDITION] [order by COLUMN [desc]] [limit N]
create KIND NAME [FIELD VALUE]...     set KIND NAME FIELD VALUE...
delete KIND NAME                      delete key LABEL workspace W
drain backend-server HOST             undrain backend-server HOST
begin; STATEMENT; ... commit          several changes that take effect together
explain workspace W service S [model M]
collect                               deletes chunks out of use
help [TABLE or KIND]

Statements end at a line's end or at ';'. Text after '#' is a comment. Names with other characters
than letters, digits and . _ - / : @ stand in quotes. Lists stand in brackets: models (a, b).
Conditions: = != < <= > >= in (a, b), joined by and, or, not and brackets.";

/// Prints help on what the words name, or on everything.
pub(crate) fn run(words: &[Word]) {
    let tables = TableKind::ALL;
    let kinds = ObjectKind::ALL;
    let named = |name: &str| words.iter().any(|w| w.text.eq_ignore_ascii_case(name));
    let mut found = false;
    for (name, kind) in tables.iter().filter(|(name, _)| named(name)) {
        let columns: Vec<&str> = columns(*kind).iter().map(|c| c.name).collect();
        print_line(&format!("{name}: columns {}", columns.join(", ")));
        found = true;
    }
    for (name, kind) in kinds.iter().filter(|(name, _)| named(name)) {
        print_line(&format!(
            "{name}: fields {}",
            known_fields(*kind).join(", ")
        ));
        found = true;
    }
    if found {
        return;
    }
    let tables: Vec<&str> = tables.iter().map(|(name, _)| *name).collect();
    let kinds: Vec<&str> = kinds.iter().map(|(name, _)| *name).collect();
    print_line(STATEMENTS);
    print_line(&format!(
        "\nTables: {}\nKinds: {}",
        tables.join(", "),
        kinds.join(", ")
    ));
}
