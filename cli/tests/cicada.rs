//! The tool `cicada`, run as a process against the stand-in platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cicada_lib::config_chunks::Root;
use cicada_lib::config_chunks::root_digest;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde_json::Value;
use serde_json::json;
use testutils::http_server::Call;
use testutils::http_server::Handler;
use testutils::http_server::HttpServer;
use testutils::http_server::Reply;
use testutils::platform::PlatformFaults;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;

/// The most bytes of a status page that a process can send: what is read at once, and what the kernel holds.
const MAX_STATUS_BYTES: usize = (100 << 20) + (12 << 20);

struct Bench {
    platform: Arc<PlatformServer>,
    dir: PathBuf,
}

struct Done {
    code: i32,
    out: String,
    err: String,
}

// Answers as a process does that follows the store, or keeps to a version of its own.
struct Status {
    name: String,
    platform: Arc<PlatformServer>,
    version: Option<u64>,
}

impl Handler for Status {
    fn handle(self: Arc<Self>, _call: Call) -> BoxFuture<'static, Reply> {
        let root = self.platform.object("config/root").unwrap().value;
        let newest = Root::decode(&root).unwrap().version.0;
        let digest = match self.version {
            Some(_) => "other".to_owned(),
            None => root_digest(&root).to_string(),
        };
        let page = json!({
            "name": self.name,
            "state": "ready",
            "version": self.version.unwrap_or(newest),
            "digest": digest,
            "in_flight": 2,
        });
        async move { Reply::json(&page) }.boxed()
    }
}

static BENCHES: AtomicU64 = AtomicU64::new(0);

impl Bench {
    // With one operator, ann, whose token is in the file `ann`.
    fn new() -> Self {
        let settings = PlatformSettings {
            host_lag: std::time::Duration::ZERO,
            ..PlatformSettings::new()
        };
        let number = BENCHES.fetch_add(1, Ordering::Relaxed);
        let dir = format!("cicada-cli-{}-{number}", std::process::id());
        let bench = Bench {
            platform: Arc::new(PlatformServer::start(settings).unwrap()),
            dir: std::env::temp_dir().join(dir),
        };
        std::fs::create_dir_all(&bench.dir).unwrap();
        let done = bench.run(&["--json", "create operator ann rights full"]);
        assert_eq!(done.code, 0, "{}", done.err);
        bench.keep("ann", done.json()["issued"][0]["secret"].as_str().unwrap());
        bench
    }

    fn keep(&self, name: &str, secret: &str) {
        std::fs::write(self.dir.join(name), secret).unwrap();
    }

