//! Entry program.
fn main() {}
