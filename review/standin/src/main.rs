//! Plays one case of the review: `review-standin NUMBER FOLDER`, from the root of the repository. It starts
//! the controller with the `run` command of the deploy file, plays the platform round it, and writes
//! `record.txt` into the folder. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
//! With TROUBLE=0 the disruption is left out.

mod cases;
mod fuzz;
mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};
use world::{Platform, lock};

/// The controller's process and the temporary folder of this run.
pub struct Controller {
    child: Child,
    platform: Platform,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let text =
        std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("run = \""))
        .ok_or("no run command")?;
    Ok(line.trim_end().trim_end_matches('"').to_string())
}

fn is_alive(address: SocketAddr) -> bool {
    let Ok(mut socket) = TcpStream::connect(address) else {
        return false;
    };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 7];
    socket.write_all(b"probe\r\n").is_ok()
        && socket.read_exact(&mut answer).is_ok()
        && &answer == b"alive\r\n"
}

impl Controller {
    /// Starts the controller and waits until it answers.
    pub fn start(platform: &Platform) -> Result<Controller, String> {
        let free = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = free.local_addr().map_err(|e| e.to_string())?;
        drop(free);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let known = lock(&platform.world).whole_list();
        write_configuration(platform, address, &folder, &known)?;
        let child = spawn(platform, address, &folder)?;
        let mut controller = Controller {
            child,
            platform: platform.clone(),
            address,
            folder,
        };
        controller.wait_ready()?;
        Ok(controller)
    }

    /// Waits until the controller answers.
    fn wait_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !is_alive(self.address) {
            if !self.runs() || Instant::now() > deadline {
                return Err(format!("the controller did not come up: {}", self.log()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Kills the controller outright; what it held at the platform is lost.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut state = lock(&self.platform.world);
        state.note("the controller is killed");
        state.controller_gone();
    }

    /// Starts it again from nothing, with this list as the one it knows.
    pub fn start_again(&mut self, known: &str) -> Result<(), String> {
        write_configuration(&self.platform, self.address, &self.folder, known)?;
        self.child = spawn(&self.platform, self.address, &self.folder)?;
        self.wait_ready()?;
        let mut state = lock(&self.platform.world);
        state.ready_at = Some(Instant::now());
        state.note("the controller answers again");
        Ok(())
    }

    /// Moves relay and discovery to other addresses: a new configuration, and SIGHUP.
    pub fn move_platform(&mut self) -> Result<(), String> {
        self.platform.move_addresses();
        let known = lock(&self.platform.world).whole_list();
        write_configuration(&self.platform, self.address, &self.folder, &known)?;
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args(["-s", "HUP", &id])
            .status()
            .map_err(|e| e.to_string())?;
        lock(&self.platform.world).note(format!("a new configuration, SIGHUP: {sent}"));
        Ok(())
    }

    /// Whether its process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// Writes the configuration of DEPLOY.
fn write_configuration(
    platform: &Platform,
    address: SocketAddr,
    folder: &Path,
    known: &str,
) -> Result<(), String> {
    let settings = lock(&platform.world).site.settings();
    let (relay, discovery) = platform.addresses();
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256}},\
         \"distributor\":{{\"address\":\"{relay}\"}},\"known\":{known},\"settings\":{settings}}}"
    );
    let aside = folder.join("config.new");
    std::fs::write(&aside, text).map_err(|e| e.to_string())?;
    std::fs::rename(&aside, folder.join("config.json")).map_err(|e| e.to_string())
}

/// Starts the process by the `run` command.
fn spawn(platform: &Platform, address: SocketAddr, folder: &Path) -> Result<Child, String> {
    let (_, discovery) = platform.addresses();
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join("log"));
    Command::new("/bin/sh")
        .args(["-c", &run_command()?])
        .env("NODE_CONFIG", folder.join("config.json"))
        .env("NODE_NAME", "n0")
        .env("NODE_LISTEN", address.to_string())
        .env("NODE_DISCOVERY", discovery.to_string())
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log.map_err(|e| e.to_string())?)
        .spawn()
        .map_err(|e| e.to_string())
}

/// What a case found: whether the rule held, and a line about it.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

fn play(number: &str, folder: &Path) -> Result<Verdict, String> {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = cases::find(number).ok_or("no such case")?;
    let platform = (case.platform)();
    let mut controller = Controller::start(&platform)?;
    lock(&platform.world).note(format!(
        "the controller answers; the disruption is {}",
        if trouble { "on" } else { "off" }
    ));
    platform.serve(controller.address);
    (case.events)(&platform.world, &mut controller, trouble);
    let runs = controller.runs();
    let verdict = (case.judge)(&platform.world);
    let log = controller.log();
    drop(controller);
    let mut state = lock(&platform.world);
    state.ended = true;
    let word = if verdict.held { "HELD" } else { "BROKEN" };
    state.note(format!("{word}: {}", verdict.text));
    let text = format!(
        "{}\n\nThe controller's log:\n{log}",
        state.record.join("\n")
    );
    std::fs::write(folder.join("record.txt"), text).map_err(|e| e.to_string())?;
    if !runs {
        return Err("the controller's process ended by itself".into());
    }
    Ok(verdict)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [number, folder] = &arguments[..] else {
        eprintln!("usage: review-standin NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let result = std::panic::catch_unwind(|| play(number, Path::new(folder)));
    match result {
        Ok(Ok(verdict)) => {
            println!(
                "{}: {}",
                if verdict.held { "held" } else { "BROKEN" },
                verdict.text
            );
            ExitCode::from(u8::from(!verdict.held))
        }
        Ok(Err(reason)) => {
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}
