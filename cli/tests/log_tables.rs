//! `cicada log-tables`, run as a process on logs of relays.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

fn line(second: u32, message: &str, fields: Value) -> String {
    let mut line = json!({
        "timestamp": format!("2026-12-04T10:00:{second:02}.000000Z"),
        "level": "INFO",
        "fields": fields,
    });
    line["fields"]["message"] = json!(message);
    line.to_string()
}

fn placed(second: u32, id: &str, server: &str, reading: u64) -> String {
    let fields = json!({ "id": id, "server": server, "reading": reading, "tokens": 3_000 });
    line(second, "stream: placed", fields)
}

fn ended(second: u32, id: &str, server: &str, first: u64, longest: u64) -> String {
    let fields = json!({ "id": id, "server": server, "first": first, "longest": longest });
    line(second, "stream: ended", fields)
}

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cicada"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

/// Two relays' logs, one after the other, with a line of another process and one on another matter.
fn log() -> String {
    [
        placed(1, "a", "e-1", 210),
        placed(4, "c", "e-1", 420),
        ended(9, "a", "e-1", 230, 185),
        ended(10, "c", "e-1", 500, 90),
        placed(11, "d", "e-2", 0),
        "not JSON".to_owned(),
        line(1, "stream: turned away", json!({ "id": "x" })),
        placed(2, "b", "e-1", 300),
        placed(3, "b", "e-2", 250),
        ended(8, "b", "e-3", 900, 260),
    ]
    .join("\n")
}

/// Guards against prompts that are counted at another engine, or for the run whose own prompt they are.
#[test]
fn prompts_count_at_the_engine_of_the_run() {
    let done = run(&["--json", "log-tables"], &log());
    assert!(done.status.success(), "{done:?}");
    let tables: Value = serde_json::from_slice(&done.stdout).unwrap();
    let row = |label: &str, name: &str, streams: u64, times: [u64; 4]| {
        let mut row = json!({ "streams": streams });
        let kind = if name == "prompts" {
            "longest"
        } else {
            "first"
        };
        row[name] = json!(label);
        for (part, time) in ["p50", "p90", "p99", "max"].iter().zip(times) {
            row[format!("{kind}_{part}")] = json!(time);
        }
        row
    };
    // Run a had the prompts of b and c beside it, c none, and b ended at an engine that it was moved to.
    let expected = json!({
        "first_event": [
            row("200-399", "queued_ms", 2, [230, 900, 900, 900]),
            row("400-799", "queued_ms", 1, [500; 4]),
        ],
        "longest_gap": [
            row("0", "prompts", 1, [90; 4]),
            row("2", "prompts", 1, [185; 4]),
            row("moved", "prompts", 1, [260; 4]),
        ],
    });
    assert_eq!(tables, expected);
}

/// Guards against a file that is not read like standard input.
#[test]
fn a_file_gives_both_tables_as_text() {
    let name = format!("cicada-log-tables-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, log()).unwrap();
    let done = run(&["log-tables", path.to_str().unwrap()], "");
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8(done.stdout).unwrap();
    let words = |text: &str| {
        text.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let rows: Vec<Vec<String>> = text.lines().map(words).collect();
    let header = "prompts streams longest_p50 longest_p90 longest_p99 longest_max";
    assert!(rows.contains(&words(header)), "{text}");
    assert!(rows.contains(&words("2 1 185 185 185 185")), "{text}");
}

/// Guards against empty tables for a wrong file, and against a missing file that looks like an empty log.
#[test]
fn a_log_without_such_lines_is_an_error() {
    let cases = [
        ("", "stream: placed"),
        ("stream: placed id=1 server=e-1", "stream: placed"),
        (&placed(1, "a", "e-1", 210), "stream: ended"),
    ];
    for (input, lacking) in cases {
        let done = run(&["log-tables"], input);
        let error = String::from_utf8(done.stderr).unwrap();
        assert_eq!(done.status.code(), Some(2), "{error}");
        assert!(error.contains(&format!("standard input: there is no line '{lacking}'")));
        assert!(error.contains("format = json") && done.stdout.is_empty());
    }
    let done = run(&["log-tables", "/nonexistent/relay.log"], "");
    let error = String::from_utf8(done.stderr).unwrap();
    assert_eq!(done.status.code(), Some(2), "{error}");
    assert!(error.contains("/nonexistent/relay.log"));
    assert_eq!(run(&["log-tables", "a", "b"], "").status.code(), Some(2));
}
