//! A checked program: names are slots, operators are of one type, effects are known. Compiled to code, and walked
//! by the plain interpreter that the code is tested against.

use crate::fault::Span;
use crate::natives::Native;
use crate::points::{Point, WishKind};
use crate::value::Value;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    pub keeps: Vec<KeepSlot>,
    pub functions: Vec<Function>,
    pub hooks: Vec<Hook>,
}

/// A name that is kept between runs, and what it begins with.
#[derive(Clone, Debug, PartialEq)]
pub struct KeepSlot {
    pub name: Arc<str>,
    pub kind: crate::ast::Type,
    pub begins: Value,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    pub name: Arc<str>,
    pub params: usize,
    /// Slots that its names take, parameters first.
    pub slots: usize,
    pub body: Vec<Stmt>,
    pub at: Span,
}

/// What runs when something happens: a function of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Hook {
    pub point: Point,
    /// For timers.
    pub every_ms: f64,
    pub function: usize,
    pub at: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Stmt {
    pub at: Span,
    pub kind: StmtKind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    Slot(usize),
    Keep(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub enum StmtKind {
    Set(Place, Expr),
    /// An entry of a list or a map.
    SetAt(Place, Expr, Expr, bool),
    If(Vec<(Expr, Vec<Stmt>)>, Vec<Stmt>),
    /// The list and the place in it have slots of their own, that of the name, after it the two.
    For {
        slot: usize,
        list: Expr,
        body: Vec<Stmt>,
    },
    While(Expr, Vec<Stmt>),
    Break,
    Continue,
    Return(Expr),
    Wish {
        kind: WishKind,
        args: Vec<Expr>,
        lasts: Expr,
        reason: Expr,
    },
    Fail(Expr),
    Expr(Expr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Add,
    Sub,
    Mul,
    Div,
    Join,
    Chain,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    TextLt,
    TextLe,
    TextGt,
    TextGe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    ServerName,
    ServerZone,
    ServerState,
    ServerListed,
    ServerWeight,
    ServerShut,
    ServerPart,
    ServerAge,
    ServerTries,
    ServerFailed,
    ServerTime,
    ServerInFlight,
    ServerStale,
    ProxyName,
    ProxyZone,
    ProxyPart,
    ProxyUnanswered,
    ProxySilent,
    ProxyContrary,
    LineServer,
    LineWeight,
    LineOpen,
    LineBefore,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub at: Span,
    pub kind: ExprKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ExprKind {
    Value(Value),
    Load(Place),
    List(Vec<Expr>),
    Map(Vec<(Expr, Expr)>),
    Both(Op, Box<Expr>, Box<Expr>),
    And(Box<Expr>, Box<Expr>),
    Or(Box<Expr>, Box<Expr>),
    Not(Box<Expr>),
    Neg(Box<Expr>),
    Field(Field, Box<Expr>),
    /// True: of a map.
    At(Box<Expr>, Box<Expr>, bool),
    Call(usize, Vec<Expr>),
    Native(Native, Vec<Expr>),
}
