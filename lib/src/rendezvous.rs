//! Hash functions for rendezvous hashing. They are the same in every process, so that all processes
//! compute the same result without communication.

use std::net::SocketAddr;

use crate::ids::Name;

/// Hashes a name.
pub(crate) fn hash_name(name: &Name) -> u64 {
    hash_bytes(name.as_str().as_bytes())
}

/// Hashes an address.
pub(crate) fn hash_address(address: SocketAddr) -> u64 {
    hash_bytes(address.to_string().as_bytes())
}

/// Mixes the bits of a hash with the finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn hash_bytes(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let head: [u8; 8] = digest.as_bytes()[..8].try_into().unwrap_or_default();
    u64::from_le_bytes(head)
}
