//! A checked program to code for a stack machine. A frame has slots for names; loops over lists keep the list and
//! the place in it in slots of their own.

use crate::fault::Span;
use crate::hir::{
    Expr, ExprKind, Field, Function, Hook, KeepSlot, Op, Place, Program, Stmt, StmtKind,
};
use crate::natives::Native;
use crate::points::WishKind;
use crate::value::Value;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Code {
    /// One of the constants.
    Value(u32),
    Load(u16),
    Store(u16),
    LoadKeep(u16),
    StoreKeep(u16),
    /// Key and value are on the stack; true: a map's.
    SetAt(u16, bool),
    SetKeepAt(u16, bool),
    Pop,
    Both(Op),
    Not,
    Neg,
    Field(Field),
    At(bool),
    List(u32),
    Map(u32),
    Jump(u32),
    /// Takes the condition.
    JumpUnless(u32),
    /// For `and` and `or`: the value stays if it decides.
    JumpIfStays(u32, bool),
    Call(u16),
    Native(Native, u8),
    Return,
    /// The list is in the slot behind, the place in it in the next: takes the next entry or jumps.
    Next(u16, u32),
    Wish(WishKind, u8),
    Fail,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Compiled {
    pub name: Arc<str>,
    pub params: usize,
    pub slots: usize,
    pub code: Vec<Code>,
    /// Where each came from.
    pub places: Vec<Span>,
}

/// A program that can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Ready {
    pub keeps: Vec<KeepSlot>,
    pub values: Vec<Value>,
    pub functions: Vec<Compiled>,
    pub hooks: Vec<Hook>,
}

#[derive(Default)]
struct Compiler {
    values: Vec<Value>,
    code: Vec<Code>,
    places: Vec<Span>,
    /// Jumps out of the loops at hand that are not set yet, and where each loop goes on.
    breaks: Vec<Vec<usize>>,
    goes_on: Vec<u32>,
}

pub fn compile(program: &Program) -> Ready {
    let mut c = Compiler::default();
    let functions = program.functions.iter().map(|f| c.function(f)).collect();
    Ready {
        keeps: program.keeps.clone(),
        functions,
        hooks: program.hooks.clone(),
        values: c.values,
    }
}

impl Compiler {
    fn function(&mut self, f: &Function) -> Compiled {
        (self.code, self.places) = Default::default();
        self.block(&f.body);
        self.value(Value::Nothing, f.at);
        self.put(Code::Return, f.at);
        Compiled {
            name: f.name.clone(),
            params: f.params,
            slots: f.slots,
            code: std::mem::take(&mut self.code),
            places: std::mem::take(&mut self.places),
        }
    }

    fn put(&mut self, code: Code, at: Span) -> usize {
        self.code.push(code);
        self.places.push(at);
        self.code.len() - 1
    }

    fn here(&self) -> u32 {
        self.code.len() as u32
    }

    fn value(&mut self, value: Value, at: Span) {
        let same =
            |v: &Value| std::mem::discriminant(v) == std::mem::discriminant(&value) && *v == value;
        let found = self.values.iter().position(same);
        let index = found.unwrap_or_else(|| {
            self.values.push(value);
            self.values.len() - 1
        });
        self.put(Code::Value(index as u32), at);
    }

    /// Sets a jump that was put before to go here.
    fn land(&mut self, jump: usize) {
        let here = self.here();
        match &mut self.code[jump] {
            Code::Jump(to)
            | Code::JumpUnless(to)
            | Code::JumpIfStays(to, _)
            | Code::Next(_, to) => *to = here,
            _ => {}
        }
    }

    fn block(&mut self, body: &[Stmt]) {
        body.iter().for_each(|s| self.stmt(s));
    }

