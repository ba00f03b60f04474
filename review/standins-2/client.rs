//! A requester of streams.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// After this gap a requester abandons a stream: four times the objective of 1.8 s.
const PATIENCE: Duration = Duration::from_millis(7_200);

/// What a requester got.
#[derive(Debug)]
pub struct Heard {
    pub status: u16,
    pub sealed: bool,
    // Whole events, and those that the replica meant to send.
    pub events: u32,
    pub meant: u32,
    // Whether the answer ended as HTTP ends a complete one.
    pub complete: bool,
    // How the channel ended, for the record.
    #[allow(dead_code)]
    pub why: String,
}

impl Heard {
    fn nothing(why: String) -> Self {
        Heard { status: 0, sealed: false, events: 0, meant: 0, complete: false, why }
    }

    /// Whether it looks like a whole success.
    pub fn looks_whole(&self) -> bool {
        (200..300).contains(&self.status) && self.sealed && self.complete
    }
}

/// The head and body of a streaming request. It may take `limit_ms` and has so many tokens.
pub fn stream_request(id: &str, prompt: u32, output: u32, limit_ms: u32) -> String {
    same_request(id, id, prompt, output, limit_ms)
}

/// The same for an attempt `id` of the request that `subject` names: its path and body.
pub fn same_request(id: &str, subject: &str, prompt: u32, output: u32, limit_ms: u32) -> String {
    let body = format!("a prompt for {subject}");
    format!(
        "POST /drafts/{subject} HTTP/1.1\r\nHost: rites.example\r\nX-Cicadastream-Attempt-Id: {id}\r\nX-Cicadastream-Model: m\r\n\
         X-Cicadastream-Token-Counts: {prompt},{output}\r\nX-Cicadastream-Prefix-Hash: {:x}:{prompt}\r\n\
         X-Cicadastream-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer key-of-the-chapel\r\nContent-Length: {}\r\n\r\n{body}",
        subject.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into())),
        body.len()
    )
}

/// Sends a request over a new channel and reads the answer to its end.
pub fn ask(relay: SocketAddr, request: &str) -> Heard {
    let channel = match TcpStream::connect_timeout(&relay, Duration::from_secs(1)) {
        Ok(channel) => channel,
        Err(error) => return Heard::nothing(format!("not connected: {error}")),
    };
    match ask_on(channel, request) {
        Ok(heard) => heard,
        Err(error) => Heard::nothing(format!("no answer: {error}")),
    }
}

fn ask_on(mut channel: TcpStream, request: &str) -> std::io::Result<Heard> {
    channel.set_nodelay(true)?;
    channel.set_read_timeout(Some(PATIENCE))?;
    channel.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(channel);
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(Heard::nothing("closed before an answer".into()));
    };
    let mut body = Vec::new();
    let ended = read_body(&mut reader, &head, &mut body);
    let text = String::from_utf8_lossy(&body);
    let whole = text.matches("\n\n").count() as u32;
    let meant = text.split(" of ").nth(1).and_then(|rest| rest.split('\n').next());
    Ok(Heard {
        status: head.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0),
        sealed: !head.header("x-cicadastream-response-seal").is_empty(),
        events: whole,
        meant: meant.and_then(|meant| meant.parse().ok()).unwrap_or(0),
        complete: ended.is_ok(),
        why: ended.map_or_else(|error| error.to_string(), |()| "ended".into()),
    })
}

fn read_body(
    reader: &mut (impl BufRead + Read),
    head: &http::Message,
    body: &mut Vec<u8>,
) -> std::io::Result<()> {
    if head.header("transfer-encoding") == "chunked" {
        while let Some(chunk) = http::read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Ok(length) = head.header("content-length").parse::<u64>() {
        reader.take(length).read_to_end(body)?;
    } else {
        reader.read_to_end(body)?;
    }
    Ok(())
}
