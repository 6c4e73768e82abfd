mod backend;
mod budget;
mod choose;
mod head;
mod known;
mod relay;
mod requests;
mod standin;

use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;

use super::Gate;
use super::head::Names;
use crate::settings::fleet::Retries;

/// Headers under names of their own, as any adapter may choose them.
fn names() -> Names {
    Names {
        request: HeaderName::from_static("x-request"),
        deadline: HeaderName::from_static("x-deadline"),
        expected: HeaderName::from_static("x-expected"),
        signature: HeaderName::from_static("x-signature"),
        refused: HeaderName::from_static("x-refused"),
        load: HeaderName::from_static("x-load"),
        key: HeaderName::from_static("x-key"),
    }
}

fn retries() -> Retries {
    Retries {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 50.0,
    }
}

fn gate() -> Rc<Gate> {
    Gate::new(names(), "near".into(), &retries())
}
