//! How the body of a backend server's answer is delimited, and how it ended.

use std::fmt;

use http::HeaderMap;
use http::header;

use crate::copy_type;

copy_type! {
    /// What marks the end of an answer's body.
    pub enum Framing {
        /// Its length, which the head states or which is zero by definition.
        Length,
        /// The last of its chunks.
        Chunks,
        /// The end of the connection, which looks the same whether the server closed it or died.
        Close,
    }
}

impl Framing {
    /// The framing of a body by the headers of its answer, and its exact length if the reader knows it from the head.
    pub fn of(headers: &HeaderMap, exact_length: Option<u64>) -> Self {
        if exact_length.is_some() {
            return Framing::Length;
        }
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back();
        let last = last.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
        match last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            true => Framing::Chunks,
            false => Framing::Close,
        }
    }

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
