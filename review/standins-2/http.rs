//! Just enough of HTTP/1.1 for stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// A request, or the head of an answer, with its first line in words.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |target| target.split('?').next().unwrap_or(""))
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads a head; `None` if the channel ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(invalid("the channel ended inside a head")),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.split(' ').map(str::to_string).collect();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_string());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("the channel ended before the last chunk"));
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no size of a chunk"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    if request.header("transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)? {
            request.body.extend(chunk);
        }
    } else if let Ok(length) = request.header("content-length").parse() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// A whole answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Serves requests, each channel on a thread of its own, until the process ends. The handler writes the answer and returns
/// whether the channel stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_channel(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_channel(
    mut stream: TcpStream,
    handle: &impl Fn(&Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handle(&request, &mut stream)? {
            break;
        }
    }
    Ok(())
}