    fn run(&self, args: &[&str]) -> Done {
        let output = Command::new(env!("CARGO_BIN_EXE_cicada"))
            .args(["--platform", &self.platform.addr().to_string()])
            .args(["--status-timeout", "5000"])
            .args(args)
            .output()
            .unwrap();
        Done {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    fn run_as(&self, operator: &str, args: &[&str]) -> Done {
        let file = self.dir.join(operator).display().to_string();
        let who = ["--operator", operator, "--token-file", &file];
        self.run(&[&who, args].concat())
    }

    fn ann(&self, args: &[&str]) -> Done {
        self.run_as("ann", args)
    }

    fn host(&self, name: &str, role: HostRole, status: SocketAddr) {
        let service = if role == HostRole::Agent {
            "drafts"
        } else {
            ""
        };
        self.platform.put_host(HostRecord {
            name: Name::new(name),
            role,
            address: status,
            status,
            service: Name::new(service),
            region: Name::new("north"),
            zone: Name::new("n1"),
            leaving: false,
        });
    }

    fn process(&self, name: &str, role: HostRole, version: Option<u64>) -> Arc<HttpServer> {
        let status = Status {
            name: name.to_owned(),
            platform: self.platform.clone(),
            version,
        };
        let server =
            HttpServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), Arc::new(status)).unwrap();
        self.host(name, role, server.addr());
        server
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Done {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("{} {}", self.out, self.err))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn several_changes_take_effect_together_and_are_shown() {
    let bench = Bench::new();
    let script = "begin
        create service drafts models (hymns, vows)
        create workspace chapel share 3, services drafts
        create key main workspace chapel
        commit";
    let done = bench.ann(&["--json", script]).json();
    assert_eq!(done["version"], 2);
    let secret = done["issued"][0]["secret"].as_str().unwrap();
    let words = "--json show workspaces where share > 2 and name != a order by name desc";
    let words: Vec<&str> = words.split(' ').collect();
    let show = bench.ann(&words);
    let row = &show.json()[0];
    assert_eq!(
        (&row["name"], &row["keys"], &row["services"][0]),
        (&json!("chapel"), &json!(1), &json!("drafts"))
    );
    let show = bench.ann(&["show keys"]);
    let lines: Vec<&str> = show.out.lines().collect();
    assert_eq!(
        lines[0].split_whitespace().collect::<Vec<_>>(),
        ["digest", "label", "workspace"]
    );
    assert!(lines[1].ends_with("chapel"));
    assert!(!show.out.contains(secret));

    let stored = bench.platform.object("config/root").unwrap().value;
    let holds = |text: &str| stored.windows(text.len()).any(|w| w == text.as_bytes());
    assert!(holds("ann") && !holds(secret));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dry_run_changes_nothing_and_gives_out_no_secret() {
    let bench = Bench::new();
    let before = bench.platform.object("config/root");
    let done = bench.ann(&["--dry-run", "create operator bob rights read"]);
    assert_eq!(done.code, 0);
    assert!(
        done.out
            .starts_with("would create operator 'bob' rights ('read')\n"),
        "{}",
        done.out
    );
    assert!(done.out.contains("nothing changed"));
    assert_eq!(done.out.lines().count(), 2);
    assert_eq!(bench.platform.object("config/root"), before);
}

/// Who has no token, a wrong one or read-only rights is refused with code 8, and nothing changes.
#[tokio::test(flavor = "multi_thread")]
async fn operators_prove_who_they_are() {
    let bench = Bench::new();
    assert_eq!(bench.run(&["show operators"]).code, 8);
    bench.keep("eve", "a guess");
    assert_eq!(bench.run_as("eve", &["show operators"]).code, 8);
    let made = bench
        .ann(&["--json", "create operator bob rights read"])
        .json();
    bench.keep("bob", made["issued"][0]["secret"].as_str().unwrap());
    assert_eq!(bench.run_as("bob", &["show operators"]).code, 0);
    let done = bench.run_as("bob", &["create workspace w"]);
    assert_eq!(done.code, 8);
    assert!(done.err.contains("may read only"), "{}", done.err);
    assert_eq!(
        bench
            .run_as("bob", &["--dry-run", "create workspace w"])
            .code,
        8
    );

    // A new token takes the old one's place.
    assert_eq!(bench.ann(&["set operator bob token new"]).code, 0);
    assert_eq!(bench.run_as("bob", &["show operators"]).code, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_error_has_its_code_and_a_hint() {
    let bench = Bench::new();
    let before = bench.platform.object("config/root");
    let cases: [(&[&str], i32, &str); 9] = [
        (&["--no-such-flag"], 2, "Hint:"),
        (&["shwo keys"], 3, "^^^^"),
        (
            &["show workspaces where shar > 3"],
            3,
            "did you mean 'share'?",
        ),
        (&["begin; create workspace w"], 3, "'begin' has no 'commit'"),
        (
            &["create workspace w share 0"],
            4,
            "workspace 'w', share: 0 is out of range; give 1",
        ),
        (
            &["create workspace w services nowhere"],
            4,
            "there is no service 'nowhere'",
        ),
        (&["delete operator ann"], 4, "nobody has full rights"),
        (&["set workspace w share 3"], 3, "Hint: check the name"),
        (
            &["--base", "7", "create workspace w"],
            5,
            "the newest version is 1",
        ),
    ];
    for (args, code, text) in cases {
        let done = bench.ann(args);
        assert_eq!(done.code, code, "{args:?}: {}", done.err);
        assert!(done.err.contains(text), "{args:?}: {}", done.err);
        assert!(done.out.is_empty(), "{args:?}: {}", done.out);
    }
    assert_eq!(bench.platform.object("config/root"), before);
}

/// The settings file has an unknown key, a bad address and a missing token file: all are told at once.
#[tokio::test(flavor = "multi_thread")]
async fn every_fault_of_the_settings_is_told_at_once() {
    let bench = Bench::new();
    let file = bench.dir.join("cicada.ini");
    std::fs::write(
        &file,
        "[operator]\ntoken_file = /nowhere\n[status]\ntimeout = 1\nspeed = 2\n",
    )
    .unwrap();
    let done = bench.run(&["--config", &file.display().to_string(), "show keys"]);
    assert_eq!(done.code, 2);
    let faults = [
        "[status] speed: it is not known",
        "[operator] token_file: /nowhere",
    ];
    assert!(faults.iter().all(|f| done.err.contains(f)), "{}", done.err);
}

/// Half of the answers to writes are lost after they took effect. The operator is told that each change
/// is committed, since the root shows it, and each is there once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::new();
    bench.platform.set_faults(PlatformFaults {
        lost: 0.5,
        ..PlatformFaults::default()
    });
    for i in 0..4 {
        let done = bench.ann(&["--json", &format!("create workspace chapel-{i}")]);
        assert_eq!(done.code, 0, "{}", done.err);
        assert_eq!(done.json()["version"], 2 + i);
    }
    assert!(bench.platform.counts().lost > 3);
    let commits = bench.ann(&["--json", "show commits"]).json();
    assert_eq!(commits.as_array().unwrap().len(), 5);
    assert_eq!(commits[0]["summary"], "create workspace chapel-3");
}

/// The platform is down. The operator is told that nothing changed, with a code of its own.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_told_as_such() {
    let bench = Bench::new();
    bench.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let done = bench.ann(&["create workspace chapel"]);
    assert_eq!(done.code, 6, "{}", done.err);
    assert!(done.err.contains("Hint:"));
}

/// One process follows the new version, one is behind, one does not answer, and at the address of the
/// last another host answers. The commit stands; the operator is told which are not reached.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_in_force_is_told_truthfully() {
    let bench = Bench::new();
    let _a = bench.process("a", HostRole::Entry, None);
    let _b = bench.process("b", HostRole::Agent, Some(1));
    // Nothing listens on the discard port.
    bench.host("c", HostRole::Agent, SocketAddr::from(([127, 0, 0, 1], 9)));
    let e = bench.process("e", HostRole::Agent, None);
    bench.host("d", HostRole::Agent, e.addr());

    let done = bench.ann(&[
        "--json",
        "--wait",
        "1",
        "create service drafts models hymns",
    ]);
    assert_eq!(done.code, 9, "{}", done.err);
    let drained = bench.ann(&["--dry-run", "drain backend-server x"]);
    assert!(drained.err.contains("lists no host 'x'") && drained.code == 0);
    let in_force = &done.json()["in_force"];
    assert_eq!(
        (&in_force["processes"], &in_force["of"]),
        (&json!(2), &json!(5))
    );
    let missing = in_force["missing"].as_array().unwrap();
    let missing: Vec<&str> = missing
        .iter()
        .map(|m| m["host"].as_str().unwrap())
        .collect();
    assert_eq!(missing, ["b", "c", "d"]);

    let servers = "show backend-servers where region = 'north' and state != 'ready'";
    let rows = bench.ann(&["--json", servers]).json();
    let names: Vec<&str> = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["name"].as_str().unwrap())
        .collect();
    assert_eq!(names, ["c", "d"]);
    assert_eq!(rows[0]["version"], Value::Null);
    let versions = bench.ann(&["--json", "show versions"]).json();
    assert_eq!(
        (&versions[0]["version"], &versions[0]["processes"]),
        (&json!(2), &json!(2))
    );

    bench.ann(&["begin; create workspace chapel; drain backend-server e; commit"]);
    let why = bench
        .ann(&["--json", "explain workspace chapel service drafts"])
        .json();
    let reasons: Vec<&str> = why["backend_servers"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["reason"].as_str().unwrap())
        .collect();
    assert_eq!(reasons[0], "");
    assert!(reasons[1].starts_with("unreachable") && reasons[2].contains("'e' answers"));
    assert_eq!(reasons[3], "told to drain");
}

/// Eight operators change the same version at once. Each is told the truth: as many shares are set as
/// commits were told, and the others were refused with the code of a lost race.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_told_who_won() {
    let bench = Bench::new();
    let runs: Vec<Done> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..8)
            .map(|i| {
                let bench = &bench;
                scope.spawn(move || bench.ann(&[&format!("create workspace w{i}")]))
            })
            .collect();
        runs.into_iter().map(|r| r.join().unwrap()).collect()
    });
    let committed = runs.iter().filter(|r| r.code == 0).count();
    let lost = runs.iter().filter(|r| r.code == 5).count();
    assert_eq!(committed + lost, 8);
    let lost = runs.iter().find(|r| r.code == 5);
    assert!(lost.is_none_or(|r| r.err.contains("by operator 'ann' (create workspace w")));
    let rows = bench.ann(&["--json", "show workspaces"]).json();
    assert_eq!(rows.as_array().unwrap().len(), committed);
}

