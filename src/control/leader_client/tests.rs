use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::{ControlVm, LeaderCallError, LeaderClient};
use crate::rpc::{self, Fault, error};
use crate::runtime;
use crate::timeline::Journal;

/// Starts a VM that answers each call with the name of the leader, or as the leader if there is
/// none; counts the calls.
fn start(vm: &str, hint: Option<&'static str>) -> (ControlVm, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    let handler = move |_: Box<str>, body: Box<serde_json::value::RawValue>| {
        counted.set(counted.get() + 1);
        async move {
            match hint {
                None => Ok(body),
                Some(leader) => Err(Fault {
                    data: Some(leader.into()),
                    ..Fault::new(error::NOT_LEADER, "another VM leads")
                }),
            }
        }
    };
    monoio::spawn(rpc::serve(listener, Journal::new(vm.into()), handler));
    let vm = ControlVm {
        vm: vm.into(),
        address,
    };
    (vm, calls)
}

#[test]
fn no_vm_is_called_twice_for_one_request() {
    runtime::run(async {
        let (a, a_calls) = start("a", Some("b"));
        let (b, b_calls) = start("b", Some("a"));
        let (c, c_calls) = start("c", None);
        let client = LeaderClient::new(&[a, b, c], &Journal::new("x".into()));
        let answer: Result<u64, _> = client.call("m", &7u64, Duration::from_secs(2)).await;
        assert_eq!(answer, Ok(7), "the leader was not called");
        assert_eq!((a_calls.get(), b_calls.get(), c_calls.get()), (1, 1, 1));
    });
}

#[test]
fn a_request_that_no_vm_accepts_is_not_sent() {
    runtime::run(async {
        let (a, a_calls) = start("a", Some("b"));
        let (b, b_calls) = start("b", Some("a"));
        let client = LeaderClient::new(&[a, b], &Journal::new("x".into()));
        let answer: Result<u64, _> = client.call("m", &7u64, Duration::from_secs(2)).await;
        assert_eq!(answer, Err(LeaderCallError::NotSent));
        assert_eq!((a_calls.get(), b_calls.get()), (1, 1));
    });
}
