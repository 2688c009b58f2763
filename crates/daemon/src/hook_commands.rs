//! `dahliapoint hook`: checks, formats, runs and tests hooks without a controller. A test is a scenario in a file: the
//! state of the service and a list of steps (the "night" of the command line).

use crate::hook_runner;
use dahliapoint_hooks::book::{Book, Listed};
use dahliapoint_hooks::discipline::End;
use dahliapoint_hooks::fault::told;
use dahliapoint_hooks::host::{Event, Host, Id, Loaded, Unbounded};
use dahliapoint_hooks::ops::Wished;
use dahliapoint_hooks::points::{Point, WishKind};
use dahliapoint_hooks::value::{LineSeen, ProxySeen, ServerSeen, State, World};
use dahliapoint_yaml::{FieldReader, read};
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;

const STATES: [(&str, State); 3] = [
    ("ready", State::Ready),
    ("draining", State::Draining),
    ("gone", State::Gone),
];

/// Checks a hook file; returns a line that counts what it holds.
///
/// # Errors
/// Returns all faults, with their places and hints.
pub fn check(path: &Path) -> Result<String, String> {
    let loaded = load(path)?;
    let hooks = loaded.ready.hooks.len();
    let keeps = loaded.ready.keeps.len();
    Ok(format!(
        "{}: {hooks} hooks, {keeps} names kept\n",
        path.display()
    ))
}

fn load(path: &Path) -> Result<Loaded, String> {
    let source = hook_runner::read(path)?;
    Loaded::new(&path.display().to_string(), &source)
}

/// Returns the source of a file, before and after formatting.
///
/// # Errors
/// Returns why the file cannot be read or parsed.
pub fn format(path: &Path) -> Result<(String, String), String> {
    let source = hook_runner::read(path)?;
    let name = path.display().to_string();
    let formatted = dahliapoint_hooks::format(&source).map_err(|f| told(&name, &source, &f))?;
    Ok((source, formatted))
}

/// One step of a scenario.
struct Step {
    line: u64,
    /// Time since the start of the scenario.
    at_ms: f64,
    event: Option<Event>,
    /// Servers and proxies whose state changes with this step.
    servers: Vec<ServerSeen>,
    proxies: Vec<ProxySeen>,
    lines: Vec<LineSeen>,
    /// Expected wishes.
    wishes: Option<Vec<String>>,
    /// Whether the publication is expected to be held back.
    hold: Option<bool>,
    /// Expected part of a fault's message.
    fails: Option<String>,
    /// Servers that are expected not to be ready after the step.
    drained: Option<Vec<String>>,
}

/// The state of the service at the start, and the steps.
struct Scenario {
    world: World,
    steps: Vec<Step>,
}

fn server(at: &FieldReader) -> ServerSeen {
    let s = ServerSeen {
        name: at.field("name").string(None).into(),
        zone: at.field("zone").string(Some("here")).into(),
        state: at.field("state").choice(&STATES, Some(State::Ready)),
        listed: at.field("listed").number(0.0..=1e6, Some(1.0)),
        weight: at.field("weight").number(0.0..=1e6, Some(1.0)),
        shut: at.field("shut").boolean(Some(false)),
        part: at.field("part").number(-1.0..=1e6, Some(0.0)),
        age_ms: at.field("age").duration_ms(0.0..=1e15, Some(3.2e10)),
        tries_per_s: at.field("tries").number(0.0..=1e9, Some(0.0)),
        failed_share: at.field("failed").number(0.0..=1.0, Some(0.0)),
        mean_ms: at.field("time").duration_ms(0.0..=1e9, Some(0.0)),
        in_flight: at.field("in_flight").number(0.0..=1e9, Some(0.0)),
        stale: at.field("stale").boolean(Some(false)),
    };
    at.deny_unknown_fields();
    s
}

fn proxy(at: &FieldReader) -> ProxySeen {
    let p = ProxySeen {
        name: at.field("name").string(None).into(),
        zone: at.field("zone").string(Some("here")).into(),
        part: at.field("part").number(-1.0..=1e6, Some(0.0)),
        unanswered: at.field("unanswered").number(0.0..=1e9, Some(0.0)),
        silent: at.field("silent").boolean(Some(false)),
        contrary: at.field("contrary").boolean(Some(false)),
    };
    at.deny_unknown_fields();
    p
}

