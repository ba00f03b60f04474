//! Reading and writing of frames, and the exchange by which two processes prove to each other that
//! they hold the system's key.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::ids::Name;
use crate::wire::Hello;
use crate::wire::HelloAnswer;
use crate::wire::HelloProof;
use crate::wire::MAGIC;
use crate::wire::MAX_HELLO;
use crate::wire::PROOF_LEN;
use crate::wire::PROTOCOL;
use crate::wire::Result;
use crate::wire::WireError;

const LENGTH_BYTES: usize = 4;

/// The key that all processes of the system share.
#[derive(Clone)]
pub struct PeerKey([u8; blake3::KEY_LEN]);

impl PeerKey {
    /// The key made from the content of the key file.
    pub fn new(secret: &[u8]) -> Self {
        PeerKey(blake3::derive_key("cicadastream peer key 1", secret))
    }

    /// A key of its own for one use, so that no proof of one use is worth anything in another.
    pub fn derived(&self, purpose: &str) -> [u8; blake3::KEY_LEN] {
        *blake3::keyed_hash(&self.0, purpose.as_bytes()).as_bytes()
    }

    /// A keyed hash over the parts, in order. Not for secrets of differing length: the parts are of
    /// fixed length or come last.
    pub fn proof(&self, parts: &[&[u8]]) -> [u8; PROOF_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Who a peer said it is, once its proof was right.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The host's name.
    pub name: Name,
    /// Differs at each start of the process; 0 for the side that connected.
    pub incarnation: u64,
}

/// The bytes of a frame, its length in front.
pub fn encode<T: Serialize>(frame: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(frame, bytes)?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Reads a frame of at most `limit` bytes.
pub async fn read<T, R>(reader: &mut R, limit: usize) -> Result<T>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut length = [0; LENGTH_BYTES];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > limit {
        return Err(WireError::TooLarge(length));
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Reads a frame of at most `limit` bytes, and fails if the peer sends no byte for `silent`.
///
/// The time counts between bytes, not for the frame: a large frame over a slow link is no silence.
pub async fn read_within<T, R>(reader: &mut R, limit: usize, silent: Duration) -> Result<T>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut length = [0; LENGTH_BYTES];
    fill(reader, &mut length, silent).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > limit {
        return Err(WireError::TooLarge(length));
    }
    let mut bytes = vec![0; length];
    fill(reader, &mut bytes, silent).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn fill<R>(reader: &mut R, bytes: &mut [u8], silent: Duration) -> Result<()>
where
    R: AsyncRead + Unpin,
{
    let mut filled = 0;
    while filled < bytes.len() {
        let read = tokio::time::timeout(silent, reader.read(&mut bytes[filled..]));
        match read.await.map_err(|_| WireError::Slow)?? {
            0 => return Err(WireError::Io(std::io::ErrorKind::UnexpectedEof.into())),
            count => filled += count,
        }
    }
    Ok(())
}

/// Writes a frame.
pub async fn write<T, W>(writer: &mut W, frame: &T) -> Result<()>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    writer.write_all(&encode(frame)?).await?;
    Ok(())
}

/// The connecting side of the exchange.
pub async fn connect<S>(stream: &mut S, key: &PeerKey, name: &Name) -> Result<Peer>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = Hello {
        magic: MAGIC,
        protocol: PROTOCOL,
        name: name.clone(),
        nonce: nonce()?,
    };
    write(stream, &hello).await?;
    let answer: HelloAnswer = read(stream, MAX_HELLO).await?;
    if answer.protocol != PROTOCOL {
        return Err(WireError::Protocol(answer.protocol));
    }
    let incarnation = answer.incarnation.to_le_bytes();
    let expected = key.proof(&[b"answer", &hello.nonce, &answer.nonce, &incarnation]);
    check(&expected, &answer.proof)?;
    let proof = key.proof(&[
        b"connect",
        &answer.nonce,
        &hello.nonce,
        name.as_str().as_bytes(),
    ]);
    write(stream, &HelloProof { proof }).await?;
    Ok(Peer {
        name: answer.name,
        incarnation: answer.incarnation,
    })
}

/// The accepting side of the exchange.
pub async fn accept<S>(stream: &mut S, key: &PeerKey, name: &Name, incarnation: u64) -> Result<Peer>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello: Hello = read(stream, MAX_HELLO).await?;
    if hello.magic != MAGIC {
        return Err(WireError::Foreign);
    }
    let mine = nonce()?;
    let bytes = incarnation.to_le_bytes();
    let answer = HelloAnswer {
        protocol: PROTOCOL,
        name: name.clone(),
        incarnation,
        nonce: mine,
        proof: key.proof(&[b"answer", &hello.nonce, &mine, &bytes]),
    };
    write(stream, &answer).await?;
    if hello.protocol != PROTOCOL {
        return Err(WireError::Protocol(hello.protocol));
    }
    let proof: HelloProof = read(stream, MAX_HELLO).await?;
    let peer = hello.name.as_str().as_bytes();
    let expected = key.proof(&[b"connect", &mine, &hello.nonce, peer]);
    check(&expected, &proof.proof)?;
    Ok(Peer {
        name: hello.name,
        incarnation: 0,
    })
}

fn check(expected: &[u8; PROOF_LEN], given: &[u8; PROOF_LEN]) -> Result<()> {
    if bool::from(expected.ct_eq(given)) {
        Ok(())
    } else {
        Err(WireError::Proof)
    }
}

/// A number that no earlier exchange used. From the operating system: a nonce that can be guessed
/// would let an old proof be sent again.
fn nonce() -> Result<[u8; PROOF_LEN]> {
    let mut bytes = [0; PROOF_LEN];
    getrandom::fill(&mut bytes)
        .map_err(|err| WireError::Io(std::io::Error::other(err.to_string())))?;
    Ok(bytes)
}
