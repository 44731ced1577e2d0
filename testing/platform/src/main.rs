//! Stand-in for the platform's object API.

fn main() {}
