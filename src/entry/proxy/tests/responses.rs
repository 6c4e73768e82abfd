use http::StatusCode;

use crate::claim::messages::Outcome;
use crate::entry::proxy::response::ProxyResponse;

#[test]
fn record_with_an_invalid_status_is_no_success() {
    let outcome = |status| Outcome {
        status,
        content_type: None,
        body: "done".into(),
        server: "s".into(),
        fence: 1,
    };
    let status_of = |status| ProxyResponse::replay(outcome(status)).http.status();
    assert_eq!(status_of(201), StatusCode::CREATED);
    assert_eq!(status_of(7), StatusCode::INTERNAL_SERVER_ERROR);
}
