//! Tests of the spans that a gateway process sends to a collector.

mod common;

use std::time::Duration;

use common::{Gateway, World, read_results, run, start_server};

/// The time between two events of a streamed response.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

#[test]
fn each_hop_has_a_span_and_a_parent() {
    run(async {
        let world = World::start(1, 5, EVENT_INTERVAL).await;
        // Any server that accepts what is posted to it will do.
        let collector = start_server("collector", 1, EVENT_INTERVAL).await;
        let mut gateway = Gateway::with_collector("front-1", &world.store, collector.address);
        gateway.wait_until_ready().await;
        let client = gateway.client();
        let response = client.request("r1", "/plain/x", "text").await;
        assert_eq!(response.expect("a response").status, 200);
        client.submit("b1", &["i0"], 1).await.expect("a response");
        read_results(&client, "b1", 1).await;
        gateway.signal("TERM");
        assert!(gateway.wait_for_exit().await);
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
        let requests = world.app.arrivals();
        assert!(requests[0].traceparent.is_some());
    });
}
