use http::StatusCode;

use crate::claim::messages::Outcome;
use crate::entry::proxy::answer::Answer;

#[test]
fn a_record_whose_status_is_none_is_no_success() {
    let outcome = |status| Outcome {
        status,
        content_type: None,
        body: "done".into(),
        server: "s".into(),
        fence: 1,
    };
    let told = |status| Answer::replay(outcome(status)).response.status();
    assert_eq!(told(201), StatusCode::CREATED);
    assert_eq!(told(7), StatusCode::INTERNAL_SERVER_ERROR);
}
