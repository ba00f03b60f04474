//! A model replica, as a process of its own: answers a stream of events, reports and health checks. It prints what it runs.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::Failure;
use crate::http;
use crate::http::Message;

/// Paths of requests that crash replicas begin so.
pub const POISON: &str = "/drafts/poison";

/// Tokens in an event.
pub const STRIDE: u32 = 4;

struct Replica {
    id: String,
    born: u64,
    // Time to the first event, and between two events.
    first: Duration,
    gap: Duration,
    // The event after which requests at the path of `POISON` crash the replica; 0 for none.
    crash_at: u32,
    // Whether nothing but the end of its channel ends an answer.
    unframed: bool,
    running: AtomicU32,
    // Runs from their first token on: identifier, tokens in memory, events.
    runs: Mutex<Vec<(String, u32, u32)>>,
}

/// Serves until the process is killed. Arguments: address, identifier, milliseconds to the first event and between two
/// events, `close` or `chunks`, and the event after which poison requests crash it.
pub fn serve(args: &[&str]) -> Result<(), Failure> {
    let [address, id, first, gap, framing, crash_at] = args else {
        return Err("replica ADDRESS ID FIRST_MS GAP_MS close|chunks CRASH_AT".into());
    };
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    let born = since.as_millis() as u64;
    let replica = Arc::new(Replica {
        id: id.to_string(),
        born,
        first: Duration::from_millis(first.parse()?),
        gap: Duration::from_millis(gap.parse()?),
        crash_at: crash_at.parse()?,
        unframed: *framing == "close",
        running: AtomicU32::new(0),
        runs: Mutex::default(),
    });
    let address: SocketAddr = address.parse()?;
    http::serve(address, move |request, stream| replica.handle(request, stream))?;
    println!("up {born}");
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

impl Replica {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let running = self.running.load(Ordering::Relaxed);
        match request.path() {
            "/api/report" => {
                let runs = self.runs().clone();
                let (used, born) = (runs.iter().map(|run| run.1).sum::<u32>(), self.born);
                let runs: Vec<String> = runs
                    .iter()
                    .map(|(id, tokens, events)| format!(r#"["{id}",{tokens},{events},5]"#))
                    .collect();
                let runs = runs.join(",");
                let body = format!(
                    r#"{{"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":{running},"kvUsed":{used},"kvTotal":34263,"kvHandles":0,"state":"ready","runs":[{runs}],"born":{born}}}"#
                );
                let json = [("Content-Type", "application/json")];
                stream.write_all(http::answer("200 OK", &json, &body).as_bytes())?;
                return Ok(true);
            }
            "/healthz" => {
                let load = format!("{running},0,24");
                let headers = [
                    ("X-Cicadastream-Instance-Id", self.id.as_str()),
                    ("X-Cicadastream-Server-Load", &load),
                ];
                stream.write_all(http::answer("200 OK", &headers, "").as_bytes())?;
                return Ok(true);
            }
            // No other replica has room for a copy. The answer to a first call, which has no `last`; the run goes on.
            "/api/kv-move" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let runs_here = self.runs().iter().any(|run| body.contains(&format!("\"{}\"", run.0)));
                let status = if runs_here { "503 Service Unavailable" } else { "404 Not Found" };
                println!("{} is asked for a copy: {status}, {body}", self.id);
                let json = [("Content-Type", "application/json")];
                stream.write_all(http::answer(status, &json, "{}").as_bytes())?;
                return Ok(true);
            }
            path if path.starts_with("/api/") => {
                println!("{} is asked for {path}", self.id);
                stream.write_all(http::answer("404 Not Found", &[], "").as_bytes())?;
                return Ok(true);
            }
            _ => {}
        }
        let expected = request.header("x-cicadastream-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Cicadastream-Instance-Id", self.id.as_str())];
            let text = http::answer("421 Misdirected Request", &headers, "");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let counts = request.header("x-cicadastream-token-counts");
        let (prompt, output) = counts.split_once(',').unwrap_or(("0", "40"));
        let (prompt, output): (u32, u32) =
            (prompt.parse().unwrap_or(0), output.parse().unwrap_or(40));
        self.running.fetch_add(1, Ordering::Relaxed);
        let attempt = request.header("x-cicadastream-attempt-id");
        println!("{} runs {attempt}", self.id);
        let crash_at = match request.path().starts_with(POISON) {
            true => self.crash_at,
            false => 0,
        };
        let ended = self.stream(attempt, prompt, output / STRIDE, crash_at, stream);
        let word = if ended.is_ok() { "whole" } else { "channel lost" };
        println!("{} ends {attempt}: {word}", self.id);
        self.runs().retain(|run| run.0 != attempt);
        self.running.fetch_sub(1, Ordering::Relaxed);
        ended.map(|()| !self.unframed)
    }

    fn runs(&self) -> MutexGuard<'_, Vec<(String, u32, u32)>> {
        self.runs.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn stream(
        &self,
        attempt: &str,
        prompt: u32,
        events: u32,
        crash_at: u32,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        thread::sleep(self.first);
        self.runs().push((attempt.to_string(), prompt, 0));
        let framing = match self.unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\nX-Cicadastream-Attempt-Id: {attempt}\r\n\
             X-Cicadastream-Response-Seal: {}.{attempt}\r\nX-Cicadastream-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=events {
            let event = format!("id: {number}\ndata: piece {number} of {events}\n\n");
            let text = match self.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(text.as_bytes())?;
            if let Some(run) = self.runs().iter_mut().find(|run| run.0 == attempt) {
                (run.1, run.2) = (prompt + number * STRIDE, number);
            }
            if number == crash_at {
                println!("{} crashes under {attempt}", self.id);
                std::process::exit(3);
            }
            if number < events {
                thread::sleep(self.gap);
            }
        }
        if !self.unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
