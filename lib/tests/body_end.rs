//! Tests of how bodies are delimited.

use cicada_lib::body_end::Framing;
use http::HeaderMap;
use http::HeaderValue;
use http::header::TRANSFER_ENCODING;

fn framing(codings: &[&'static str], length: Option<u64>) -> Framing {
    let mut headers = HeaderMap::new();
    for coding in codings {
        headers.append(TRANSFER_ENCODING, HeaderValue::from_static(coding));
    }
    Framing::of(&headers, length)
}

#[test]
fn a_body_without_length_and_chunks_ends_with_its_connection() {
    assert_eq!(framing(&[], Some(0)), Framing::Length);
    assert_eq!(framing(&["chunked"], None), Framing::Chunks);
    assert_eq!(framing(&["gzip, Chunked "], None), Framing::Chunks);
    assert_eq!(framing(&["gzip", "chunked"], None), Framing::Chunks);
    assert_eq!(framing(&[], None), Framing::Close);
    assert_eq!(framing(&["chunked, gzip"], None), Framing::Close);
}
