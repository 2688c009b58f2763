//! The plain interpreter: walks a checked program as it stands. Slower, and the oracle that the machine is tested
//! against; nothing else runs it. Its steps are counted otherwise, its results are the same.

use crate::hir::{Expr, ExprKind, Place, Program, Stmt, StmtKind};
use crate::natives::{self, Left, Stop};
use crate::ops::{self, Wished};
use crate::value::{Value, World};

struct Tree<'a> {
    program: &'a Program,
    world: &'a World,
    keeps: Vec<Value>,
    wishes: Vec<Wished>,
    left: Left,
    depth: usize,
}

/// How a statement ended.
enum Flow {
    On,
    Break,
    Continue,
    Return(Value),
}

/// Runs a function; what it wished and what is kept after it.
///
/// # Errors
/// Why it ended early.
pub fn walk(
    program: &Program,
    function: usize,
    args: Vec<Value>,
    keeps: &[Value],
    world: &World,
    left: Left,
) -> Result<(Vec<Wished>, Vec<Value>), Stop> {
    let mut tree = Tree {
        program,
        world,
        keeps: keeps.to_vec(),
        wishes: Vec::new(),
        left,
        depth: 0,
    };
    tree.call(function, args)?;
    Ok((tree.wishes, tree.keeps))
}

impl Tree<'_> {
    fn call(&mut self, function: usize, args: Vec<Value>) -> Result<Value, Stop> {
        if self.depth >= 64 {
            return Err(Stop::Cut("calls within calls"));
        }
        self.depth += 1;
        let f = &self.program.functions[function];
        let mut slots = args;
        slots.resize(f.slots, Value::Nothing);
        let flow = self.block(&f.body, &mut slots)?;
        self.depth -= 1;
        Ok(match flow {
            Flow::Return(value) => value,
            _ => Value::Nothing,
        })
    }

    fn block(&mut self, body: &[Stmt], slots: &mut Vec<Value>) -> Result<Flow, Stop> {
        for s in body {
            match self.stmt(s, slots)? {
                Flow::On => {}
                other => return Ok(other),
            }
        }
        Ok(Flow::On)
    }

    fn stmt(&mut self, s: &Stmt, slots: &mut Vec<Value>) -> Result<Flow, Stop> {
        self.left.steps(1)?;
        match &s.kind {
            StmtKind::Set(place, value) => {
                let value = self.expr(value, slots)?;
                match place {
                    Place::Slot(i) => slots[*i] = value,
                    Place::Keep(i) => self.keeps[*i] = value,
                }
            }
            StmtKind::SetAt(place, key, value, _) => {
                let key = self.expr(key, slots)?;
                let value = self.expr(value, slots)?;
                let of = match place {
                    Place::Slot(i) => &mut slots[*i],
                    Place::Keep(i) => &mut self.keeps[*i],
                };
                ops::set_at(of, &key, value, &mut self.left)?;
            }
            StmtKind::If(cases, other) => {
                for (condition, body) in cases {
                    if ops::truth(&self.expr(condition, slots)?) {
                        return self.block(body, slots);
                    }
                }
                return self.block(other, slots);
            }
            StmtKind::For { slot, list, body } => {
                let Value::List(list) = self.expr(list, slots)? else {
                    return Ok(Flow::On);
                };
                for value in list.iter() {
                    self.left.steps(1)?;
                    slots[*slot] = value.clone();
                    match self.block(body, slots)? {
                        Flow::Break => break,
                        Flow::Return(value) => return Ok(Flow::Return(value)),
                        Flow::On | Flow::Continue => {}
                    }
                }
            }
            StmtKind::While(condition, body) => {
                while ops::truth(&self.expr(condition, slots)?) {
                    match self.block(body, slots)? {
                        Flow::Break => break,
                        Flow::Return(value) => return Ok(Flow::Return(value)),
                        Flow::On | Flow::Continue => {}
                    }
                }
            }
            StmtKind::Break => return Ok(Flow::Break),
            StmtKind::Continue => return Ok(Flow::Continue),
            StmtKind::Return(value) => return Ok(Flow::Return(self.expr(value, slots)?)),
            StmtKind::Wish {
                kind,
                args,
                lasts,
                reason,
            } => {
                let args = self.all(args, slots)?;
                let lasts = self.expr(lasts, slots)?;
                let reason = self.expr(reason, slots)?;
                if self.wishes.len() >= 64 {
                    return Err(Stop::Cut("wishes"));
                }
                let wished = ops::wished(*kind, &args, &lasts, &reason, self.world)?;
                self.wishes.push(wished);
            }
            StmtKind::Fail(why) => {
                let why = self.expr(why, slots)?;
                return Err(Stop::Wrong(why.shown(self.world)));
            }
            StmtKind::Expr(e) => {
                self.expr(e, slots)?;
            }
        }
        Ok(Flow::On)
    }

    fn all(&mut self, exprs: &[Expr], slots: &mut Vec<Value>) -> Result<Vec<Value>, Stop> {
        exprs.iter().map(|e| self.expr(e, slots)).collect()
    }

    fn expr(&mut self, e: &Expr, slots: &mut Vec<Value>) -> Result<Value, Stop> {
        self.left.steps(1)?;
        Ok(match &e.kind {
            ExprKind::Value(v) => v.clone(),
            ExprKind::Load(Place::Slot(i)) => slots[*i].clone(),
            ExprKind::Load(Place::Keep(i)) => self.keeps[*i].clone(),
            ExprKind::List(entries) => {
                let values = self.all(entries, slots)?;
                ops::list(values, &mut self.left)?
            }
            ExprKind::Map(entries) => {
                let mut values = Vec::new();
                for (k, v) in entries {
                    values.push(self.expr(k, slots)?);
                    values.push(self.expr(v, slots)?);
                }
                ops::map(values, &mut self.left)?
            }
            ExprKind::Both(op, a, b) => {
                let (a, b) = (self.expr(a, slots)?, self.expr(b, slots)?);
                ops::both(*op, &a, &b, &mut self.left)?
            }
            ExprKind::And(a, b) => match ops::truth(&self.expr(a, slots)?) {
                true => self.expr(b, slots)?,
                false => Value::Bool(false),
            },
            ExprKind::Or(a, b) => match ops::truth(&self.expr(a, slots)?) {
                true => Value::Bool(true),
                false => self.expr(b, slots)?,
            },
            ExprKind::Not(a) => Value::Bool(!ops::truth(&self.expr(a, slots)?)),
            ExprKind::Neg(a) => ops::neg(&self.expr(a, slots)?)?,
            ExprKind::Field(f, of) => {
                let of = self.expr(of, slots)?;
                ops::field(*f, &of, self.world)?
            }
            ExprKind::At(of, key, _) => {
                let (of, key) = (self.expr(of, slots)?, self.expr(key, slots)?);
                ops::at(&of, &key)?
            }
            ExprKind::Call(f, args) => {
                let args = self.all(args, slots)?;
                self.call(*f, args)?
            }
            ExprKind::Native(native, args) => {
                let args = self.all(args, slots)?;
                natives::call(*native, &args, self.world, &mut self.left)?
            }
        })
    }
}
