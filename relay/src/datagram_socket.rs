//! The socket through which relays and scouts exchange datagrams.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use tokio::net::UdpSocket;

use crate::relay_metrics::RelayMetrics;

/// A UDP socket for encoded datagrams. All processes of a deployment use the same port.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    socket: UdpSocket,
    port: u16,
    // Where sent datagrams are counted, if at all.
    metrics: Option<RelayMetrics>,
}

impl DatagramSocket {
    /// Binds a socket to `address`.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(DatagramSocket {
            socket: UdpSocket::bind(address).await?,
            port: address.port(),
            metrics: None,
        })
    }

    /// The same socket, with the datagrams that it sends counted.
    pub(crate) fn with_metrics(self, metrics: RelayMetrics) -> Self {
        DatagramSocket {
            metrics: Some(metrics),
            ..self
        }
    }

    /// The datagram address of the process on a host.
    pub(crate) fn address_on(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.port)
    }

    /// The datagram addresses of the processes on the engines' hosts.
    pub(crate) fn addresses_of<'a>(
        &self,
        engines: impl IntoIterator<Item = &'a SocketAddr>,
    ) -> Vec<SocketAddr> {
        engines
            .into_iter()
            .map(|engine| self.address_on(engine.ip()))
            .collect()
    }

    /// Receives a datagram into the buffer and returns its length and sender; `None` if receiving failed.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await.ok()
    }

    /// Sends a datagram to each of the addresses, and returns the bytes that this takes.
    pub(crate) async fn send(&self, datagram: &Datagram, recipients: &[SocketAddr]) -> usize {
        let bytes = match peer_messages::encode(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(%error, "peers: cannot encode a datagram");
                return 0;
            }
        };
        if let Some(metrics) = &self.metrics {
            metrics.count_datagrams(datagram.kind(), recipients.len(), bytes.len());
        }
        for to in recipients {
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                tracing::debug!(%to, %error, "peers: cannot send a datagram");
            }
        }
        bytes.len() * recipients.len()
    }
}
