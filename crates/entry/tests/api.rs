//! The HTTP API: response formats, keys, limits and refusals.

mod support;

use peargap_wire::agent as wire;
use serde_json::json;
use support::agent;
use support::caller;

const CHAT: &str = "/v1/chat/completions";
const COMPLETION: &str = "/v1/completions";

fn chat(extra: serde_json::Value) -> Vec<u8> {
    let mut body = json!({"model": "m", "messages": [{"role": "user", "content": "hello"}]});
    for (field, value) in extra.as_object().unwrap() {
        body[field] = value.clone();
    }
    body.to_string().into_bytes()
}

fn completion(extra: serde_json::Value) -> Vec<u8> {
    let mut body = json!({"model": "m", "prompt": "hello"});
    for (field, value) in extra.as_object().unwrap() {
        body[field] = value.clone();
    }
    body.to_string().into_bytes()
}

#[tokio::test]
async fn answers_in_the_format_of_the_openai_api() {
    let bench = support::start_bench(1, "").await;
    let entry = bench.entry.callers;

    let answer = caller::Call::post(CHAT, chat(json!({})))
        .send(entry)
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    let body = answer.json();
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["model"], "m");
    assert_eq!(body["choices"][0]["message"]["role"], "assistant");
    let text = "e0~i1~0#0 e0~i1~0#1 e0~i1~0#2 e0~i1~0#3 e0~i1~0#4 ";
    assert_eq!(body["choices"][0]["message"]["content"], text);
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["usage"]["prompt_tokens"], 7);
    assert_eq!(body["usage"]["total_tokens"], 12);
    assert_eq!(body["usage"]["prompt_tokens_details"]["cached_tokens"], 3);

    let call = caller::Call::post(COMPLETION, completion(json!({}))).http2();
    let body = call.send(entry).await.unwrap().json();
    assert_eq!(body["object"], "text_completion");
    assert!(body["choices"][0]["text"]
        .as_str()
        .unwrap()
        .starts_with("e0~i1~1#0 "));

    let extra = json!({"stream": true, "stream_options": {"include_usage": true}});
    let call = caller::Call::post(CHAT, chat(extra));
    let events = caller::Events::open(call, entry).await.collect().await;
    assert_eq!(events.len(), 9, "role, five tokens, finish, usage, done");
    assert_eq!(events[0].json()["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events[1].id.as_deref(), Some("e0~i1~2.1"));
    assert_eq!(events[1].json()["object"], "chat.completion.chunk");
    assert_eq!(events[1].token().as_deref(), Some("e0~i1~2#0 "));
    assert_eq!(events[1].json()["usage"], json!(null));
    assert_eq!(events[6].json()["choices"][0]["finish_reason"], "stop");
    assert_eq!(events[7].json()["usage"]["completion_tokens"], 5);
    assert_eq!(events[8].data, "[DONE]");

    let call = caller::Call::post(COMPLETION, completion(json!({"stream": true}))).http2();
    let events = caller::Events::open(call, entry).await.collect().await;
    assert_eq!(events.len(), 7, "five tokens, finish, done");
    assert_eq!(events[4].token().as_deref(), Some("e0~i1~3#4 "));

    let models = caller::Call::get("/v1/models").key(support::KEY);
    let models = models.send(entry).await.unwrap().json();
    assert_eq!(models["data"][0]["id"], "m");
    let start = &bench.agents[0].seen().starts[0];
    assert_eq!((start.team.as_str(), start.streaming), ("desk", false));
    assert!(start.deadline_ms > 0);
}

#[tokio::test]
async fn refuses_invalid_requests_before_they_run() {
    let limits = "[limits]\nbody_bytes=4096\nheader_bytes=8192";
    let bench = support::start_bench(1, limits).await;
    let entry = bench.entry.callers;
    for call in [
        caller::Call::get("/v1/models"),
        caller::Call::get("/v1/models").key("wrong"),
        caller::Call::get("/v1/models").header("authorization", "Basic eDp5"),
    ] {
        let answer = call.send(entry).await.unwrap();
        let headers = &answer.headers;
        assert_eq!(
            (answer.status, headers["www-authenticate"].as_bytes()),
            (401, &b"Bearer"[..])
        );
        assert_eq!(answer.error()["code"], "invalid_api_key");
    }
    let cases = [
        (b"{\"model\"".to_vec(), 400, "null"),
        (b"[]".to_vec(), 400, "null"),
        (chat(json!({"model": "other"})), 404, "\"model\""),
        (chat(json!({"model": 3})), 400, "\"model\""),
        (chat(json!({"messages": []})), 400, "\"messages\""),
        (chat(json!({"max_tokens": -1})), 400, "\"max_tokens\""),
        (chat(json!({"max_tokens": 1e300})), 400, "\"max_tokens\""),
        (
            chat(json!({"max_completion_tokens": 1001})),
            400,
            "\"max_completion_tokens\"",
        ),
        (chat(json!({"temperature": 99})), 400, "\"temperature\""),
        (chat(json!({"stream": "yes"})), 400, "\"stream\""),
        (chat(json!({"n": 2})), 400, "\"n\""),
        (chat(json!({"tools": [{}]})), 400, "\"tools\""),
        (vec![b' '; 4097], 413, "null"),
    ];
    for (body, status, param) in cases {
        let shown = String::from_utf8_lossy(&body).into_owned();
        let answer = caller::Call::post(CHAT, body).send(entry).await.unwrap();
        let error = answer.error();
        assert_eq!(
            (answer.status, error["param"].to_string().as_str()),
            (status, param),
            "{shown}"
        );
        assert_eq!(error["ran"], "not_run");
    }
    let late = caller::Call::post(CHAT, chat(json!({}))).header("x-request-timeout-ms", "-5");
    assert_eq!(
        late.send(entry).await.unwrap().error()["param"],
        "x-request-timeout-ms"
    );
    let long = caller::Call::get("/v1/models").header("x-long", &"x".repeat(9_000));
    assert_eq!(long.send(entry).await.unwrap().status, 431);
    let path = caller::Call::get("/v2").send(entry).await.unwrap();
    assert_eq!(
        (path.status, path.error()["code"].as_str()),
        (404, Some("not_found"))
    );
    let method = caller::Call::get(CHAT).send(entry).await.unwrap();
    assert_eq!(
        (method.status, method.error()["code"].as_str()),
        (405, Some("method_not_allowed"))
    );
    let service = caller::Call::post("/services/none/x", "")
        .send(entry)
        .await
        .unwrap();
    assert_eq!(service.status, 404);
    assert!(
        bench.agents[0].seen().starts.is_empty(),
        "no refused request reached the agent"
    );
}

#[tokio::test]
async fn refusals_relay_whether_it_ran_and_the_retry_delay_from_the_agent() {
    let bench = support::start_bench(1, "").await;
    let entry = bench.entry.callers;
    let busy = agent::fail(wire::Ran::No, wire::Reason::Busy, 2_300);
    bench.agents[0].script(&[
        &[agent::Step::Fail(busy.clone())],
        &[agent::Step::Fail(busy)],
    ]);
    for stream in [false, true] {
        let call = caller::Call::post(CHAT, chat(json!({"stream": stream})));
        let answer = call.send(entry).await.unwrap();
        assert_eq!(
            (
                answer.status,
                answer.headers["retry-after"].to_str().unwrap()
            ),
            (429, "3")
        );
        let error = answer.error();
        assert_eq!(
            (&error["ran"], &error["retry_after_ms"]),
            (&json!("not_run"), &json!(2_300))
        );
    }
}

#[tokio::test]
async fn retries_on_another_agent_only_within_the_budget() {
    let bench = support::start_bench(2, "").await;
    let entry = bench.entry.callers;
    let send = || caller::Call::post(CHAT, chat(json!({}))).send(entry);
    let busy = agent::Step::Fail(agent::fail(wire::Ran::No, wire::Reason::Busy, 500));
    let scripts = [std::slice::from_ref(&busy); 40];
    bench.agents.iter().for_each(|agent| agent.script(&scripts));
    for _ in 0..40 {
        assert_eq!(send().await.unwrap().status, 429);
    }
    let upstreams = bench.entry.read_counter("peargap_entry_upstreams").await;
    assert_eq!(upstreams, 2.0);
    let accepting = bench.entry.read_counter("peargap_entry_agents_accepting");
    assert_eq!(accepting.await, 2.0);
    // A new budget holds 3 retries; each request adds a tenth of a retry.
    let retries = bench
        .entry
        .read_counter("peargap_entry_retries_total")
        .await;
    assert!((6.0..=7.0).contains(&retries), "{retries}");
    let starts: usize = bench
        .agents
        .iter()
        .map(|agent| agent.seen().starts.len())
        .sum();
    assert_eq!(starts as f64, 40.0 + retries);
}

#[tokio::test]
async fn prefers_its_own_domain_among_equals_and_skips_silent_agents() {
    let mut bench = support::start_bench(2, "").await;
    let entry = bench.entry.callers;
    let send = || caller::Call::post(CHAT, chat(json!({}))).send(entry);
    assert_eq!(send().await.unwrap().status, 200);
    assert_eq!(bench.agents[0].seen().starts.len(), 1);
    bench.agents[0].kill();
    support::wait_until(|| async { bench.entry.read_log().contains("E3005") }).await;
    assert_eq!(send().await.unwrap().status, 200);
    assert_eq!(bench.agents[1].seen().starts.len(), 1);
    assert_eq!(
        bench
            .entry
            .read_counter("peargap_entry_retries_total")
            .await,
        0.0
    );
}

#[tokio::test]
async fn sends_no_work_to_a_domain_taken_out_and_accepts_none_without_a_lease() {
    let bench = support::start_bench(1, "").await;
    let entry = bench.entry.callers;
    let send = || caller::Call::post(CHAT, chat(json!({}))).send(entry);
    assert_eq!(send().await.unwrap().status, 200);
    bench.control.take_domain_out("d1");
    support::wait_until(|| async { send().await.unwrap().status == 503 }).await;
    let error = send().await.unwrap().error();
    assert_eq!(
        (&error["code"], &error["ran"]),
        (&json!("no_upstream"), &json!("not_run"))
    );
    bench.control.stop_leases();
    support::wait_until(|| async { !bench.entry.is_ready().await }).await;
    let answer = send().await.unwrap();
    let error = answer.error();
    assert_eq!(
        (&error["code"], &error["ran"]),
        (&json!("configuration_stale"), &json!("not_run"))
    );
    assert!(answer.headers.contains_key("retry-after"));
}
