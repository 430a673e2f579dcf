//! A fake agent whose generations and calls follow a script.

use std::collections;
use std::net;
use std::sync;

use peargap_wire::agent as wire;
use peargap_wire::agent::agent_server;
use peargap_wire::agent::down;
use peargap_wire::agent::up;
use peargap_wire::control;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::wrappers;

/// One step of a generation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Closes all connections of the agent and stops listening.
    Die,
    Fail(wire::Failed),
    Finish,
    /// The open links go silent; new ones are served.
    SilenceLinks,
    Tokens(usize),
    /// Waits until the test releases it.
    Wait,
}

/// Outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    Answer(u32, &'static str),
    Fail(wire::Failed),
    /// The call runs, but its connection breaks before the answer.
    LoseAnswer,
    /// The call runs and waits until the test releases it.
    Wait,
}

/// What the agent has received and produced so far.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub acked: u64,
    pub calls: Vec<wire::CallRequest>,
    pub cancels: u32,
    pub observed: collections::BTreeSet<String>,
    pub produced: u64,
    pub resumes: Vec<wire::Resume>,
    pub runs: u32,
    pub starts: Vec<wire::Start>,
}

#[derive(Debug)]
struct Generation {
    end: Option<down::Kind>,
    silent_below: u64,
    team: String,
    tokens: Vec<String>,
}

#[derive(Default)]
pub struct State {
    died: bool,
    pub call_outcomes: collections::VecDeque<CallOutcome>,
    generations: collections::HashMap<String, Generation>,
    links: u64,
    scripts: collections::VecDeque<Vec<Step>>,
    pub releases: u64,
    pub seen: Seen,
}

#[derive(Clone)]
pub struct Shared {
    /// Incremented on every change of the state.
    changes: watch::Sender<u64>,
    kind: &'static str,
    pub name: String,
    state: sync::Arc<sync::Mutex<State>>,
}

