
#[test]
fn sizes() {
    use std::rc::Rc;
    crate::runtime::run(async {
        let names = crate::gateway::Names { request: "a".parse().unwrap(), deadline: "b".parse().unwrap(), expected: "c".parse().unwrap(), signature: "d".parse().unwrap(), refused: "e".parse().unwrap(), load: "f".parse().unwrap(), key: "g".parse().unwrap() };
        let gate = crate::gateway::Gate::new(names, "z".into(), &crate::settings::fleet::Retries { ratio: 0.2, window: std::time::Duration::from_secs(10), extra: 50.0 });
        let l = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let s = monoio::net::TcpStream::connect(l.local_addr().unwrap()).await.unwrap();
        let f = super::caller::serve(Rc::clone(&gate), s);
        eprintln!("serve future {}", std::mem::size_of_val(&f));
    });
}
