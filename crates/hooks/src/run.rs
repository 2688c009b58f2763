//! The machine. A run has an allowance of steps, memory, depth, wishes and time; what is over it is cut off, and
//! then nothing that it wished or set takes effect: a run is all or nothing. It calls nothing of itself, so however
//! deep a program calls, the machine's own stack stays as it is.

use crate::code::{Code, Ready};
use crate::fault::{Fault, Span};
use crate::natives::{self, Left, Stop};
use crate::ops::{self, Wished};
use crate::value::{Value, World};

/// What a run may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub steps: u64,
    /// Bytes that it may make, over the whole run.
    pub bytes: usize,
    /// Calls within calls.
    pub depth: usize,
    pub wishes: usize,
    /// Bytes of what is kept, after the run.
    pub kept: usize,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance {
            steps: 500_000,
            bytes: 4 << 20,
            depth: 64,
            wishes: 64,
            kept: 64 << 10,
        }
    }
}

/// Whether the run's time is over; asked every so many steps.
pub type TimeIsUp<'a> = &'a mut dyn FnMut() -> bool;
const ASKS_EVERY: u32 = 256;

/// What a run comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub wishes: Vec<Wished>,
    /// What is kept, if the run changed any of it.
    pub keeps: Option<Vec<Value>>,
    pub steps: u64,
    pub bytes: usize,
}

/// Why a run ended early, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Stopped {
    pub why: Stop,
    pub at: Span,
    pub steps: u64,
}

impl Stopped {
    pub fn was_cut(&self) -> bool {
        matches!(self.why, Stop::Cut(_))
    }

    /// As a fault of the source.
    pub fn fault(&self) -> Fault {
        match &self.why {
            Stop::Cut(what) => Fault::new(self.at, format!("cut off: its {what} were used up")),
            Stop::Wrong(what) => Fault::new(self.at, what.clone()),
        }
    }
}

struct Frame {
    function: usize,
    at: usize,
    base: usize,
}

struct Machine<'a> {
    ready: &'a Ready,
    world: &'a World,
    keeps: Vec<Value>,
    changed: bool,
    stack: Vec<Value>,
    slots: Vec<Value>,
    frames: Vec<Frame>,
    wishes: Vec<Wished>,
    left: Left,
    allowance: Allowance,
}

/// Runs a function of a program with what is kept.
///
/// # Errors
/// Why it was cut off or went wrong; nothing of it counts then.
pub fn run(
    ready: &Ready,
    function: usize,
    args: Vec<Value>,
    keeps: &[Value],
    world: &World,
    allowance: Allowance,
    time_is_up: TimeIsUp,
) -> Result<Outcome, Stopped> {
    let mut m = Machine {
        ready,
        world,
        keeps: keeps.to_vec(),
        changed: false,
        stack: args,
        slots: Vec::new(),
        frames: Vec::new(),
        wishes: Vec::new(),
        left: Left {
            steps: allowance.steps,
            bytes: allowance.bytes,
        },
        allowance,
    };
    let ended = m.enter(function).and_then(|()| m.go(time_is_up));
    let steps = allowance.steps - m.left.steps;
    match ended.and_then(|()| m.bound_what_is_kept()) {
        Ok(()) => Ok(Outcome {
            wishes: m.wishes,
            keeps: m.changed.then_some(m.keeps),
            steps,
            bytes: allowance.bytes - m.left.bytes,
        }),
        Err(why) => {
            let frame = m.frames.last();
            let at = frame.and_then(|f| {
                ready.functions[f.function]
                    .places
                    .get(f.at.saturating_sub(1))
            });
            Err(Stopped {
                why,
                at: at.copied().unwrap_or_default(),
                steps,
            })
        }
    }
}

/// What is kept may be so large, over all names.
pub fn kept_fits(keeps: &[Value], most: usize) -> bool {
    // A value costs at least a step a byte of this measure.
    let mut left = most / 16;
    keeps.iter().all(|v| v.within(&mut left))
}

