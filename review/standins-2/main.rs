//! Stand-ins and cases of the second review: a store, replicas, a link that can be cut, requesters, and the cases that put
//! them around the project's own programs. Uses the standard library only.
//!
//! `review-2 CASE FOLDER` plays a case from the root of the repository and writes `record.txt` in its folder. It ends with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod case_drain;
mod case_poison;
mod case_reborn;
mod client;
mod deployment;
mod http;
mod link;
mod record;
mod replica;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        ["replica", rest @ ..] => replica::serve(rest).map(|()| false),
        ["reborn", folder] => case_reborn::play(folder),
        ["poison", folder] => case_poison::play(folder),
        ["drain", folder] => case_drain::play(folder),
        _ => Err("usage: review-2 reborn|drain|poison FOLDER".into()),
    };
    match result {
        Ok(false) => exit(0),
        Ok(true) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}

/// Whether the disruption is played.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// What ends a case early.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;
