//! Spans of a real gateway, as a collector gets them.

mod common;

use std::time::Duration;

use common::{Gateway, World, read, run, server};

const PACE: Duration = Duration::from_millis(2);

#[test]
fn each_hop_has_a_span_and_a_parent() {
    run(async {
        let world = World::start(1, 5, PACE).await;
        // Any server that takes what is posted to it.
        let collector = server("collector", 1, PACE).await;
        let mut gateway = Gateway::traced("front-1", &world.store, collector.address);
        gateway.ready().await;
        let client = gateway.client();
        let answer = client.request("r1", "/plain/x", "text").await;
        assert_eq!(answer.expect("an answer").status, 200);
        client.submit("b1", &["i0"], 1).await.expect("an answer");
        read(&client, "b1", 1).await;
        gateway.signal("TERM");
        assert!(gateway.ended().await);
        let bodies: Vec<String> = collector
            .arrivals()
            .iter()
            .map(|arrival| String::from_utf8_lossy(&arrival.body).into_owned())
            .collect();
        let spans = bodies.concat();
        for text in [
            "\"request\"",
            "\"send\"",
            "\"run\"",
            "app-0",
            "engine-0",
            "i0",
        ] {
            assert!(spans.contains(text), "{text} is missing in {spans}");
        }
        let sent = world.app.arrivals();
        assert!(sent[0].traceparent.is_some());
    });
}
