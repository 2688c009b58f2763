//! The one owner of the controller: a thread that is fed by a queue. All that waits in it is one moment.

use dahliapoint_control::record::{Begin, Recorder};
use dahliapoint_control::{Controller, Input, Output, Terms};
use dahliapoint_fibers::{Bell, Queue, Received};
use dahliapoint_xds::Owner;
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tracing::{error, info};

/// Inputs that wait at most; beyond that whoever brings one waits.
const MOST: usize = 16 * 1024;
/// Where the clock starts: late enough that all that is told of the past lies after 0.
const ORIGIN_MS: f64 = 1e9;

/// A clock that never goes back.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now_ms(&self) -> f64 {
        ORIGIN_MS + self.0.elapsed().as_secs_f64() * 1e3
    }

    fn at(&self, ms: f64) -> Option<Instant> {
        let after = (ms - ORIGIN_MS) / 1e3;
        // A day ahead is as good as never: the queue wakes it before.
        let after = after.clamp(0.0, 86_400.0 * 365.0);
        self.0.checked_add(Duration::from_secs_f64(after))
    }
}

enum Item {
    Input(Input),
    Ask(Arc<Asked>),
}

/// A question for the present state.
#[derive(Default)]
struct Asked {
    answer: Mutex<Option<serde_json::Value>>,
    bell: Bell,
}

/// Carries out an output; gives it back if it is for another.
pub type Hand = Box<dyn Fn(Output) -> Option<Output> + Send>;

/// The way to the owner; clones are the same.
#[derive(Clone)]
pub struct Engine {
    queue: Queue<Item>,
    roster_fault: Arc<Mutex<Option<String>>>,
    figures: Arc<Mutex<Figures>>,
    ended: Arc<AtomicBool>,
}

/// What the owner has used so far, for measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub moments: u64,
    pub inputs: u64,
    /// Time within decisions, and the longest of one moment.
    pub deciding_ms: f64,
    pub longest_ms: f64,
}

impl Engine {
    /// An engine with its queue; it is fed before it runs.
    pub fn new() -> Engine {
        Engine {
            queue: Queue::bounded(MOST),
            roster_fault: Arc::default(),
            figures: Arc::default(),
            ended: Arc::default(),
        }
    }

    /// Begins to own a controller: first the inputs given, then what is put in.
    ///
    /// # Errors
    /// When the record cannot be written or the thread cannot be started.
    pub fn run(
        &self,
        clock: Clock,
        seed: u64,
        terms: Terms,
        record: Option<&Path>,
        first: Vec<Input>,
        hand: Hand,
    ) -> io::Result<JoinHandle<()>> {
        let now = clock.now_ms();
        let mut recorder = None;
        if let Some(path) = record {
            let begin = Begin {
                now,
                seed,
                terms: terms.clone(),
            };
            recorder = Some(Recorder::begin(
                BufWriter::new(File::create(path)?),
                &begin,
            )?);
        }
        let controller = Controller::begun(now, seed, terms);
        let engine = self.clone();
        std::thread::Builder::new()
            .name("controller".into())
            .spawn(move || engine.own(clock, controller, recorder, first, &hand))
    }

    fn own(
        &self,
        clock: Clock,
        mut controller: Controller,
        mut record: Option<Recorder<BufWriter<File>>>,
        first: Vec<Input>,
        hand: &Hand,
    ) {
        let mut inputs = first;
        loop {
            let now = clock.now_ms();
            if let Some(recorder) = &mut record
                && let Err(e) = recorder.note(now, &inputs).and_then(|()| recorder.flush())
            {
                // The day goes on without its record.
                error!(error = %e, "the record cannot be written; it ends here");
                record = None;
            }
            let count = inputs.len();
            let outputs = controller.take(now, inputs);
            self.count(clock.now_ms() - now, count);
            for output in outputs {
                match hand(output) {
                    Some(Output::Note(note)) => info!(target: "decisions", "{note}"),
                    Some(Output::Write(..) | Output::Close(..) | Output::Probe { .. }) | None => {}
                }
            }
            inputs = Vec::new();
            let until = clock.at(controller.wake_at());
            match self.queue.take_all(until) {
                Received::Some(items) => {
                    for item in items {
                        match item {
                            Item::Input(input) => inputs.push(input),
                            Item::Ask(asked) => self.answer(&controller, &asked),
                        }
                    }
                }
                Received::Nothing => {}
                Received::Closed => break,
            }
        }
        self.ended.store(true, Ordering::SeqCst);
    }

    fn count(&self, took: f64, inputs: usize) {
        let mut figures = self.figures.lock().unwrap_or_else(|e| e.into_inner());
        figures.moments += 1;
        figures.inputs += inputs as u64;
        figures.deciding_ms += took;
        figures.longest_ms = figures.longest_ms.max(took);
    }

    fn answer(&self, controller: &Controller, asked: &Asked) {
        let mut view = serde_json::to_value(controller.overview()).unwrap_or_default();
        let fault = self.roster_fault.lock().unwrap_or_else(|e| e.into_inner());
        view["roster_fault"] = serde_json::json!(*fault);
        let figures = *self.figures.lock().unwrap_or_else(|e| e.into_inner());
        view["service"] = serde_json::json!(controller.terms().service);
        view["deciding"] = serde_json::json!({
            "moments": figures.moments,
            "inputs": figures.inputs,
            "total_ms": figures.deciding_ms,
            "longest_ms": figures.longest_ms,
            "waiting": self.queue.len(),
        });
        *asked.answer.lock().unwrap_or_else(|e| e.into_inner()) = Some(view);
        asked.bell.ring();
    }

    /// What is wrong with the roster's file, if anything is.
    pub fn roster_fault(&self, fault: Option<String>) {
        *self.roster_fault.lock().unwrap_or_else(|e| e.into_inner()) = fault;
    }

    /// Ends the owner once what waits was taken.
    pub fn close(&self) {
        self.queue.close();
    }
}

impl Default for Engine {
    fn default() -> Engine {
        Engine::new()
    }
}

impl Owner for Engine {
    fn put(&self, input: Input) -> bool {
        self.queue.put(Item::Input(input)).is_ok()
    }

    fn overview(&self) -> serde_json::Value {
        let asked = Arc::new(Asked::default());
        if self.queue.put(Item::Ask(asked.clone())).is_err() {
            return serde_json::Value::Null;
        }
        asked
            .bell
            .wait(Some(Instant::now() + Duration::from_secs(5)));
        let mut answer = asked.answer.lock().unwrap_or_else(|e| e.into_inner());
        answer.take().unwrap_or_default()
    }
}
