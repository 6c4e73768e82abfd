//! Requests through a proxy to fake owners, with real claim records.

mod answers;
mod claims;
mod fixture;
mod requests;
mod retries;
