//! Tests that send requests through a proxy to fake owners, with a real store of
//! claim records.

mod claims;
mod fixture;
mod notices;
mod requests;
mod responses;
mod retries;
