//! Services and backend servers as a directory would list them, for tests of decisions.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::cold_start::ColdStart;
use cicada_lib::ids::Name;
use cicada_lib::site::EngineSpec;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;

/// A service of engines with so many slots and tokens of memory.
pub fn engine_service(slots: u32, capacity: u64) -> ServiceSpec {
    ServiceSpec {
        health_path: Name::new("/healthz"),
        max_connections: 400,
        engine: Some(EngineSpec {
            slots,
            capacity,
            bytes_per_token: 18_432,
            link_mbps: 2_700.0,
            supports_moves: true,
            keeps_backups: true,
            tokens_per_event: 4,
        }),
        cold: ColdStart::default(),
    }
}

/// A server of the service `llm` that takes work.
pub fn server(id: &str, address: SocketAddr, zone: &str, slots: u32) -> ServerRecord {
    ServerRecord {
        id: Name::new(id),
        service: Name::new("llm"),
        address,
        zone: Name::new(zone),
        slots,
        phase: ServerPhase::Ready,
        cold: Duration::ZERO,
        born: 1,
    }
}
