//! Responses that break off: none of them may reach a caller as a success.

use http::StatusCode;
use strum::IntoEnumIterator;

use super::{
    Fixture,
    backend::{CutPlace, ServerFault, StandinServer, header_value},
    fixture, get,
    node::{GatewayNode, eventually},
    post,
};

/// Number of requests that open a connection to each server, or reuse it.
const WARM_REQUESTS: usize = 6;

/// Lets the servers answer some requests, so that the node keeps connections to them.
async fn warm_up(fixture: &Fixture, label: &str) {
    for number in 0..WARM_REQUESTS {
        let id = format!("warm-{label}-{number}");
        let response = fixture.node.request(&get("/fetch/", &id)).await;
        assert_eq!(response.status, 200, "{label}");
    }
}

fn runs(fixture: &Fixture, id: &str) -> usize {
    let heads = fixture.single.iter().flat_map(StandinServer::executed);
    heads.filter(|head| header_value(head, "x-carobstep-request-id").as_deref() == Some(id)).count()
}

/// Guards against an order that is answered with success, or executed twice, when its server
/// closes the connection within the response; on kept connections and on new ones.
#[tokio::test]
async fn an_order_whose_response_breaks_off_is_no_success_and_runs_once() {
    let fixture = fixture().await;
    for place in CutPlace::iter() {
        for is_warm in [true, false] {
            let id = format!("order-{place:?}-{is_warm}");
            if is_warm {
                warm_up(&fixture, &id).await;
            }
            for server in &fixture.single {
                server.set_fault(ServerFault::Cut(place));
            }
            let response = fixture.node.request(&post("/order/", &id)).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{id}");
            assert_eq!(runs(&fixture, &id), 1, "{id}");
            for server in &fixture.single {
                server.set_fault(ServerFault::None);
            }
        }
    }
}

/// Guards against a read that gets an empty or short body with success: one of two servers
/// breaks off, or both do.
#[tokio::test]
async fn a_read_whose_response_breaks_off_is_whole_or_no_success() {
    let fixture = fixture().await;
    for place in CutPlace::iter() {
        for broken in [&fixture.single[..1], &fixture.single[..]] {
            warm_up(&fixture, &format!("{place:?}")).await;
            for server in broken {
                server.set_fault(ServerFault::Cut(place));
            }
            for number in 0..4 {
                let id = format!("read-{place:?}-{}-{number}", broken.len());
                let response = fixture.node.request(&get("/fetch/", &id)).await;
                if response.status == 200 {
                    assert_eq!(response.body.len(), 16, "{id}");
                    assert_eq!(response.headers["x-carobstep-request-id"], id.as_str());
                    assert_eq!(broken.len(), 1, "{id}: no server sends a whole response");
                } else {
                    assert!(response.status.is_server_error(), "{id}: {}", response.status);
                }
            }
            for server in &fixture.single {
                server.set_fault(ServerFault::None);
            }
        }
    }
}

/// Guards against parts of a search that broke off, whether this node called the server or
/// another one that it had delegated the shards to.
#[tokio::test]
async fn a_search_lacks_the_part_that_broke_off_here_and_at_a_delegate() {
    let fixture = fixture().await;
    let delegator = GatewayNode::start("front-b-1", "b", fixture.store.address);
    delegator.wait_ready().await;
    eventually("the nodes know each other", async || {
        delegator.metric("carobstep_nodes").await == 2.0
    })
    .await;
    for place in CutPlace::iter() {
        for node in [&fixture.node, &delegator] {
            fixture.shards[2].set_fault(ServerFault::None);
            let response = node.request(&get("/search/", "warm")).await;
            assert_eq!(response.headers["x-carobstep-missing-parts"], "0", "{place:?}");
            fixture.shards[2].set_fault(ServerFault::Cut(place));
            let response = node.request(&get("/search/", &format!("id-{place:?}"))).await;
            assert_eq!(response.status, 200, "{place:?}");
            assert_eq!(response.headers["x-carobstep-missing-parts"], "1", "{place:?}");
            assert_eq!(&response.body[..], [[b'b'; 16], [b'a'; 16]].concat(), "{place:?}");
        }
    }
    let delegated = "carobstep_delegations_total{end=\"answered\"}";
    assert!(delegator.metric(delegated).await >= 1.0, "no search was delegated");
}
