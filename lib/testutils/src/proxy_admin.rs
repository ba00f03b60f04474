//! Changes the faults of proxies over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Reply;
use crate::proxy::FaultProxy;
use crate::proxy::LinkFaults;

/// A link as the list of links shows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinkStatus {
    /// Where the proxy listens.
    pub listen: SocketAddr,
    /// Where it connects to.
    pub target: SocketAddr,
    /// The faults in force.
    pub faults: LinkFaults,
    /// Open connections.
    pub open: usize,
}

struct Links(Vec<Arc<FaultProxy>>);

/// A running admin port for some proxies, which are numbered from 0.
pub struct ProxyAdmin {
    server: Arc<HttpServer>,
}

impl ProxyAdmin {
    /// Starts an admin port on the current runtime.
    pub fn start(listen: SocketAddr, links: Vec<Arc<FaultProxy>>) -> io::Result<Self> {
        Ok(ProxyAdmin {
            server: HttpServer::start(listen, Arc::new(Links(links)))?,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

impl Handler for Links {
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let path = call.path();
            let path: Vec<_> = path.iter().map(String::as_str).collect();
            let method = call.head.method.as_str();
            let (number, rest) = match (method, path.as_slice()) {
                ("GET", ["links"]) => return self.list(),
                (_, ["links", number, rest @ ..]) => (number, rest),
                _ => return unknown(),
            };
            let link = number.parse().ok().and_then(|at: usize| self.0.get(at));
            match (method, link, rest) {
                ("PUT", Some(link), ["faults"]) => return set(link, &call).await,
                ("POST", Some(link), ["silence"]) => link.silence(),
                ("POST", Some(link), ["cut"]) => link.cut().await,
                _ => return unknown(),
            }
            Reply::text(StatusCode::OK, "")
        }
        .boxed()
    }
}

impl Links {
    fn list(&self) -> Reply {
        let links: Vec<_> = self.0.iter().map(|link| status(link)).collect();
        Reply::json(&links)
    }
}

fn status(link: &FaultProxy) -> LinkStatus {
    LinkStatus {
        listen: link.addr(),
        target: link.target(),
        faults: link.faults(),
        open: link.open(),
    }
}

async fn set(link: &FaultProxy, call: &Call) -> Reply {
    let faults = match serde_json::from_slice(&call.body) {
        Ok(faults) => faults,
        Err(error) => return Reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match link.set(faults).await {
        Ok(()) => Reply::text(StatusCode::OK, ""),
        Err(error) => Reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn unknown() -> Reply {
    Reply::text(StatusCode::NOT_FOUND, "no such link or action")
}