    fn stmt(&mut self, s: &Stmt) {
        match &s.kind {
            StmtKind::Set(place, value) => {
                self.expr(value);
                match place {
                    Place::Slot(slot) => self.put(Code::Store(*slot as u16), s.at),
                    Place::Keep(keep) => self.put(Code::StoreKeep(*keep as u16), s.at),
                };
            }
            StmtKind::SetAt(place, key, value, map) => {
                self.expr(key);
                self.expr(value);
                match place {
                    Place::Slot(slot) => self.put(Code::SetAt(*slot as u16, *map), s.at),
                    Place::Keep(keep) => self.put(Code::SetKeepAt(*keep as u16, *map), s.at),
                };
            }
            StmtKind::If(cases, other) => {
                let mut ends = Vec::new();
                for (condition, body) in cases {
                    self.expr(condition);
                    let unless = self.put(Code::JumpUnless(0), condition.at);
                    self.block(body);
                    ends.push(self.put(Code::Jump(0), s.at));
                    self.land(unless);
                }
                self.block(other);
                ends.into_iter().for_each(|j| self.land(j));
            }
            StmtKind::For { slot, list, body } => {
                self.expr(list);
                self.put(Code::Store(*slot as u16 + 1), s.at);
                self.value(Value::Number(0.0), s.at);
                self.put(Code::Store(*slot as u16 + 2), s.at);
                let begin = self.here();
                let next = self.put(Code::Next(*slot as u16, 0), s.at);
                self.looped(begin, body, s.at);
                self.land(next);
                self.end_loop();
            }
            StmtKind::While(condition, body) => {
                let begin = self.here();
                self.expr(condition);
                let unless = self.put(Code::JumpUnless(0), condition.at);
                self.looped(begin, body, s.at);
                self.land(unless);
                self.end_loop();
            }
            StmtKind::Break => {
                let jump = self.put(Code::Jump(0), s.at);
                if let Some(breaks) = self.breaks.last_mut() {
                    breaks.push(jump);
                }
            }
            StmtKind::Continue => {
                let to = self.goes_on.last().copied().unwrap_or(0);
                self.put(Code::Jump(to), s.at);
            }
            StmtKind::Return(value) => {
                self.expr(value);
                self.put(Code::Return, s.at);
            }
            StmtKind::Wish {
                kind,
                args,
                lasts,
                reason,
            } => {
                args.iter().for_each(|a| self.expr(a));
                self.expr(lasts);
                self.expr(reason);
                self.put(Code::Wish(*kind, args.len() as u8), s.at);
            }
            StmtKind::Fail(why) => {
                self.expr(why);
                self.put(Code::Fail, s.at);
            }
            StmtKind::Expr(e) => {
                self.expr(e);
                self.put(Code::Pop, s.at);
            }
        }
    }

    fn looped(&mut self, begin: u32, body: &[Stmt], at: Span) {
        self.breaks.push(Vec::new());
        self.goes_on.push(begin);
        self.block(body);
        self.put(Code::Jump(begin), at);
    }

    fn end_loop(&mut self) {
        self.goes_on.pop();
        for jump in self.breaks.pop().unwrap_or_default() {
            self.land(jump);
        }
    }

    fn expr(&mut self, e: &Expr) {
        match &e.kind {
            ExprKind::Value(v) => self.value(v.clone(), e.at),
            ExprKind::Load(Place::Slot(s)) => {
                self.put(Code::Load(*s as u16), e.at);
            }
            ExprKind::Load(Place::Keep(k)) => {
                self.put(Code::LoadKeep(*k as u16), e.at);
            }
            ExprKind::List(entries) => {
                entries.iter().for_each(|x| self.expr(x));
                self.put(Code::List(entries.len() as u32), e.at);
            }
            ExprKind::Map(entries) => {
                for (k, v) in entries {
                    self.expr(k);
                    self.expr(v);
                }
                self.put(Code::Map(entries.len() as u32), e.at);
            }
            ExprKind::Both(op, a, b) => {
                self.expr(a);
                self.expr(b);
                self.put(Code::Both(*op), e.at);
            }
            ExprKind::And(a, b) | ExprKind::Or(a, b) => {
                self.expr(a);
                let decides = matches!(e.kind, ExprKind::Or(..));
                let jump = self.put(Code::JumpIfStays(0, decides), e.at);
                self.expr(b);
                self.land(jump);
            }
            ExprKind::Not(a) => {
                self.expr(a);
                self.put(Code::Not, e.at);
            }
            ExprKind::Neg(a) => {
                self.expr(a);
                self.put(Code::Neg, e.at);
            }
            ExprKind::Field(f, a) => {
                self.expr(a);
                self.put(Code::Field(*f), e.at);
            }
            ExprKind::At(a, key, map) => {
                self.expr(a);
                self.expr(key);
                self.put(Code::At(*map), e.at);
            }
            ExprKind::Call(f, args) => {
                args.iter().for_each(|a| self.expr(a));
                self.put(Code::Call(*f as u16), e.at);
            }
            ExprKind::Native(native, args) => {
                args.iter().for_each(|a| self.expr(a));
                self.put(Code::Native(*native, args.len() as u8), e.at);
            }
        }
    }
}
