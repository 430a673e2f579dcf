//! The requests of the demo: a streamed completion, an unstreamed one, and a non-idempotent service
//! call that is sent twice under one idempotency key.

use bytes::Bytes;

use crate::client;
use crate::token;

/// `max_tokens` of each completion.
const MAX_TOKENS: u32 = 48;
/// Bytes of the text that go into the prompt, at most.
const PROMPT_BYTES: usize = 1_500;

/// Parameters of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// URLs of the entries, used in rotation.
    pub entries: Vec<String>,
    /// Bearer key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Name of a service with non-idempotent calls.
    pub service: String,
    /// Text to summarise.
    pub text: String,
}

/// Sends all requests and prints the answers; stops at the first failure and returns it.
pub async fn walk(options: &Options) -> Result<(), String> {
    let client = client::Client::new(&options.key);
    stream_summary(&client, options).await?;
    ask_summary(&client, options).await?;
    repeat_call(&client, options).await
}

fn pick_entry(options: &Options, index: usize) -> &str {
    options
        .entries
        .get(index % options.entries.len().max(1))
        .map_or("", String::as_str)
}

fn build_prompt(options: &Options) -> String {
    let end = options.text.floor_char_boundary(PROMPT_BYTES);
    format!("Summarise: {}", &options.text[..end])
}

async fn stream_summary(client: &client::Client, options: &Options) -> Result<(), String> {
    let prompt = build_prompt(options);
    let body = serde_json::json!({
        "model": options.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
        "stream": true,
    });
    let url = format!("{}/v1/chat/completions", pick_entry(options, 0));
    let opened = client
        .open(http::Request::post(url), Bytes::from(body.to_string()))
        .await
        .map_err(|error| error.to_string())?;
    let mut stream = match opened {
        client::Opened::Stream(stream) => stream,
        client::Opened::Refused(answer) => return Err(describe_error("streamed", &answer)),
    };
    // The engine hashes a chat as lines of `role: content`.
    let mut checker = token::Checker::new(&format!("user: {prompt}\n"));
    let mut output = String::new();
    while let Some(event) = stream.next().await {
        match event.map_err(|error| error.to_string())? {
            client::Event::Done => {
                println!(
                    "streamed: {} tokens, each once and in order",
                    checker.count()
                );
                println!("  {}", output.trim_end());
                return Ok(());
            }
            client::Event::Failed(text) => return Err(format!("streamed: {text}")),
            client::Event::Other => {}
            client::Event::Text { text, .. } => {
                checker.check(&text).map_err(|fault| fault.to_string())?;
                output.push_str(&text);
            }
        }
    }
    Err("streamed: the connection ended before the answer was complete".to_owned())
}

async fn ask_summary(client: &client::Client, options: &Options) -> Result<(), String> {
    let prompt = build_prompt(options);
    let body = serde_json::json!({
        "model": options.model,
        "prompt": prompt,
        "max_tokens": MAX_TOKENS,
    });
    let url = format!("{}/v1/completions", pick_entry(options, 1));
    let answer = client
        .call(http::Request::post(url), Bytes::from(body.to_string()))
        .await
        .map_err(|error| error.to_string())?;
    if !answer.status.is_success() {
        return Err(describe_error("whole", &answer));
    }
    let text = client::read_completion(&answer.body)
        .ok_or_else(|| format!("whole: no text in {}", client::show_body(&answer.body)))?;
    let mut checker = token::Checker::new(&prompt);
    checker.check(&text).map_err(|fault| fault.to_string())?;
    println!("whole: {} tokens, each once and in order", checker.count());
    println!("  {}", client::show_body(&answer.body));
    Ok(())
}

async fn repeat_call(client: &client::Client, options: &Options) -> Result<(), String> {
    let key = format!("demo-{:016x}", rand::random::<u64>());
    let mut bodies = Vec::new();
    for index in 0..2 {
        let url = format!(
            "{}/services/{}/orders",
            pick_entry(options, index),
            options.service
        );
        let request = http::Request::post(url).header("idempotency-key", &key);
        let body = Bytes::from_static(b"{\"item\":\"tape 12\"}");
        let answer = client
            .call(request, body)
            .await
            .map_err(|error| error.to_string())?;
        if !answer.status.is_success() {
            return Err(describe_error("call", &answer));
        }
        println!("call {}: {}", index + 1, client::show_body(&answer.body));
        bodies.push(answer.body);
    }
    let run: serde_json::Value =
        serde_json::from_slice(&bodies[1]).map_err(|error| error.to_string())?;
    if bodies[0] != bodies[1] || run["run"] != 1 {
        return Err("the call that was sent twice did not run exactly once".to_owned());
    }
    println!("call: sent twice, run once");
    Ok(())
}

fn describe_error(what: &str, answer: &client::Answer) -> String {
    let body = client::show_body(&answer.body);
    format!("{what}: status {}: {body}", answer.status)
}
