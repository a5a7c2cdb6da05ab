//! Planned stops: what becomes of requests that come late in the grace period.

use std::time::{Duration, Instant};

use carobstep_bench::{BenchError, HttpAnswer, HttpCall, HttpClient};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::sleep,
};

use super::{
    Fixture,
    backend::{HUGE_BODY_BYTES, ServerFault, StandinServer, WORK_SLOTS},
    configuration, fixture,
};

/// Deadline of the orders, and timeout of their route.
const ORDER_TIMEOUT_MS: u64 = 8_000;

/// Time within which an order that can't be executed any more is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Fixture whose orders take as long as their paths say and time out late.
async fn order_fixture() -> Fixture {
    let fixture = fixture().await;
    let mut later: Value = configuration(2);
    later["routes"][2]["timeout_ms"] = json!(ORDER_TIMEOUT_MS);
    later["routes"][2]["goal_ms"] = json!(ORDER_TIMEOUT_MS);
    fixture.store.put("config", "main", later);
    super::eventually("the configuration is in force", async || {
        fixture.node.metric("carobstep_configuration_version").await == 2.0
    })
    .await;
    for server in &fixture.single {
        server.set_fault(ServerFault::WorkInPath);
    }
    fixture
}

fn order(id: &str, work_ms: u64) -> HttpCall {
    let call = HttpCall::post(&format!("/order/work-{work_ms}"), &json!({ "order": 1 }));
    let call = call.header("x-carobstep-request-id", id);
    call.header("x-carobstep-deadline-ms", ORDER_TIMEOUT_MS.to_string())
}

/// What a caller observed of an order on a kept connection.
struct OrderResult {
    id: String,
    result: Result<HttpAnswer, BenchError>,
    took: Duration,
}

/// Opens one connection for each of `orders` with a short order, and sends the order on it
/// `delay` after that one was answered.
async fn send_on_kept_connections(
    fixture: &Fixture,
    orders: Vec<(String, u64)>,
    delay: Duration,
) -> JoinSet<OrderResult> {
    let mut sent = JoinSet::new();
    let callers = fixture.node.callers;
    for (id, work_ms) in orders {
        let client = HttpClient::default();
        let first = client.send(callers, &order(&format!("{id}-first"), 1)).await;
        assert_eq!(first.expect("a response").status, 200);
        sent.spawn(async move {
            sleep(delay).await;
            let start = Instant::now();
            let result = client.send(callers, &order(&id, work_ms)).await;
            OrderResult { id, result, took: start.elapsed() }
        });
    }
    sent
}

fn has_run(fixture: &Fixture, id: &str) -> bool {
    let field = format!("x-carobstep-request-id: {id}\r\n");
    fixture.single.iter().flat_map(StandinServer::executed).any(|head| head.contains(&field))
}

/// Checks that an order was executed and answered, or refused at once and not executed;
/// returns whether it was executed.
fn check_order(fixture: &Fixture, order: &OrderResult) -> bool {
    let OrderResult { id, result, took } = order;
    let answer = result.as_ref().unwrap_or_else(|error| panic!("{id} was cut: {error}"));
    if answer.status == 200 {
        return true;
    }
    assert_eq!(answer.status, 503, "{id} after {took:?}");
    assert!(!has_run(fixture, id), "{id} was refused and executed");
    assert!(answer.headers.contains_key("retry-after"), "{id}");
    assert_eq!(answer.headers["connection"], "close", "{id}");
    false
}

/// Guards against orders that a stopping node passes on although the servers still work on
/// them when the process exits.
#[tokio::test]
async fn an_order_that_outlasts_the_grace_period_is_refused_and_not_run() {
    let fixture = order_fixture().await;
    let mut sent = JoinSet::new();
    for delay_ms in [1_000, 2_000] {
        let orders = vec![(format!("late-{delay_ms}-"), 5_000)];
        let delay = Duration::from_millis(delay_ms);
        let mut results = send_on_kept_connections(&fixture, orders, delay).await;
        sent.spawn(async move { results.join_next().await.expect("a result").expect("a task") });
    }
    fixture.node.signal("TERM");
    for order in sent.join_all().await {
        assert!(!check_order(&fixture, &order), "{} took {:?}", order.id, order.took);
        assert!(order.took < REFUSAL_TIME, "{} was refused after {:?}", order.id, order.took);
    }
}

