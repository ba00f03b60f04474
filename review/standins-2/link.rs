//! The link to a replica: passes bytes on, and can be cut. What is sent during a cut is held up and arrives after it, as the
//! kernel's repeated packets do.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;

#[derive(Default)]
pub struct Link {
    cut: Mutex<bool>,
    healed: Condvar,
}

impl Link {
    /// Passes channels from `outer` on to `inner`.
    pub fn open(outer: SocketAddr, inner: SocketAddr) -> io::Result<Arc<Self>> {
        let link = Arc::new(Link::default());
        let listener = TcpListener::bind(outer)?;
        let served = link.clone();
        thread::spawn(move || {
            for outer in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.join(outer, inner));
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap_or_else(|error| error.into_inner()) = cut;
        self.healed.notify_all();
    }

    fn wait(&self) {
        let mut cut = self.cut.lock().unwrap_or_else(|error| error.into_inner());
        while *cut {
            cut = self.healed.wait(cut).unwrap_or_else(|error| error.into_inner());
        }
    }

    fn join(self: Arc<Self>, outer: TcpStream, inner: SocketAddr) -> io::Result<()> {
        self.wait();
        let inner = TcpStream::connect(inner)?;
        inner.set_nodelay(true)?;
        outer.set_nodelay(true)?;
        let (link, from, to) = (self.clone(), outer.try_clone()?, inner.try_clone()?);
        thread::spawn(move || link.pass(from, to));
        self.pass(inner, outer);
        Ok(())
    }

    /// Passes bytes on in one direction, and then how it ended: closed or reset.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            self.wait();
            match read {
                Ok(0) => break drop(to.shutdown(Shutdown::Write)),
                Err(_) => break drop(to.shutdown(Shutdown::Both)),
                Ok(length) => {
                    if to.write_all(&buffer[..length]).is_err() {
                        break drop(from.shutdown(Shutdown::Both));
                    }
                }
            }
        }
    }
}