pub struct Agent {
    pub address: net::SocketAddr,
    shared: Shared,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Agent {
    /// Starts an agent on a runtime of its own, so that it can be killed at once.
    pub fn start(name: &str, kind: &'static str) -> Agent {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Shared {
            changes: watch::Sender::new(0),
            kind,
            name: name.to_owned(),
            state: sync::Arc::default(),
        };
        let service = agent_server::AgentServer::new(shared.clone());
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            let incoming = wrappers::TcpListenerStream::new(listener);
            let server = tonic::transport::Server::builder().add_service(service);
            server.serve_with_incoming(incoming).await
        });
        Agent {
            address,
            shared,
            runtime: Some(runtime),
        }
    }

    pub fn member(&self) -> control::Member {
        let kind = match self.shared.kind {
            "engine" => control::Kind::Engine,
            _ => control::Kind::Service,
        };
        control::Member {
            node: Some(control::Node {
                name: format!("agent-{}", self.shared.name),
                role: control::Role::Agent.into(),
                domain: if self.shared.name.ends_with('1') {
                    "d2"
                } else {
                    "d1"
                }
                .to_owned(),
                address: self.address.to_string(),
                incarnation: "i1".to_owned(),
            }),
            announcement: Some(control::Announcement {
                upstream: self.shared.name.clone(),
                kind: kind.into(),
                offers: self.shared.offers(),
                ..control::Announcement::default()
            }),
            epoch: 1,
        }
    }

    /// Queues scripts for the next generations.
    pub fn script(&self, scripts: &[&[Step]]) {
        let scripts = scripts.iter().map(|script| script.to_vec());
        self.shared.change(|state| state.scripts.extend(scripts));
    }

    /// Queues the outcomes of the next calls.
    pub fn script_calls(&self, call_outcomes: &[CallOutcome]) {
        self.shared
            .change(|state| state.call_outcomes.extend(call_outcomes.iter().cloned()));
    }

    /// Releases all waiting steps, and those that follow.
    pub fn release(&self) {
        self.shared.change(|state| state.releases += 1);
    }

    pub fn seen(&self) -> Seen {
        self.shared.state.lock().unwrap().seen.clone()
    }

    /// Waits until `check` holds for what the agent has seen.
    pub async fn wait_for(&self, check: impl Fn(&Seen) -> bool) -> Seen {
        let found = self.shared.wait(|state| check(&state.seen));
        let found = tokio::time::timeout(super::TIMEOUT, found).await;
        found.unwrap_or_else(|_| panic!("timed out; the agent has seen {:?}", self.seen()));
        self.seen()
    }

    /// Waits until an entry has received a load report of this agent.
    pub async fn wait_observed(&self, entry: &str) {
        self.wait_for(|seen| seen.observed.contains(entry)).await;
    }

    /// Kills the agent at once, with all of its connections.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Kills the agent when a generation reaches [`Step::Die`].
    pub async fn die_as_scripted(&mut self) {
        let died = self.shared.wait(|state| state.died);
        tokio::time::timeout(super::TIMEOUT, died).await.unwrap();
        self.kill();
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Shared {
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap());
        self.changes.send_modify(|number| *number += 1);
    }

    pub async fn wait(&self, check: impl Fn(&State) -> bool) {
        let mut changes = self.changes.subscribe();
        while !check(&self.state.lock().unwrap()) {
            changes.changed().await.unwrap();
        }
    }

    pub fn offers(&self) -> Vec<String> {
        match self.kind {
            "engine" => vec!["m".to_owned()],
            _ => vec!["orders".to_owned(), "lookups".to_owned()],
        }
    }

    fn begin(&self, start: wire::Start) -> String {
        let mut script = None;
        let mut id = String::new();
        self.change(|state| {
            script = state.scripts.pop_front();
            id = format!("{}~i1~{}", self.name, state.seen.starts.len());
            // A refused request must not be accepted first, so its failure is set at once.
            let refused = match script.as_ref().and_then(|script| script.first()) {
                Some(Step::Fail(failed)) => Some(down::Kind::Failed(failed.clone())),
                _ => None,
            };
            let generation = Generation {
                end: refused,
                silent_below: 0,
                team: start.team.clone(),
                tokens: Vec::new(),
            };
            state.generations.insert(id.clone(), generation);
            state.seen.starts.push(start);
        });
        let script = script.unwrap_or_else(|| vec![Step::Tokens(5), Step::Finish]);
        tokio::spawn(self.clone().run(id.clone(), script));
        id
    }

    async fn run(self, id: String, script: Vec<Step>) {
        for step in script {
            match step {
                Step::Die => {
                    self.change(|state| state.died = true);
                    std::future::pending::<()>().await;
                }
                Step::Fail(failed) => self.end(&id, down::Kind::Failed(failed)),
                Step::Finish => {
                    let finished = wire::Finished {
                        prompt_tokens: 7,
                        output_tokens: 5,
                        reason: "stop".to_owned(),
                        cached_tokens: 3,
                    };
                    self.end(&id, down::Kind::Finished(finished));
                }
                Step::SilenceLinks => self.change(|state| {
                    let links = state.links;
                    state.generations.get_mut(&id).unwrap().silent_below = links + 1;
                }),
                Step::Tokens(count) => self.produce(&id, count).await,
                Step::Wait => {
                    self.wait(|state| state.releases > 0).await;
                }
            }
        }
    }

    /// Produces tokens, at most 1,000 ahead of those acknowledged.
    async fn produce(&self, id: &str, count: usize) {
        for _ in 0..count {
            self.wait(|state| state.seen.produced < state.seen.acked + 1_000)
                .await;
            self.change(|state| {
                let tokens = &mut state.generations.get_mut(id).unwrap().tokens;
                tokens.push(format!("{id}#{} ", tokens.len()));
                state.seen.produced += 1;
            });
        }
    }

    fn end(&self, id: &str, end: down::Kind) {
        self.change(|state| state.generations.get_mut(id).unwrap().end = Some(end));
    }

    pub async fn serve(self, mut receiver: tonic::Streaming<wire::Up>, sender: Sender) {
        let Ok(Some(first)) = receiver.message().await else {
            return;
        };
        let (id, offset) = match first.kind {
            Some(up::Kind::Start(start)) => (self.begin(start), 0),
            Some(up::Kind::Resume(resume)) => {
                self.change(|state| state.seen.resumes.push(resume.clone()));
                (resume.generation, resume.offset)
            }
            _ => return,
        };
        let mut link = 0;
        self.change(|state| {
            state.links += 1;
            link = state.links;
        });
        let exists = self.state.lock().unwrap().generations.contains_key(&id);
        if !exists {
            let failed = fail(wire::Ran::Unknown, wire::Reason::Gone, 0);
            send(&sender, down::Kind::Failed(failed)).await;
            return;
        }
        tokio::spawn(
            self.clone()
                .receive_messages(id.clone(), link, receiver, sender.clone()),
        );
        self.send_messages(id, link, offset, sender).await;
    }

    fn is_refused(&self, id: &str) -> bool {
        let generation = &self.state.lock().unwrap().generations[id];
        generation.tokens.is_empty() && matches!(generation.end, Some(down::Kind::Failed(_)))
    }

    fn is_silent(&self, id: &str, link: u64) -> bool {
        link < self.state.lock().unwrap().generations[id].silent_below
    }

    async fn receive_messages(
        self,
        id: String,
        link: u64,
        mut receiver: tonic::Streaming<wire::Up>,
        sender: Sender,
    ) {
        while let Ok(Some(message)) = receiver.message().await {
            match message.kind {
                Some(up::Kind::Ack(ack)) => {
                    self.change(|state| state.seen.acked = state.seen.acked.max(ack.offset));
                }
                Some(up::Kind::Cancel(_)) => {
                    self.change(|state| state.seen.cancels += 1);
                    self.end(
                        &id,
                        down::Kind::Failed(fail(wire::Ran::Yes, wire::Reason::Cancelled, 0)),
                    );
                }
                Some(up::Kind::Ping(ping)) if !self.is_silent(&id, link) => {
                    // No pong is sent on a full link, since the entry is not reading it anyway.
                    let message = wire::Down {
                        kind: Some(down::Kind::Pong(ping)),
                    };
                    let _ = sender.try_send(Ok(message));
                }
                _ => {}
            }
        }
    }

    async fn send_messages(self, id: String, link: u64, offset: u64, sender: Sender) {
        if !self.is_refused(&id) {
            let accepted = wire::Accepted {
                generation: id.clone(),
                queued: 0,
            };
            send(&sender, down::Kind::Accepted(accepted)).await;
        }
        let mut next = usize::try_from(offset).unwrap();
        loop {
            let ready = |state: &State| {
                let generation = &state.generations[&id];
                generation.tokens.len() > next || generation.end.is_some()
            };
            self.wait(ready).await;
            if self.is_silent(&id, link) {
                // The link stays open, so that the entry sees only silence.
                return std::future::pending().await;
            }
            let message = {
                let state = self.state.lock().unwrap();
                let generation = &state.generations[&id];
                match generation.tokens.get(next..) {
                    Some(tokens) if !tokens.is_empty() => {
                        let tokens = tokens.iter().take(100).cloned().map(Into::into).collect();
                        let offset = next as u64;
                        down::Kind::Chunk(wire::Chunk { offset, tokens })
                    }
                    _ => generation.end.clone().unwrap(),
                }
            };
            let last = match &message {
                down::Kind::Chunk(chunk) => {
                    next += chunk.tokens.len();
                    false
                }
                _ => true,
            };
            if !send(&sender, message).await || last {
                return;
            }
        }
    }
}

pub type Sender = mpsc::Sender<Result<wire::Down, tonic::Status>>;

async fn send(sender: &Sender, kind: down::Kind) -> bool {
    let message = wire::Down { kind: Some(kind) };
    sender.send(Ok(message)).await.is_ok()
}

/// Returns a failure.
pub fn fail(ran: wire::Ran, reason: wire::Reason, retry_after_ms: u32) -> wire::Failed {
    wire::Failed {
        ran: ran.into(),
        reason: reason.into(),
        retry_after_ms,
        detail: String::new(),
    }
}
