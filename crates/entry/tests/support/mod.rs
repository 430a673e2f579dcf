//! Runs the entry's binary with a fake control host and fake agents.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod agent;
pub mod caller;
pub mod control;
pub mod proxy;
mod served;

use std::fs;
use std::net;
use std::process;
use std::time;

use peargap_adapters::digest;
use tokio::time as clock;

/// Timeout of all waits; nothing takes this long unless it is broken.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(20);
pub const KEY: &str = "key-of-desk";
pub const OTHER_KEY: &str = "key-of-archive";

/// A running entry.
pub struct Entry {
    pub callers: net::SocketAddr,
    child: process::Child,
    folder: tempfile::TempDir,
    pub health: net::SocketAddr,
}

impl Entry {
    /// Starts an entry and waits until it is ready; `extra_settings` is appended to its settings.
    pub async fn start(name: &str, control: &control::Control, extra_settings: &str) -> Entry {
        loop {
            let mut entry = Entry::spawn(name, control, extra_settings);
            // The entry exits if another process has taken one of the ports; it is then retried.
            while entry.is_running() {
                if entry.read_log().contains("E3000") {
                    wait_until(|| entry.is_ready()).await;
                    return entry;
                }
                clock::sleep(time::Duration::from_millis(10)).await;
            }
        }
    }

    fn spawn(name: &str, control: &control::Control, extra_settings: &str) -> Entry {
        let (callers, health) = (find_address(), find_address());
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("entry.ini");
        let text = format!(
            "[node]\nname={name}\ndomain=d1\n[listen]\ncallers={callers}\nhealth={health}\n\
             [control]\naddresses={}\n{extra_settings}\n",
            control.address
        );
        fs::write(&file, text).unwrap();
        let log = fs::File::create(folder.path().join("log")).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_peargap-entry"))
            .arg("--config")
            .arg(&file)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Entry {
            callers,
            child,
            folder,
            health,
        }
    }

    pub fn read_log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    pub async fn is_ready(&self) -> bool {
        let answer = caller::Call::get("/readyz").send(self.health).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the value of a counter without labels, or 0 if it was never incremented.
    pub async fn read_counter(&self, name: &str) -> f64 {
        let page = caller::Call::get("/metrics")
            .send(self.health)
            .await
            .unwrap();
        let text = page.text();
        let line = text
            .lines()
            .find(|line| line.split(['{', ' ']).next() == Some(name));
        line.map_or(0.0, |line| {
            line.rsplit(' ').next().unwrap().parse().unwrap()
        })
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = process::Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process has ended and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let deadline = clock::Instant::now() + TIMEOUT;
        while clock::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            clock::sleep(time::Duration::from_millis(10)).await;
        }
        panic!("the entry did not exit in time");
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.read_log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry with a control host and agents that all have the same offers.
pub struct Bench {
    pub agents: Vec<agent::Agent>,
    pub control: control::Control,
    pub entry: Entry,
}

/// Starts a bench with agents of the model `m`; their upstreams are `e0`, `e1` and so on.
pub async fn start_bench(agents: usize, extra_settings: &str) -> Bench {
    let agents: Vec<_> = (0..agents)
        .map(|number| agent::Agent::start(&format!("e{number}"), "engine"))
        .collect();
    start_with(agents, extra_settings).await
}

/// Starts a bench with agents of the plain services `orders` and `lookups`.
pub async fn start_service_bench(agents: usize, extra_settings: &str) -> Bench {
    let agents = (0..agents).map(|number| agent::Agent::start(&format!("s{number}"), "service"));
    start_with(agents.collect(), extra_settings).await
}

/// Starts a bench with one agent of this kind behind a proxy.
pub async fn start_bench_behind_proxy(kind: &'static str) -> (Bench, proxy::Proxy) {
    let agents = vec![agent::Agent::start("e0", kind)];
    let proxy = proxy::Proxy::start(agents[0].address).await;
    let mut member = agents[0].member();
    member.node.as_mut().unwrap().address = proxy.address.to_string();
    let control = control::Control::start(&manifest());
    control.add_member(member);
    let entry = Entry::start("entry-a", &control, "").await;
    agents[0].wait_observed("entry-a").await;
    let bench = Bench {
        agents,
        control,
        entry,
    };
    (bench, proxy)
}

async fn start_with(agents: Vec<agent::Agent>, extra_settings: &str) -> Bench {
    let control = control::Control::start(&manifest());
    for agent in &agents {
        control.add_member(agent.member());
    }
    let entry = Entry::start("entry-a", &control, extra_settings).await;
    for agent in &agents {
        agent.wait_observed("entry-a").await;
    }
    Bench {
        agents,
        control,
        entry,
    }
}

fn manifest() -> String {
    let key = hex(&digest::hash_key(KEY.as_bytes()));
    let other = hex(&digest::hash_key(OTHER_KEY.as_bytes()));
    format!(
        "[deployment]\nname=test\n[domain d1]\nregion=r\n[domain d2]\nregion=r\n\
         [model m]\nmax_output_tokens=1000\nmax_prompt_tokens=1000\n\
         [service orders]\nrepeatable=false\n[service lookups]\nrepeatable=true\n\
         [team desk]\nkey_sha256={key}\n[team archive]\nkey_sha256={other}\n"
    )
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns an address that is free at present.
pub fn find_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Waits until `check` holds.
pub async fn wait_until<F>(mut check: impl FnMut() -> F)
where
    F: std::future::Future<Output = bool>,
{
    let deadline = clock::Instant::now() + TIMEOUT;
    while !check().await {
        assert!(
            clock::Instant::now() < deadline,
            "the condition was not met in time"
        );
        clock::sleep(time::Duration::from_millis(10)).await;
    }
}
