//! The operators' language: what is printed reads back, no text panics, errors point at the word.

use cicada_lib::config::Config;
use cicada_lib::config::Route;
use cicada_lib::config::ServiceKind;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::ids::Name;
use cicada_lib::query::Alter;
use cicada_lib::query::Assignment;
use cicada_lib::query::Explain;
use cicada_lib::query::Expr;
use cicada_lib::query::ObjectKind;
use cicada_lib::query::Op;
use cicada_lib::query::Order;
use cicada_lib::query::Placed;
use cicada_lib::query::QueryError;
use cicada_lib::query::Show;
use cicada_lib::query::Statement;
use cicada_lib::query::TableKind;
use cicada_lib::query::Value;
use cicada_lib::query::Word;
use cicada_lib::query_eval::Evaluator;
use cicada_lib::query_parse::parse;
use cicada_lib::query_rows::Cell;
use cicada_lib::query_rows::Column;
use cicada_lib::query_rows::Table;
use cicada_lib::secrets::Secret;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

#[derive(Clone, Debug)]
struct Any(Statement);

fn name(g: &mut Gen) -> Word {
    // A name with a line's end can be neither written nor accepted.
    Word::new(String::arbitrary(g).replace(['\n', '\r'], " "))
}

fn field(g: &mut Gen) -> Word {
    let fields = [
        "share", "max_wait", "where", "zone", "x-1", "limit", "order",
    ];
    Word::new(*g.choose(&fields).unwrap())
}

fn value(g: &mut Gen) -> Placed {
    Placed::new(match bool::arbitrary(g) {
        true => Value::Number(u64::arbitrary(g)),
        false => Value::Text(name(g).text),
    })
}

fn values(g: &mut Gen) -> Vec<Placed> {
    (0..u8::arbitrary(g) % 4).map(|_| value(g)).collect()
}

fn expr(g: &mut Gen, depth: u32) -> Expr {
    let kind = if depth == 0 { 3 } else { u8::arbitrary(g) % 5 };
    let mut inner = || Box::new(expr(g, depth - 1));
    match kind {
        0 => Expr::Or(inner(), inner()),
        1 => Expr::And(inner(), inner()),
        2 => Expr::Not(inner()),
        3 => Expr::Compare(field(g), g.choose(&Op::ALL).unwrap().1, value(g)),
        _ => Expr::In(field(g), values(g)),
    }
}

fn alter(g: &mut Gen) -> Alter {
    let assignment = |g: &mut Gen| Assignment {
        field: field(g),
        values: values(g),
    };
    Alter {
        kind: g.choose(&ObjectKind::ALL).unwrap().1,
        name: name(g),
        fields: (0..u8::arbitrary(g) % 4).map(|_| assignment(g)).collect(),
    }
}

fn show(g: &mut Gen) -> Show {
    let order = Order {
        field: field(g),
        descending: bool::arbitrary(g),
    };
    Show {
        table: g.choose(&TableKind::ALL).unwrap().1,
        filter: bool::arbitrary(g).then(|| expr(g, 5)),
        order: bool::arbitrary(g).then_some(order),
        limit: Option::arbitrary(g),
    }
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        Any(match u8::arbitrary(g) % 9 {
            0 | 1 => Statement::Show(show(g)),
            2 => Statement::Create(alter(g)),
            3 => Statement::Set(alter(g)),
            4 => Statement::Delete(alter(g)),
            5 => Statement::Drain(name(g)),
            6 => Statement::Undrain(name(g)),
            7 => Statement::Explain(Explain {
                workspace: name(g),
                service: name(g),
                model: bool::arbitrary(g).then(|| name(g)),
            }),
            _ => Statement::Begin,
        })
    }
}

fn check(tests: u64) -> QuickCheck {
    let seeds = Gen::from_size_and_seed(60, 11);
    QuickCheck::new().rng(seeds).tests(tests)
}

#[test]
fn what_is_printed_reads_back() {
    fn reads_back(statements: Vec<Any>) -> bool {
        let texts: Vec<String> = statements.iter().map(|s| s.0.to_string()).collect();
        let read = parse(&texts.join("\n")).unwrap();
        read.iter().eq(statements.iter().map(|s| &s.0))
    }
    check(500).quickcheck(reads_back as fn(Vec<Any>) -> bool);
}

#[test]
fn no_text_panics() {
    fn parses_or_not(text: String) -> bool {
        match parse(&text) {
            Ok(_) => true,
            Err(error) => !error.render(&text).is_empty() && error.span.end <= text.len(),
        }
    }
    fn damaged(statement: Any, at: usize, junk: String) -> bool {
        let mut text = statement.0.to_string();
        let places: Vec<usize> = text.char_indices().map(|(i, _)| i).collect();
        let at = places[at % places.len()];
        text.insert_str(at, &junk);
        parses_or_not(text)
    }
    check(2_000).quickcheck(parses_or_not as fn(String) -> bool);
    check(2_000).quickcheck(damaged as fn(Any, usize, String) -> bool);
    parse(&format!("show keys where {}", "(".repeat(100_000))).unwrap_err();
    parse(&format!("show keys where {}", "not ".repeat(100_000))).unwrap_err();
    parse(&format!("show keys where {}", "a = 1 or ".repeat(100_000))).unwrap_err();
}