/// Guards against orders that wait for a slot while the node stops, are passed on late and
/// cut by the exit.
#[tokio::test]
async fn orders_that_wait_for_a_slot_of_a_stopping_node_are_not_cut() {
    let mut fixture = order_fixture().await;
    let slots = 2 * WORK_SLOTS;
    let orders = |name: &str, count: usize| {
        let work_ms = |number| if number % 2 == 0 { 500 } else { 2_500 };
        (0..count).map(|number| (format!("{name}-{number}-"), work_ms(number))).collect()
    };
    // The node learns how long orders take.
    let early =
        send_on_kept_connections(&fixture, orders("early", 3 * slots), Duration::ZERO).await;
    assert!(early.join_all().await.iter().all(|order| order.result.is_ok()));
    let late = send_on_kept_connections(&fixture, orders("late", 36), Duration::from_secs(2)).await;
    fixture.node.signal("TERM");
    let late = late.join_all().await;
    let executed = late.iter().filter(|order| check_order(&fixture, order)).count();
    assert!(executed > 0, "a stopping node still executes what can end in time");
    assert!(fixture.node.wait_exit().await.success());
    assert!(fixture.node.log().iter().any(|line| line["message"] == "stopped"));
}

/// Guards against orders in flight whose connections are closed at the exit: their callers
/// are told that the outcome is unknown.
#[tokio::test]
async fn an_order_in_flight_at_the_exit_is_answered() {
    let mut fixture = order_fixture().await;
    let orders = vec![("early-".to_owned(), 7_500)];
    let sent = send_on_kept_connections(&fixture, orders, Duration::ZERO).await;
    super::eventually("the order is executed", async || has_run(&fixture, "early-")).await;
    fixture.node.signal("TERM");
    let order = sent.join_all().await.pop().expect("an order");
    assert_eq!(order.result.expect("an answer").status, 504);
    assert!(fixture.node.wait_exit().await.success());
}

/// Guards against a response that a slow caller has not read completely when the process
/// exits, although the grace period isn't over.
#[tokio::test]
async fn a_stopping_node_sends_its_last_response_to_the_end() {
    let fixture = fixture().await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Huge);
    }
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(64 * 1024).expect("a small buffer");
    let mut socket = socket.connect(fixture.node.callers).await.expect("a connection");
    fixture.node.signal("TERM");
    sleep(Duration::from_millis(2_700)).await;
    let head = "GET /fetch/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-carobstep-request-id: id-1\r\n\r\n";
    socket.write_all(head.as_bytes()).await.expect("a request");
    // The listener closes meanwhile, and no request is in progress any more.
    sleep(Duration::from_millis(1_000)).await;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await.expect("the rest of the response");
    let received = response.len();
    assert!(received > HUGE_BODY_BYTES, "{received} bytes of more than {HUGE_BODY_BYTES}");
}

/// Guards against an order that was sent ahead, behind the last request of a connection, and
/// that is executed without a response.
#[tokio::test]
async fn an_order_behind_the_last_response_of_a_connection_is_not_executed() {
    let fixture = order_fixture().await;
    let message = |id: &str, work_ms: u64| {
        format!(
            "POST /order/work-{work_ms} HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: 2\r\n\
             x-carobstep-request-id: {id}\r\nx-carobstep-deadline-ms: 2000\r\n\r\n{{}}"
        )
    };
    let mut socket = TcpStream::connect(fixture.node.callers).await.expect("a connection");
    let ahead = message("first-", 300) + &message("second-", 300);
    fixture.node.signal("TERM");
    super::eventually("the node is not ready", async || !fixture.node.is_ready().await).await;
    socket.write_all(ahead.as_bytes()).await.expect("two requests");
    let mut responses = Vec::new();
    socket.read_to_end(&mut responses).await.expect("the responses and a close");
    let text = String::from_utf8_lossy(&responses).into_owned();
    let answers = text.matches("HTTP/1.1 ").count();
    let executed = ["first-", "second-"].into_iter().filter(|id| has_run(&fixture, id)).count();
    assert!(text.contains("connection: close"), "{text}");
    assert!(answers >= executed, "{answers} responses, {executed} executed: {text}");
}
