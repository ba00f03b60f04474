//! A small server that answers as an entry would, with one fault at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use cicada_load::answer::prompt_digest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What the server does wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// Each stream breaks once, after its third token.
    Drop,
    /// Each stream breaks once, and goes on from another generation.
    Splice,
    /// The third token comes twice.
    Double,
    /// The third token is missing.
    Lose,
    /// The tokens answer another prompt.
    Cross,
    /// The stream ends as whole after its third token.
    Short,
    /// Each caller is refused once.
    RefuseOnce,
    /// Everyone is refused, always, though the first is told a time.
    RefuseAlways,
    /// Calls take effect, the answer is lost, and a resend takes effect again.
    BookTwice,
    /// Calls take effect and are answered as not run.
    BookAndDeny,
}

#[derive(Debug, Default)]
struct State {
    seen: Vec<String>,
    effects: Vec<String>,
}

/// A running server.
#[derive(Clone)]
pub(crate) struct Fake {
    /// Where it listens.
    pub(crate) addr: SocketAddr,
    fault: Fault,
    state: Arc<Mutex<State>>,
}

struct Call {
    method: String,
    path: String,
    head: String,
    body: String,
}

impl Call {
    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

impl Fake {
    /// Starts a server on the current runtime.
    pub(crate) async fn start(fault: Fault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Fake {
            addr: listener.local_addr().unwrap(),
            fault,
            state: Arc::default(),
        };
        let server = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        fake
    }

    async fn serve(&self, mut stream: TcpStream) {
        if let Some(call) = read(&mut stream).await {
            let answer = self.answer(&call);
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    }

    fn answer(&self, call: &Call) -> String {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/completions") => self.generate(call),
            ("GET", "/record") => {
                let state = self.state.lock().unwrap();
                let effects: Vec<Value> = state.effects.iter().map(|k| json!({"key": k})).collect();
                good(&Value::from(effects).to_string())
            }
            ("POST", _) => self.book(call),
            _ => good("free"),
        }
    }

    /// Whether this is the first time that `key` comes.
    fn is_first(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let first = !state.seen.iter().any(|k| k == key);
        state.seen.push(key.to_string());
        first
    }

    fn generate(&self, call: &Call) -> String {
        assert_eq!(call.header("authorization"), Some("Bearer secret"));
        let body: Value = serde_json::from_str(&call.body).unwrap();
        let prompt = body["prompt"].as_str().unwrap();
        let first = self.is_first(prompt);
        match self.fault {
            Fault::RefuseOnce if first => return refusal(Some(0)),
            Fault::RefuseAlways => return refusal(Some(0)),
            _ => {}
        }
        let tokens = prompt.split_once("len=").unwrap().1;
        let tokens: u32 = tokens.split(' ').next().unwrap().parse().unwrap();
        let from = call
            .header("last-event-id")
            .map_or(0, |id| id.parse::<u32>().unwrap() + 1);
        stream(self.fault, prompt, from, tokens, first)
    }

    fn book(&self, call: &Call) -> String {
        let key = call.header("idempotency-key").unwrap();
        let first = self.is_first(key);
        if first || self.fault == Fault::BookTwice {
            self.state.lock().unwrap().effects.push(key.to_string());
        }
        match self.fault {
            Fault::BookTwice if first => String::new(),
            Fault::BookAndDeny => refusal(None),
            _ => good("booked"),
        }
    }
}

fn stream(fault: Fault, prompt: &str, from: u32, tokens: u32, first: bool) -> String {
    let mut text = head("200 OK", "content-type: text/event-stream\r\n");
    let digest = match fault {
        Fault::Cross => 0x1234 ^ prompt_digest(prompt),
        _ => prompt_digest(prompt),
    };
    let generation = if fault == Fault::Splice && !first {
        2
    } else {
        1
    };
    for index in from..tokens {
        if index == 3 && first && matches!(fault, Fault::Drop | Fault::Splice) {
            return text;
        }
        if index == 3 && fault == Fault::Short {
            break;
        }
        if index == 2 && fault == Fault::Lose {
            continue;
        }
        let times = if index == 2 && fault == Fault::Double {
            2
        } else {
            1
        };
        for _ in 0..times {
            let token = format!("{generation:04x}:{digest:04x}:{index} ");
            let data = json!({"choices": [{"text": token}]});
            text.push_str(&format!("id: {index}\ndata: {data}\n\n"));
        }
    }
    let usage = json!({"choices": [], "usage": {"completion_tokens": tokens, "preemptions": 1}});
    text.push_str(&format!("data: {usage}\n\ndata: [DONE]\n\n"));
    text
}

fn refusal(after: Option<u32>) -> String {
    let after = after.map_or(String::new(), |s| format!("retry-after: {s}\r\n"));
    let error = json!({"error": {"code": "queue_full", "message": "later", "ran": "no"}});
    head("503 Service Unavailable", &after) + &error.to_string()
}

fn good(body: &str) -> String {
    head("200 OK", "") + body
}

fn head(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\nconnection: close\r\n{headers}\r\n")
}

async fn read(stream: &mut TcpStream) -> Option<Call> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4096];
        let count = stream.read(&mut part).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes).to_string();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut words = head.split(' ');
        let call = Call {
            method: words.next()?.to_string(),
            path: words.next()?.to_string(),
            head: head.to_string(),
            body: body.to_string(),
        };
        let length = call
            .header("content-length")
            .map_or(0, |l| l.parse().unwrap());
        if body.len() >= length {
            return Some(call);
        }
    }
}
