//! The daemon's settings: what is wrong is said, all of it, with a remedy.

use cicada_lib::daemon_settings::Settings;
use cicada_lib::daemon_settings::reference;
use quickcheck::QuickCheck;

/// A file whose paths exist everywhere: the manifest of the crate.
const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");

fn agent() -> String {
    format!(
        "[process]\nname = a\nrole = agent\nregion = north\nzone = north-a\n\
         peer = 127.0.0.1:1\nstatus = 127.0.0.1:2\npeer_key_file = {FILE}\n\
         [platform]\naddress = 127.0.0.1:3\ntoken_file = {FILE}\n\
         [backend]\nservice = language\naddress = 127.0.0.1:4\n"
    )
}

fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(err) => err.faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_complete_file_is_good_and_prints_to_itself() {
    let settings = Settings::parse(&agent()).expect("good");
    let again = Settings::parse(&settings.print()).expect("good");
    assert_eq!(again.print(), settings.print());
    assert_eq!(settings.millis("link", "heartbeat").as_millis(), 1_000);
}

#[test]
fn every_fault_is_named_at_once_with_its_place() {
    let text = agent()
        .replace("name = a", "name = A b")
        .replace("service = language\n", "")
        .replace("127.0.0.1:4", "nowhere");
    let text = format!("{text}[link]\nheartbeat = 5\nsilence = 3\n[backend]\nlisten = 1\n");
    let found = faults(&text).join("\n");
    for part in [
        "[process] name: `A b` is no name",
        "[backend] address: `nowhere` is no IP address with a port",
        "[link] heartbeat: 5 is out of bounds; give: milliseconds from 50 to 60000",
        "[link] silence: is no known setting; this section knows heartbeat, silent",
        "[backend] listen: is no known setting; it belongs into [entry]",
    ] {
        assert!(found.contains(part), "{part}\nis not in\n{found}");
    }
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    let text = agent().replace("service = language\n", "");
    assert!(faults(&text)[0].contains("[backend] service: is missing, and the role is `agent`"));
    let text = format!("{}[link]\nheartbeat = 1000\nsilent = 1500\n", agent());
    assert!(faults(&text)[0].contains("one lost beat cuts a link"));
}

#[test]
fn a_key_in_two_parts_of_a_section_is_read_and_a_doubled_one_is_refused() {
    let text = format!("{}[backend]\npoll = 77\n", agent());
    let settings = Settings::parse(&text).expect("good");
    assert_eq!(settings.count("backend", "poll"), 77);
    let text = format!("{text}[backend]\npoll = 78\n");
    assert_eq!(
        faults(&text),
        ["[backend] poll: is given more than once; keep one of them"]
    );
}

#[test]
fn no_text_makes_the_reader_panic() {
    fn holds(text: String) -> bool {
        let _ = Settings::parse(&text);
        true
    }
    QuickCheck::new().quickcheck(holds as fn(String) -> bool);
}

#[test]
fn the_reference_page_is_the_table() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/settings.md");
    let written = std::fs::read_to_string(page).unwrap_or_default();
    assert_eq!(
        written,
        reference(),
        "write the page anew: cargo run -p cicada-daemon --bin cicadad -- --print-reference"
    );
}