fn line(at: &FieldReader) -> LineSeen {
    let l = LineSeen {
        server: at.field("server").string(None).into(),
        weight: at.field("weight").number(0.0..=1e9, Some(1.0)),
        open: at.field("open").boolean(Some(true)),
        before: at.field("before").number(0.0..=1e9, Some(0.0)),
    };
    at.deny_unknown_fields();
    l
}

fn strings(at: &FieldReader) -> Option<Vec<String>> {
    at.is_present()
        .then(|| at.list().iter().map(|t| t.string(None)).collect())
}

fn event(at: &FieldReader, point: Point) -> Event {
    let part = || at.field("part").number(0.0..=1e6, Some(0.0)) as usize;
    let name = |field: &str| Arc::from(at.field(field).string(None));
    match point {
        Point::BeforePublication => Event::BeforePublication(part()),
        Point::AfterPublication => Event::AfterPublication(part(), Vec::new()),
        Point::RosterChanged => {
            let names = strings(&at.field("changed")).unwrap_or_default();
            Event::RosterChanged(names.iter().map(|n| n.as_str().into()).collect())
        }
        Point::GuardHeld => {
            let reasons = strings(&at.field("reasons")).unwrap_or_default();
            Event::GuardHeld(part(), reasons.iter().map(|r| r.as_str().into()).collect())
        }
        Point::ServerChanged => Event::ServerChanged(
            name("server"),
            at.field("before").choice(&STATES, Some(State::Ready)),
        ),
        Point::ProxyJoined => Event::ProxyJoined(name("proxy")),
        Point::ProxyLeft => Event::ProxyLeft(name("proxy")),
        Point::Flagged => Event::Flagged(name("name"), name("what")),
        // A placeholder: the hooks are found when the step runs.
        Point::Timer => Event::Timer(Id { file: 0, hook: 0 }),
    }
}

fn step(at: &FieldReader) -> Step {
    let on = at.field("on");
    let points = Point::ALL.map(|p| (p.name(), p));
    let point = on.is_present().then(|| on.choice(&points, None));
    let fails = at.field("fails");
    let hold = at.field("hold");
    let step = Step {
        line: at.line(),
        at_ms: at.field("at").duration_ms(0.0..=1e12, Some(0.0)),
        event: point.map(|p| event(at, p)),
        servers: at.field("servers").list().iter().map(server).collect(),
        proxies: at.field("proxies").list().iter().map(proxy).collect(),
        lines: at.field("lines").list().iter().map(line).collect(),
        wishes: strings(&at.field("wishes")),
        hold: hold.is_present().then(|| hold.boolean(None)),
        fails: fails.is_present().then(|| fails.string(None)),
        drained: strings(&at.field("drained")),
    };
    at.deny_unknown_fields();
    step
}

fn scenario(at: &FieldReader) -> Scenario {
    let world = World {
        now_ms: at.field("hour").number(0.0..=24.0, Some(0.0)) * 3.6e6,
        zones: strings(&at.field("zones"))
            .unwrap_or_default()
            .iter()
            .map(|z| z.as_str().into())
            .collect(),
        servers: at.field("servers").list().iter().map(server).collect(),
        proxies: at.field("proxies").list().iter().map(proxy).collect(),
        ..World::default()
    };
    let steps = at.field("steps").list().iter().map(step).collect();
    at.deny_unknown_fields();
    Scenario { world, steps }
}

/// A wish as text, as scenarios state it.
fn wish_text(w: &Wished) -> String {
    let mut out = w.kind.name().to_string();
    match w.kind {
        WishKind::Drain | WishKind::Undrain => {
            let _ = write!(out, " {}", w.whom);
        }
        WishKind::Scale | WishKind::Cap => {
            let _ = write!(out, " {} {}", w.whom, w.number);
        }
        WishKind::Pin | WishKind::Release => {
            let _ = write!(out, " {}", w.number);
        }
        WishKind::Annotate => {
            let _ = write!(out, " {}: {}", w.whom, w.text);
        }
        WishKind::Alert => {
            let _ = write!(out, ": {}", w.text);
        }
        WishKind::RefuseRoster | WishKind::Hold => {}
    }
    if let Some(ms) = w.lasts_ms {
        let _ = write!(out, " for {} s", ms / 1e3);
    }
    out
}

/// Result of a step.
#[derive(Default)]
struct StepResult {
    wishes: Vec<String>,
    hold: bool,
    /// Messages about faults.
    said: Vec<String>,
}

