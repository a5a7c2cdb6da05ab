//! Responses of servers whose status is none that a client can use.
//!
//! Guards against a `101 Switching Protocols` that nobody asked for, or a code outside the
//! range of HTTP, that reaches a client as a response.

use crate::{backend::ServerFault, fixture, get, post};

/// Statuses in the order in which servers send them.
const STATUSES: [&str; 16] = [
    "101 Switching Protocols",
    "000 Nothing",
    "099 Below",
    "600 Above",
    "999 Above",
    "1000 Long",
    "2000 Long",
    "20 Short",
    "00 Short",
    "-200 Negative",
    "2x0 Letters",
    "200.5 Fraction",
    "",
    "100 Continue",
    "103 Early Hints",
    "199 Informational",
];

#[tokio::test]
async fn a_status_that_ends_no_exchange_reaches_no_client() {
    let fixture = fixture().await;
    for (number, status) in STATUSES.into_iter().enumerate() {
        fixture.single.iter().for_each(|server| server.set_fault(ServerFault::Status(status)));
        fixture.shards[2].set_fault(ServerFault::Status(status));
        let response = fixture.node.request(&get("/fetch/", &format!("get-{number}"))).await;
        assert!([502, 503, 504].contains(&response.status.as_u16()), "{status}: {response:?}");
        assert!(!response.headers.contains_key("x-carobstep-server-stamp"), "{status}");
        let response = fixture.node.request(&post("/order/", &format!("post-{number}"))).await;
        // It may have run, so that no refusal promises otherwise.
        assert!([502, 504].contains(&response.status.as_u16()), "{status}: {response:?}");
        let response = fixture.node.request(&get("/search/", &format!("search-{number}"))).await;
        assert_eq!(response.status, 200, "{status}");
        assert_eq!(response.headers["x-carobstep-missing-parts"], "1", "{status}");
        // The connection that it came on is not used again.
        fixture.single.iter().for_each(|server| server.set_fault(ServerFault::None));
        fixture.shards[2].set_fault(ServerFault::None);
        for again in 0..3 {
            let id = format!("after-{number}-{again}");
            let response = fixture.node.request(&get("/fetch/", &id)).await;
            assert_eq!(response.status, 200, "after {status}: {response:?}");
            assert_eq!(response.headers["x-carobstep-request-id"], id.as_str(), "{status}");
        }
    }
}