fn rendered(text: &str) -> String {
    let error = match parse(text) {
        Ok(statements) => eval(&statements).unwrap_err(),
        Err(error) => error,
    };
    error.render(text)
}

fn eval(statements: &[Statement]) -> Result<Change, QueryError> {
    let mut evaluator = Evaluator::new(Config::default());
    let mut edits = Vec::new();
    for (i, statement) in statements.iter().enumerate() {
        let secret = Secret::new(&format!("secret {i}"));
        edits.push(evaluator.eval(statement, secret)?.edit);
    }
    Ok(Change::new(edits))
}

#[test]
fn errors_point_at_the_word_and_suggest_a_remedy() {
    let cases = [
        ("shwo keys", "^^^^", "did you mean 'show'?"),
        (
            "show workspace",
            "     ^^^^^^^^^",
            "did you mean 'workspaces'?",
        ),
        (
            "show keys where 'a' = 3",
            "                ^^^",
            "without quotes",
        ),
        (
            "show keys limit many",
            "                ^^^^",
            "write 'limit 20'",
        ),
        (
            "create workspace 'a' shar 3",
            "                     ^^^^",
            "did you mean 'share'?",
        ),
        (
            "create workspace a share x",
            "                         ^",
            "write digits only",
        ),
        (
            "set workspace nobody share 3",
            "              ^^^^^^",
            "check the name",
        ),
        (
            "create workspace 'a",
            "                 ^^",
            "close it by '",
        ),
        (
            "drain host-1",
            "      ^^^^^^",
            "write 'drain backend-server HOST'",
        ),
        (
            "create key k",
            "           ^",
            "create key LABEL workspace W",
        ),
        ("show keys; %", "           ^", "in quotes"),
    ];
    for (text, marks, hint) in cases {
        let error = rendered(text);
        let lines: Vec<&str> = error.lines().collect();
        let indent = "line 1 | ".len();
        assert_eq!(&lines[2][indent..], marks, "{error}");
        assert!(
            lines[3].starts_with("Hint: ") && lines[3].contains(hint),
            "{error}"
        );
    }
}

#[test]
fn statements_make_typed_edits_each_on_top_of_the_last() {
    let text = "
        create service drafts models (hymns, vows), objective gap   # engines
        create service booking kind plain idempotent ('PUT:/sales', get:/fonts) keyless refuse
        create workspace 'chapel' share 3; set workspace chapel rate 10, burst = 20
        create key main workspace chapel; set key main label other
        create placement h-1 models hymns role decode
        drain backend-server h-1
    ";
    let change = eval(&parse(text).unwrap()).unwrap();
    let config = change.apply(&Config::default()).unwrap();
    let service = &config.services["booking"];
    let route = Route {
        method: Name::new("PUT"),
        prefix: Name::new("/sales"),
    };
    let ServiceKind::Plain { idempotent } = &service.kind else {
        panic!("{service:?}");
    };
    assert!(idempotent.contains(&route));
    assert!(service.is_idempotent("PUT", "/sales/7?x=1"));
    assert!(!service.is_idempotent("PUT", "/sales-deposit"));
    assert!(!service.is_idempotent("PUT", "/sales/../deposit"));
    assert!(!service.is_idempotent("POST", "/sales"));
    let workspace = &config.workspaces["chapel"];
    assert_eq!(
        (workspace.share, workspace.rate, workspace.burst),
        (3, 10, 20)
    );
    assert_eq!(config.keys.values().next().unwrap().label.as_str(), "other");
    assert!(config.drains.contains("h-1"));
    assert!(matches!(change.edits[2], Edit::Workspace(..)));
}

#[test]
fn queries_filter_order_and_cut() {
    static COLUMNS: [Column; 3] = [
        Column::text("name"),
        Column::number("share"),
        Column::list("services"),
    ];
    let row = |name: &str, share: Cell, service: &str| {
        let services = Cell::List(vec![service.to_owned()]);
        vec![Cell::Text(name.to_owned()), share, services]
    };
    let table = Table {
        columns: &COLUMNS,
        rows: vec![
            row("a", Cell::Number(10), "drafts"),
            row("b", Cell::Number(9), "booking"),
            row("c", Cell::Missing, "drafts"),
        ],
    };
    let names = |query: &str| {
        let Statement::Show(show) = parse(query).unwrap().remove(0) else {
            panic!("{query}");
        };
        let table = table.clone().select(&show).unwrap();
        let names = table.rows.iter().map(|r| match &r[0] {
            Cell::Text(name) => name.clone(),
            cell => panic!("{cell:?}"),
        });
        names.collect::<String>()
    };
    assert_eq!(names("show workspaces"), "abc");
    assert_eq!(names("show workspaces where share > 9 or name = b"), "ab");
    assert_eq!(names("show workspaces where share != 10"), "bc");
    assert_eq!(
        names("show workspaces where services = drafts and not name = a"),
        "c"
    );
    assert_eq!(
        names("show workspaces where name in (a, c) order by name desc"),
        "ca"
    );
    assert_eq!(names("show workspaces order by share"), "bac");
    assert_eq!(names("show workspaces order by share desc limit 2"), "ab");
    assert_eq!(
        names("show workspaces where not (share < 10 or share >= 10)"),
        "c"
    );
}
