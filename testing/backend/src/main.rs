//! Stand-in for a backend server.

fn main() {}
