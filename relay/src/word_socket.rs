//! The datagrams of relays and scouts, out of one socket.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use cicada_lib::peer_words;
use cicada_lib::peer_words::Datagram;
use tokio::net::UdpSocket;

/// A socket for words. All processes of a deployment have theirs at the same port.
#[derive(Debug)]
pub(crate) struct WordSocket {
    socket: UdpSocket,
    port: u16,
}

impl WordSocket {
    /// A socket at `address`.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(WordSocket {
            socket: UdpSocket::bind(address).await?,
            port: address.port(),
        })
    }

    /// Where the process on a host takes words.
    pub(crate) fn on(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.port)
    }

    /// Where the processes on the hosts of engines take words.
    pub(crate) fn on_hosts<'a>(
        &self,
        engines: impl IntoIterator<Item = &'a SocketAddr>,
    ) -> Vec<SocketAddr> {
        engines
            .into_iter()
            .map(|engine| self.on(engine.ip()))
            .collect()
    }

    /// The next datagram: its length in the buffer, and its sender. `None` where it was lost.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await.ok()
    }

    /// Sends a word to each of them.
    pub(crate) async fn send(&self, word: &Datagram, to: &[SocketAddr]) {
        let bytes = match peer_words::encode(word) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(%error, "words: a word could not be written");
                return;
            }
        };
        for to in to {
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                tracing::debug!(%to, %error, "words: a datagram could not be sent");
            }
        }
    }
}
