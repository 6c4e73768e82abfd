//! The operators' client.

use std::process;

use agateyoke::client;

fn main() {
    process::exit(client::run());
}
