//! What a backend server states about itself in an answer, and whose statement it is.
//!
//! Failure: a server's address is taken over by another server, answers arrive late on a connection, and faulty
//! servers send bytes that are no answer of theirs. A statement that is attributed to the wrong server takes a
//! healthy one out of use.

use std::time::Duration;

use crate::ids::Name;
use crate::server_limit::RequestRate;
use crate::server_load::ServerLoad;
use crate::value_type;

value_type! {
    /// What a backend server states about itself in the head of an answer, whatever became of the request.
    #[derive(Default)]
    pub struct ServerStatement {
        /// Its load.
        pub load: Option<ServerLoad>,
        /// The limit on the rate of requests from all entries together.
        pub limit: Option<RequestRate>,
        /// Whether it is leaving. It takes no new work from then on.
        pub leaving: bool,
        /// How long it wants no requests from this entry, if it turned the request away and asks for rest.
        pub rest: Option<Duration>,
    }

    /// The server that made the statements of an answer.
    pub enum Speaker {
        /// The server that the request was sent to.
        Expected,
        /// Another server, with this identifier, that has taken over the address.
        Other(Name),
        /// Unknown: the answer belongs to another request, or no server vouches for it.
        Unknown,
    }
}
