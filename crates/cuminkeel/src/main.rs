//! The `cuminkeel` program.

fn main() {}
