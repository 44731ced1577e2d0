//! Process beside each backend server.

fn main() {}
