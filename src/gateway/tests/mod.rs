mod backend;
mod budget;
mod capacity;
mod connections;
mod copies;
mod copy_model;
mod endless;
mod evacuation;
mod fairness;
mod head;
mod head_requests;
mod hedging;
mod invalid_status;
mod load_model;
mod load_replay;
mod mock;
mod notices;
mod peers;
mod relay;
mod requests;
mod routing;
mod seats;
mod selection;
mod waiting;
mod warmup;

use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;

use super::Gateway;
use super::head::HeaderNames;
use crate::settings::fleet::Retries;

/// Header names that differ from every adapter's.
fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-request"),
        deadline: HeaderName::from_static("x-deadline"),
        expected_server: HeaderName::from_static("x-expected"),
        server_signature: HeaderName::from_static("x-signature"),
        not_executed: HeaderName::from_static("x-refused"),
        server_leaving: HeaderName::from_static("x-leaving"),
        server_load: HeaderName::from_static("x-load"),
        shard_key: HeaderName::from_static("x-key"),
    }
}

fn retries() -> Retries {
    Retries {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 50.0,
    }
}

fn gateway() -> Rc<Gateway> {
    Gateway::new(header_names(), "near".into(), &retries())
}
