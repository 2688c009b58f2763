//! `review-platform CASE FOLDER`: plays one case of the review against `dahliapoint node`, started with
//! the command of `deploy/balancer.toml`, and writes `record.txt` in the case's folder. Exit code 0: the
//! rule held; 1: it was broken; 2: the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use world::{Door, Figures, Shared, State, lock};

/// The platform and the controller of one case.
pub struct Stage {
    pub shared: Shared,
    pub trouble: bool,
    root: PathBuf,
    folder: PathBuf,
    temporary: PathBuf,
    run: String,
    listen: SocketAddr,
    /// Where the collectors connect.
    collect_at: Arc<Mutex<SocketAddr>>,
    pub relay: Door,
    pub discovery: Door,
    child: Option<Child>,
}

impl Stage {
    fn new(rule: u8, figures: Figures, folder: &Path, trouble: bool) -> Result<Stage, String> {
        let root = std::env::current_dir().map_err(|e| e.to_string())?;
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .map_err(|e| format!("deploy/balancer.toml: {e}"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run
            .ok_or("deploy/balancer.toml has no `run`")?
            .trim()
            .trim_matches('"')
            .to_string();
        let temporary = std::env::var_os("REVIEW_TMP").map(PathBuf::from);
        let temporary = temporary.unwrap_or_else(|| {
            std::env::temp_dir().join(format!("review-platform-{}", std::process::id()))
        });
        std::fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
        let shared = Shared::new(Mutex::new(State::new(rule, figures)));
        let listen = free_address()?;
        Ok(Stage {
            relay: world::start_relay(&shared),
            discovery: world::start_discovery(&shared),
            shared,
            trouble,
            root,
            folder: folder.into(),
            temporary,
            run,
            listen,
            collect_at: Arc::new(Mutex::new(listen)),
            child: None,
        })
    }

    /// Starts the controller with the list as it is now as the known one, and waits for `alive`. Where
    /// another program has taken the port meanwhile, a free one is sought again.
    pub fn start_controller(&mut self) -> Result<(), String> {
        let mut outcome = self.try_start();
        for _ in 0..3 {
            if outcome.is_ok() {
                break;
            }
            self.end_controller();
            self.listen = free_address()?;
            *self
                .collect_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = self.listen;
            outcome = self.try_start();
        }
        outcome
    }

    fn try_start(&mut self) -> Result<(), String> {
        self.write_configuration()?;
        let path = self.configuration();
        let log =
            std::fs::File::create(self.temporary.join("log.txt")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.discovery.address.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &self.temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start the controller: {e}"))?;
        // `run.sh` ends the controller by this file, should the case be ended from outside.
        std::fs::write(self.temporary.join("pid"), child.id().to_string())
            .map_err(|e| e.to_string())?;
        self.child = Some(child);
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_alive() {
                let mut state = lock(&self.shared);
                let now = state.now();
                state.alive_at = Some(now);
                state.judged_from = now + 1000.0;
                state.note("the controller answers `alive`");
                return Ok(());
            }
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                return Err(format!("the controller ended at its start: {status}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the controller did not answer `probe` within 15 s".into())
    }

    fn configuration(&self) -> PathBuf {
        self.temporary.join("config.json")
    }

    fn write_configuration(&self) -> Result<(), String> {
        let config = {
            let state = lock(&self.shared);
            format!(
                r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"distributor":{{"address":"{}"}},"known":{},"settings":{}}}"#,
                self.listen,
                self.discovery.address,
                self.relay.address,
                state.list(None),
                state.settings()
            )
        };
        std::fs::write(self.configuration(), config).map_err(|e| e.to_string())
    }

    /// A new configuration and SIGHUP: relay and discovery move to other addresses. What was there takes no
    /// new connection and closes the open ones after 1.5 s.
    pub fn move_platform(&mut self) -> Result<(), String> {
        let before = [self.relay.clone(), self.discovery.clone()];
        (self.relay, self.discovery) = (
            world::start_relay(&self.shared),
            world::start_discovery(&self.shared),
        );
        self.write_configuration()?;
        before.iter().for_each(Door::shut);
        lock(&self.shared).note("new configuration, SIGHUP");
        self.signal("-HUP");
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1500));
            before.iter().for_each(Door::close);
        });
        Ok(())
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill {signal} {}", child.id())])
                .status();
        }
    }

    fn is_alive(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.listen) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let mut buffer = [0; 64];
        socket.write_all(b"probe\r\n").is_ok()
            && socket
                .read(&mut buffer)
                .is_ok_and(|n| buffer[..n].starts_with(b"alive"))
    }

    fn end_controller(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(self.temporary.join("pid"));
    }

    /// Kills the controller outright. Its proxies' streams break.
    pub fn kill_controller(&mut self) {
        self.end_controller();
        self.relay.close();
        self.discovery.close();
        let mut state = lock(&self.shared);
        state.note("the controller is killed");
        state.judged_from = f64::INFINITY;
        state.forget_controller();
    }

    /// Whether the controller is still running.
    fn check_running(&mut self) -> Result<(), String> {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => Ok(()),
            Some(Ok(Some(status))) => {
                lock(&self.shared).break_rule(0, &format!("the controller ended: {status}"));
                Ok(())
            }
            _ => Err("the controller cannot be watched".into()),
        }
    }

    pub fn sleep(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Ends the controller and writes the record; returns the exit code.
    fn finish(mut self, result: Result<(), String>) -> i32 {
        let result = result.and_then(|()| self.check_running());
        self.end_controller();
        let log = std::fs::read_to_string(self.temporary.join("log.txt")).unwrap_or_default();
        let mut state = lock(&self.shared);
        let totals: Vec<String> = state
            .servers
            .iter()
            .map(|s| format!("{} {}", s.name, s.total))
            .collect();
        let summary = format!(
            "visits by server: {}; refused for want of a server: {}\ncalls {} of which broken {}; most lines that waited {:.0}; most messages to one proxy in the span {}\nrule {} broken: {} times; others: {} times\nresult: {}\n",
            totals.join(", "),
            state.proxies.iter().map(|p| p.refused).sum::<u64>(),
            state.calls,
            state.faulty_calls,
            state.most_seen_waiting,
            state.most_seen_messages,
            state.rule,
            state.broken.len(),
            state.other_broken,
            match &result {
                Err(why) => format!("could not run: {why}"),
                Ok(()) if state.broken.is_empty() => "the rule held".into(),
                Ok(()) => "the rule was broken".into(),
            }
        );
        let mut text = std::mem::take(&mut state.record);
        text.push_str(&summary);
        text.push_str("the controller's log:\n");
        text.extend(log.chars().take(60_000));
        let written = std::fs::write(self.folder.join("record.txt"), text);
        print!("{summary}");
        for line in state.broken.iter().take(3) {
            println!("  {line}");
        }
        let broken = !state.broken.is_empty();
        drop(state);
        let _ = std::fs::remove_dir_all(&self.temporary);
        match (result, written) {
            (Err(_), _) | (_, Err(_)) => 2,
            (Ok(()), Ok(())) => i32::from(broken),
        }
    }
}

/// A loopback address whose port is free now, outside the range that the system hands out by itself on most
/// machines.
fn free_address() -> Result<SocketAddr, String> {
    let start = std::process::id() as u16 % 10_000;
    let ports = (0..10_000).map(|i| 20_000 + (start + i) % 10_000);
    let mut free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let listener = free.next().ok_or("no free port")?;
    listener.local_addr().map_err(|e| e.to_string())
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-platform CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Some((rule, figures, play)) = cases::find(case) else {
        eprintln!("no such case: {case}");
        std::process::exit(2);
    };
    let stage = Stage::new(rule, figures, Path::new(folder), trouble);
    let mut stage = match stage {
        Ok(stage) => stage,
        Err(why) => {
            eprintln!("{why}");
            std::process::exit(2);
        }
    };
    // Whatever happens, the case ends in time, and the controller with it.
    let late = stage.temporary.join("pid");
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        eprintln!("the case took too long");
        let pid = std::fs::read_to_string(late).unwrap_or_default();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -9 {pid}")])
            .status();
        std::process::exit(2);
    });
    world::start_clock(&stage.shared);
    world::start_collectors(&stage.shared, &stage.collect_at);
    let result = play(&mut stage);
    std::process::exit(stage.finish(result));
}