impl Machine<'_> {
    fn bound_what_is_kept(&mut self) -> Result<(), Stop> {
        match !self.changed || kept_fits(&self.keeps, self.allowance.kept) {
            true => Ok(()),
            false => Err(Stop::Cut("bytes to keep")),
        }
    }

    fn enter(&mut self, function: usize) -> Result<(), Stop> {
        if self.frames.len() >= self.allowance.depth {
            return Err(Stop::Cut("calls within calls"));
        }
        let f = &self.ready.functions[function];
        let base = self.slots.len();
        self.left.bytes(f.slots * 24)?;
        let args = self.stack.split_off(self.stack.len() - f.params);
        self.slots.extend(args);
        self.slots.resize(base + f.slots, Value::Nothing);
        self.frames.push(Frame {
            function,
            at: 0,
            base,
        });
        Ok(())
    }

    fn pop(&mut self) -> Value {
        self.stack.pop().unwrap_or(Value::Nothing)
    }

    fn go(&mut self, time_is_up: TimeIsUp) -> Result<(), Stop> {
        let mut asks = 0;
        while let Some(frame) = self.frames.last_mut() {
            self.left.steps(1)?;
            asks += 1;
            if asks >= ASKS_EVERY {
                asks = 0;
                if time_is_up() {
                    return Err(Stop::Cut("milliseconds"));
                }
            }
            let base = frame.base;
            let code = self.ready.functions[frame.function].code[frame.at];
            frame.at += 1;
            match code {
                Code::Value(i) => self.stack.push(self.ready.values[i as usize].clone()),
                Code::Load(s) => self.stack.push(self.slots[base + s as usize].clone()),
                Code::Store(s) => self.slots[base + s as usize] = self.pop(),
                Code::LoadKeep(k) => self.stack.push(self.keeps[k as usize].clone()),
                Code::StoreKeep(k) => {
                    self.keeps[k as usize] = self.pop();
                    self.changed = true;
                }
                Code::SetAt(s, _) => {
                    let (value, key) = (self.pop(), self.pop());
                    ops::set_at(
                        &mut self.slots[base + s as usize],
                        &key,
                        value,
                        &mut self.left,
                    )?;
                }
                Code::SetKeepAt(k, _) => {
                    let (value, key) = (self.pop(), self.pop());
                    ops::set_at(&mut self.keeps[k as usize], &key, value, &mut self.left)?;
                    self.changed = true;
                }
                Code::Pop => {
                    self.pop();
                }
                Code::Both(op) => {
                    let (b, a) = (self.pop(), self.pop());
                    let out = ops::both(op, &a, &b, &mut self.left)?;
                    self.stack.push(out);
                }
                Code::Not => {
                    let a = self.pop();
                    self.stack.push(Value::Bool(!ops::truth(&a)));
                }
                Code::Neg => {
                    let a = self.pop();
                    self.stack.push(ops::neg(&a)?);
                }
                Code::Field(f) => {
                    let of = self.pop();
                    self.stack.push(ops::field(f, &of, self.world)?);
                }
                Code::At(_) => {
                    let (key, of) = (self.pop(), self.pop());
                    self.stack.push(ops::at(&of, &key)?);
                }
                Code::List(n) => {
                    let values = self.stack.split_off(self.stack.len() - n as usize);
                    let list = ops::list(values, &mut self.left)?;
                    self.stack.push(list);
                }
                Code::Map(n) => {
                    let values = self.stack.split_off(self.stack.len() - 2 * n as usize);
                    let map = ops::map(values, &mut self.left)?;
                    self.stack.push(map);
                }
                Code::Jump(to) => frame.at = to as usize,
                Code::JumpUnless(to) => {
                    if !ops::truth(&self.pop()) {
                        self.jump(to);
                    }
                }
                Code::JumpIfStays(to, decides) => {
                    let stays = self
                        .stack
                        .last()
                        .is_some_and(|v| *v == Value::Bool(decides));
                    match stays {
                        true => self.jump(to),
                        false => {
                            self.pop();
                        }
                    }
                }
                Code::Call(f) => self.enter(f as usize)?,
                Code::Native(native, many) => {
                    let args = self.stack.split_off(self.stack.len() - many as usize);
                    let out = natives::call(native, &args, self.world, &mut self.left)?;
                    self.stack.push(out);
                }
                Code::Return => {
                    self.slots.truncate(base);
                    self.frames.pop();
                }
                Code::Next(s, to) => {
                    let s = base + s as usize;
                    let (list, at) = (&self.slots[s + 1], &self.slots[s + 2]);
                    let next = match (list, at) {
                        (Value::List(l), Value::Number(n)) => {
                            l.get(*n as usize).map(|v| (v.clone(), *n))
                        }
                        _ => None,
                    };
                    match next {
                        Some((value, n)) => {
                            self.slots[s] = value;
                            self.slots[s + 2] = Value::Number(n + 1.0);
                        }
                        None => frame.at = to as usize,
                    }
                }
                Code::Wish(kind, many) => {
                    let (reason, lasts) = (self.pop(), self.pop());
                    let args = self.stack.split_off(self.stack.len() - many as usize);
                    if self.wishes.len() >= self.allowance.wishes {
                        return Err(Stop::Cut("wishes"));
                    }
                    let wished = ops::wished(kind, &args, &lasts, &reason, self.world)?;
                    self.left
                        .bytes(wished.text.len() + wished.reason.len() + 128)?;
                    self.wishes.push(wished);
                }
                Code::Fail => {
                    let Value::Text(why) = self.pop() else {
                        return Err(Stop::Wrong("it failed".into()));
                    };
                    return Err(Stop::Wrong(why.to_string()));
                }
            }
        }
        Ok(())
    }

    fn jump(&mut self, to: u32) {
        if let Some(frame) = self.frames.last_mut() {
            frame.at = to as usize;
        }
    }
}
