//! cicada.

fn main() {}
