//! Proves that an answer whose end only its connection marked was ended by the server that made it.
//!
//! The kernel closes the connections of a process that dies, and the end may arrive after another process listens at the
//! address. The proof is the incarnation: the one that made the answer was there after its end.

use std::time::Duration;

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::ServerFate;
use cicada_lib::fleet::Fleet;
use cicada_lib::ids::Name;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::upstream;
use crate::upstream::PortState;

/// How long an engine that does not tell its start is asked again. Callers abandon a stream after two seconds.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The pause between two questions.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Timeout for the identifier of a plain server, to which three round trips are added: one that is full may not answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(100);

/// Settles the end of a body that nothing but its connection marked. Only such a body's end waits for it.
pub(crate) async fn confirm_end(
    end: BodyEnd,
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
) -> BodyEnd {
    if end != BodyEnd::Unconfirmed {
        return end;
    }
    let begun = Instant::now();
    let fate = server_fate(relay, call, placed).await;
    tracing::info!(
        id = call.id(),
        server = %placed.record.id,
        born = placed.record.born,
        ?fate,
        waited = begun.elapsed().as_millis() as u64,
        "body: its server was asked, since only its connection marked its end"
    );
    end.confirm(fate)
}

async fn server_fate(relay: &Relay, call: &Call, placed: &PlacedRequest) -> ServerFate {
    let listed = Some(placed.record.born).filter(|born| *born != 0);
    let start = listed.or_else(|| relay.fleet().start(placed.key));
    let Some(start) = start.filter(|_| call.spec.engine.is_some()) else {
        return plain_fate(relay, call, placed).await;
    };
    let begun = Instant::now();
    loop {
        let address = placed.record.address;
        match relay.engines().start(address).await {
            Ok(Some(told)) if told == start => return ServerFate::Alive,
            Ok(Some(_)) => return ServerFate::Gone,
            Ok(None) => return plain_fate(relay, call, placed).await,
            Err(_) => {}
        }
        match upstream::port_state(address, placed.round_trip()).await {
            PortState::Refuses => return ServerFate::Gone,
            PortState::Accepts | PortState::Silent if begun.elapsed() > PROOF_TIMEOUT => {
                return ServerFate::Unknown;
            }
            PortState::Accepts | PortState::Silent => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The same for a server that does not tell its start: its port, its identifier, and what the list of servers says.
async fn plain_fate(relay: &Relay, call: &Call, placed: &PlacedRequest) -> ServerFate {
    let (record, round_trip) = (&placed.record, placed.round_trip());
    if upstream::port_state(record.address, round_trip).await != PortState::Accepts {
        return ServerFate::Gone;
    }
    let id = Fleet::expected_id(record);
    if id != Name::default() {
        let health = relay
            .engines()
            .health(record.address, &call.spec.health_path);
        let answer = timeout(HEALTH_TIMEOUT + round_trip * 3, health).await;
        if let Ok(Ok(health)) = answer
            && health.id != id
        {
            return ServerFate::Gone;
        }
    }
    match relay.fleet().is_replaced(record) {
        true => ServerFate::Gone,
        false => ServerFate::Alive,
    }
}