/// The store was restored from a backup while a process follows version 9 of the time before. A commit
/// gets a smaller number, which the process refuses, and the operator is told so; one above 9 is
/// followed.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_ahead_of_a_restored_store_is_not_taken_for_reached() {
    let bench = Bench::new();
    let _a = bench.process("a", HostRole::Entry, Some(9));
    let done = bench.ann(&["--wait", "0", "create workspace chapel"]);
    assert_eq!(done.code, 9);
    let told = "not reached: a (at version 9, which is not the store's; see --above)";
    assert!(done.out.contains(told), "{}", done.out);
    let versions = bench.ann(&["--json", "show versions"]).json();
    assert_eq!(
        (&versions[0]["version"], &versions[0]["standing"]),
        (&json!(9), &json!("ahead"))
    );
    let done = bench.ann(&["--json", "--above", "9", "create workspace font"]);
    assert_eq!(done.json()["version"], 10);
}

/// Guards against a process at a status address that keeps the tool by bytes without end, or is believed whatever the
/// status of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_answer_of_a_process_is_told_and_ends() {
    let bench = Bench::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ScriptedServer::start(any, "x-id").await.unwrap();
    bench.host("e", HostRole::Agent, server.address());
    let page = r#"{"name":"e","state":"ready"}"#;
    let length = page.len();
    let odd = ["000", "099", "101", "102", "103", "600", "999"].map(|status| {
        let head = format!("HTTP/1.1 {status} Odd\r\nContent-Length: {length}\r\n\r\n");
        Script::new(head + page)
    });
    let hints = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500);
    let endless = [
        Script::default().with_repeated(hints),
        Script::new("HTTP/1.1 200 OK\r\n\r\n").with_repeated("x".repeat(16_384)),
        Script::new("HTTP/1.1 200 OK\r\nX-Long: ").with_repeated("x".repeat(16_384)),
    ];
    for script in odd.into_iter().chain(endless) {
        server.set_script("/", script.clone());
        let begun = std::time::Instant::now();
        let done = bench.ann(&["--json", "show backend-servers"]);
        let took = begun.elapsed();
        assert_eq!(done.json()[0]["state"], "unreachable", "{}", done.out);
        assert!(took.as_secs() < 3, "{took:?}");
        let bytes = server.longest_answer();
        assert!(bytes < MAX_STATUS_BYTES, "{bytes} bytes");
    }
}