/// Runs a scenario with the hooks of a file; returns the text of what happened, and how many results differ from what
/// the scenario states.
///
/// # Errors
/// Returns what is wrong with either file.
pub fn play(path: &Path, events: &Path) -> Result<(String, usize), String> {
    let loaded = load(path)?;
    let name = events.display().to_string();
    let text = std::fs::read_to_string(events).map_err(|e| format!("{name}: {e}\n"))?;
    let scenario = read(&name, &text, scenario).map_err(|f| format!("{f}\n"))?;
    let mut host = Host::default();
    host.swap(0.0, vec![loaded]);
    let mut book = Book::default();
    let mut world = scenario.world;
    let start_ms = world.now_ms;
    let (mut out, mut mismatches) = (String::new(), 0);
    for step in &scenario.steps {
        world.now_ms = start_ms + step.at_ms;
        for s in &step.servers {
            match world.servers.iter_mut().find(|w| w.name == s.name) {
                Some(known) => *known = s.clone(),
                None => world.servers.push(s.clone()),
            }
        }
        for p in &step.proxies {
            match world.proxies.iter_mut().find(|w| w.name == p.name) {
                Some(known) => *known = p.clone(),
                None => world.proxies.push(p.clone()),
            }
        }
        world.lines = step.lines.clone();
        world = world.indexed();
        book.expire(step.at_ms);
        let result = run_step(&mut host, &mut book, step, &world);
        let listed = |s: &ServerSeen| Listed {
            name: s.name.clone(),
            zone: s.zone.clone(),
            state: s.state,
            weight: s.listed,
        };
        let roster: Vec<Listed> = world.servers.iter().map(listed).collect();
        let in_force = book.in_force(&roster);
        let drained = in_force
            .servers
            .iter()
            .filter(|(_, (state, _))| *state != State::Ready);
        let drained: Vec<String> = drained.map(|(n, _)| n.to_string()).collect();
        let what = step.event.as_ref().map_or("set", |e| e.point().name());
        let _ = writeln!(
            out,
            "{name}:{}: {} s, {what}: {}",
            step.line,
            step.at_ms / 1e3,
            result.wishes.join("; ")
        );
        result.said.iter().for_each(|s| out.push_str(s));
        let mut compare = |wanted: String, found: String| {
            if wanted != found {
                mismatches += 1;
                let _ = writeln!(out, "  wanted {wanted}\n  found  {found}");
            }
        };
        if let Some(wanted) = &step.wishes {
            compare(format!("{wanted:?}"), format!("{:?}", result.wishes));
        }
        if let Some(wanted) = step.hold {
            compare(format!("hold {wanted}"), format!("hold {}", result.hold));
        }
        if let Some(wanted) = &step.drained {
            compare(
                format!("drained {wanted:?}"),
                format!("drained {drained:?}"),
            );
        }
        let said = result.said.concat();
        match &step.fails {
            Some(part) if !said.contains(part) => {
                compare(format!("a fault with {part:?}"), format!("{said:?}"))
            }
            None if !said.is_empty() => compare("no fault".into(), format!("{said:?}")),
            _ => {}
        }
    }
    Ok((out, mismatches))
}

/// Runs the hooks that are due for a step.
fn run_step(host: &mut Host, book: &mut Book, step: &Step, world: &World) -> StepResult {
    let mut result = StepResult::default();
    let now = step.at_ms;
    let Some(event) = &step.event else {
        return result;
    };
    // Only the limit of steps bounds a run here, so that a scenario has the same result on any machine.
    let mut no_deadline = || false;
    if let Event::BeforePublication(part) = event {
        let verdict = host.gate(now).judge(*part, world, &mut Unbounded);
        result.hold = verdict.hold;
        result.wishes = verdict
            .alerts
            .iter()
            .map(|(_, text)| format!("alert: {text}"))
            .collect();
        result.said = verdict.said;
        return result;
    }
    let events: Vec<Event> = match event {
        Event::Timer(_) => host.waiting_for(Point::Timer).map(Event::Timer).collect(),
        other => vec![other.clone()],
    };
    for event in events {
        for id in host.due(now, &event) {
            let Some(ran) = host.run(now, id, &event, world, &mut no_deadline) else {
                continue;
            };
            result.said.extend(ran.said);
            if ran.end != End::Well {
                continue;
            }
            match book.takes(now, &ran.hook, &ran.wishes) {
                Ok(_) => result.wishes.extend(ran.wishes.iter().map(wish_text)),
                Err(why) => result.said.push(format!("{why}\n")),
            }
        }
    }
    result
}
