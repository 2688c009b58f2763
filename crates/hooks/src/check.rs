//! A tree to a checked program: every name known, every type fitting, every path of a function that gives
//! something returning, every wish allowed where it is made, also through functions. All faults are told at once.

use crate::ast::{self, Block, ExprKind as A, File, ItemKind, Name, StmtKind as S, Type};
use crate::fault::{Fault, Span};
use crate::hir::{
    Expr, ExprKind as H, Field, Function, Hook, KeepSlot, Op, Place, Program, Stmt, StmtKind,
};
use crate::natives::Native;
use crate::points::{Point, WishKind};
use crate::value::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names that one function may have, functions that a file may have, and faults that are told.
const MOST_SLOTS: usize = 250;
const MOST_FUNCTIONS: usize = 500;
const MOST_KEPT: usize = 64;
const MOST_FAULTS: usize = 20;
/// Timers run no more often than that.
const SOONEST_MS: f64 = 100.0;

/// What a function does beside giving a value.
#[derive(Clone, Debug, Default)]
struct Effects {
    writes: Option<Span>,
    wishes: BTreeMap<WishKind, Span>,
    calls: BTreeSet<usize>,
}

#[derive(Clone)]
struct Known {
    index: usize,
    params: Vec<Type>,
    gives: Type,
}

struct Local {
    name: String,
    slot: usize,
    kind: Type,
    fixed: bool,
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
    keeps: Vec<KeepSlot>,
    consts: BTreeMap<String, (Value, Type)>,
    functions: BTreeMap<String, Known>,
    effects: Vec<Effects>,
    // Of the function at hand:
    locals: Vec<Local>,
    free: usize,
    slots: usize,
    loops: usize,
    gives: Type,
    now: Effects,
}

/// # Errors
/// All that is wrong, in the order of the source.
pub fn check(file: &File) -> Result<Program, Vec<Fault>> {
    let mut c = Checker::default();
    let (functions, hooks) = c.file(file);
    match c.faults.is_empty() {
        true => Ok(Program {
            keeps: c.keeps,
            functions,
            hooks,
        }),
        false => {
            c.faults.sort_by_key(|f| f.at.from);
            c.faults.truncate(MOST_FAULTS);
            Err(c.faults)
        }
    }
}

/// Whether one may stand where the other is wanted.
fn fits(is: &Type, wanted: &Type) -> bool {
    match (is, wanted) {
        (Type::Any, _) | (_, Type::Any) => *is != Type::Nothing && *wanted != Type::Nothing,
        (Type::List(a), Type::List(b)) | (Type::Map(a), Type::Map(b)) => fits(a, b),
        (a, b) => a == b,
    }
}

/// The one that says more.
fn fuller(a: Type, b: &Type) -> Type {
    match (a, b) {
        (Type::Any, b) => b.clone(),
        (Type::List(a), Type::List(b)) => Type::List(Box::new(fuller(*a, b))),
        (Type::Map(a), Type::Map(b)) => Type::Map(Box::new(fuller(*a, b))),
        (a, _) => a,
    }
}

fn is_open(t: &Type) -> bool {
    match t {
        Type::Any => true,
        Type::List(of) | Type::Map(of) => is_open(of),
        _ => false,
    }
}

fn can_be_kept(t: &Type) -> bool {
    match t {
        Type::List(of) | Type::Map(of) => can_be_kept(of),
        Type::Bool | Type::Number | Type::Time | Type::Text | Type::State => true,
        _ => false,
    }
}

/// What a kept name begins with.
fn begins(t: &Type) -> Value {
    match t {
        Type::Bool => Value::Bool(false),
        Type::Number | Type::Time => Value::Number(0.0),
        Type::Text => Value::text(""),
        Type::State => Value::State(crate::value::State::Ready),
        Type::List(_) => Value::list(Vec::new()),
        Type::Map(_) => Value::Map(Arc::new(BTreeMap::new())),
        _ => Value::Nothing,
    }
}

/// The nearest of some words, for a hint.
fn nearest<'a>(word: &str, among: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |other: &str| {
        let (a, b): (Vec<char>, Vec<char>) = (word.chars().collect(), other.chars().collect());
        let mut row: Vec<usize> = (0..=b.len()).collect();
        for (i, x) in a.iter().enumerate() {
            let mut last = i;
            row[0] = i + 1;
            for (j, y) in b.iter().enumerate() {
                let next = (last + usize::from(x != y))
                    .min(row[j] + 1)
                    .min(row[j + 1] + 1);
                last = row[j + 1];
                row[j + 1] = next;
            }
        }
        row[b.len()]
    };
    let most = 1 + word.len() / 4;
    let all = among.map(|w| (distance(w), w)).filter(|(d, _)| *d <= most);
    all.min().map(|(_, w)| w)
}

fn field(of: &Type, name: &str) -> Option<(Field, Type)> {
    use Field as F;
    let fields: &[(&str, Field, Type)] = match of {
        Type::Server => &[
            ("name", F::ServerName, Type::Text),
            ("zone", F::ServerZone, Type::Text),
            ("state", F::ServerState, Type::State),
            ("listed", F::ServerListed, Type::Number),
            ("weight", F::ServerWeight, Type::Number),
            ("shut", F::ServerShut, Type::Bool),
            ("part", F::ServerPart, Type::Number),
            ("age", F::ServerAge, Type::Time),
            ("tries", F::ServerTries, Type::Number),
            ("failed", F::ServerFailed, Type::Number),
            ("time", F::ServerTime, Type::Time),
            ("in_flight", F::ServerInFlight, Type::Number),
            ("stale", F::ServerStale, Type::Bool),
        ],
        Type::Proxy => &[
            ("name", F::ProxyName, Type::Text),
            ("zone", F::ProxyZone, Type::Text),
            ("part", F::ProxyPart, Type::Number),
            ("unanswered", F::ProxyUnanswered, Type::Number),
            ("silent", F::ProxySilent, Type::Bool),
            ("contrary", F::ProxyContrary, Type::Bool),
        ],
        Type::Line => &[
            ("server", F::LineServer, Type::Text),
            ("weight", F::LineWeight, Type::Number),
            ("open", F::LineOpen, Type::Bool),
            ("before", F::LineBefore, Type::Number),
        ],
        _ => &[],
    };
    let found = fields.iter().find(|(n, ..)| *n == name);
    found.map(|(_, f, t)| (*f, t.clone()))
}

/// Field names of a type, for hints and the reference.
pub fn fields_told(of: &Type) -> &'static str {
    match of {
        Type::Server => {
            "name, zone, state, listed, weight, shut, part, age, tries, failed, time, in_flight and stale"
        }
        Type::Proxy => "name, zone, part, unanswered, silent and contrary",
        Type::Line => "server, weight, open and before",
        _ => "none",
    }
}

impl Checker {
    fn fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    fn file(&mut self, file: &File) -> (Vec<Function>, Vec<Hook>) {
        // Names first: functions may call each other in any order.
        let mut taken: BTreeMap<&str, Span> = BTreeMap::new();
        for item in &file.items {
            let name = match &item.kind {
                ItemKind::Keep(n, _) | ItemKind::Const(n, _) | ItemKind::Fn { name: n, .. } => n,
                ItemKind::On { .. } => continue,
            };
            if Native::named(&name.text).is_some() {
                let what = format!("{:?} is a name of the standard library", name.text);
                self.fault(Fault::new(name.at, what));
            }
            if taken.insert(&name.text, name.at).is_some() {
                self.fault(Fault::new(
                    name.at,
                    format!("{:?} is there already", name.text),
                ));
            }
        }
        let mut many = 0;
        for item in &file.items {
            match &item.kind {
                ItemKind::Keep(name, kind) => self.keep(name, kind),
                ItemKind::Const(name, value) => self.constant(name, value),
                ItemKind::Fn {
                    name,
                    params,
                    gives,
                    ..
                } => {
                    let known = Known {
                        index: many,
                        params: params.iter().map(|(_, t)| t.clone()).collect(),
                        gives: gives.clone(),
                    };
                    self.functions.insert(name.text.clone(), known);
                    many += 1;
                }
                ItemKind::On { .. } => many += 1,
            }
            if many > MOST_FUNCTIONS {
                let what = format!("over {MOST_FUNCTIONS} functions and hooks");
                self.fault(Fault::new(item.at, what));
                return (Vec::new(), Vec::new());
            }
        }
        // Functions take their numbers in the order of the file, hooks come behind them.
        let mut functions = Vec::new();
        for item in &file.items {
            if let ItemKind::Fn {
                name,
                params,
                gives,
                body,
            } = &item.kind
            {
                let at = functions.len();
                if let Some(known) = self.functions.get_mut(&name.text) {
                    known.index = at;
                }
                functions.push((name, params, gives, body, item.at));
            }
        }
        let mut out: Vec<Function> = Vec::new();
        for (name, params, gives, body, at) in functions {
            let params: Vec<(&Name, Type)> = params.iter().map(|(n, t)| (n, t.clone())).collect();
            let function = self.function(&name.text, &params, gives, body, at);
            out.push(function);
        }
        let mut hooks = Vec::new();
        for item in &file.items {
            if let ItemKind::On {
                point,
                every,
                params,
                body,
            } = &item.kind
                && let Some(hook) =
                    self.hook(point, every.as_ref(), params, body, item.at, &mut out)
            {
                hooks.push(hook);
            }
        }
        self.check_effects(&hooks);
        if hooks.is_empty() && self.faults.is_empty() {
            let fault = Fault::new(Span::default(), "no hook is in this file");
            self.fault(fault.hint("a hook begins with: on timer every 10s {"));
        }
        (out, hooks)
    }

    fn keep(&mut self, name: &Name, kind: &Type) {
        if !can_be_kept(kind) {
            let what = format!("a {kind} cannot be kept: it is of one moment");
            self.fault(Fault::new(name.at, what).hint("keep its name"));
        }
        if self.keeps.len() >= MOST_KEPT {
            self.fault(Fault::new(
                name.at,
                format!("over {MOST_KEPT} names are kept"),
            ));
        }
        self.keeps.push(KeepSlot {
            name: name.text.as_str().into(),
            kind: kind.clone(),
            begins: begins(kind),
        });
    }

    fn constant(&mut self, name: &Name, value: &ast::Expr) {
        let negative = |v: &ast::Expr| match &v.kind {
            A::Number(n) => Some((Value::Number(-n), Type::Number)),
            A::Time(n) => Some((Value::Number(-n), Type::Time)),
            _ => None,
        };
        let found = match &value.kind {
            A::Number(n) => Some((Value::Number(*n), Type::Number)),
            A::Time(n) => Some((Value::Number(*n), Type::Time)),
            A::Text(t) => Some((Value::text(t.as_str()), Type::Text)),
            A::Bool(b) => Some((Value::Bool(*b), Type::Bool)),
            A::State(s) => Some((Value::State(*s), Type::State)),
            A::Neg(of) => negative(of),
            _ => None,
        };
        match found {
            Some(found) => {
                self.consts.insert(name.text.clone(), found);
            }
            None => self.fault(Fault::new(
                value.at,
                "a number, a time, a text, a state, true or false is wanted",
            )),
        }
    }

    fn hook(
        &mut self,
        point: &Name,
        every: Option<&ast::Expr>,
        params: &[Name],
        body: &Block,
        at: Span,
        out: &mut Vec<Function>,
    ) -> Option<Hook> {
        let Some(found) = Point::named(&point.text) else {
            let names = Point::ALL.map(Point::name);
            let fault = Fault::new(point.at, format!("no hook waits for {:?}", point.text));
            let near = nearest(&point.text, names.into_iter());
            self.fault(fault.hint(match near {
                Some(near) => format!("did you mean {near}?"),
                None => format!("there are {}", names.join(", ")),
            }));
            return None;
        };
        let mut every_ms = 0.0;
        match (found, every) {
            (Point::Timer, Some(e)) => match e.kind {
                A::Time(ms) if ms >= SOONEST_MS => every_ms = ms,
                _ => self.fault(Fault::new(
                    e.at,
                    "a time of at least 100ms is wanted, such as 10s",
                )),
            },
            (Point::Timer, None) => {
                self.fault(
                    Fault::new(point.at, "how often is not said")
                        .hint("write: on timer every 10s {"),
                );
            }
            (_, Some(e)) => self.fault(Fault::new(e.at, "only a timer has a time")),
            (_, None) => {}
        }
        let gives = found.params();
        if gives.len() != params.len() {
            let what = format!("{} gives {} values", found.name(), gives.len());
            self.fault(Fault::new(point.at, what).hint(format!(
                "write: on {}{} {{",
                found.name(),
                found.params_told()
            )));
            return None;
        }
        let params: Vec<(&Name, Type)> = params.iter().zip(gives).collect();
        let name = format!("on {}", found.name());
        let function = self.function(&name, &params, &Type::Nothing, body, at);
        out.push(function);
        Some(Hook {
            point: found,
            every_ms,
            function: out.len() - 1,
            at,
        })
    }

    fn function(
        &mut self,
        name: &str,
        params: &[(&Name, Type)],
        gives: &Type,
        body: &Block,
        at: Span,
    ) -> Function {
        (self.free, self.slots, self.loops) = (0, 0, 0);
        self.locals.clear();
        self.gives = gives.clone();
        self.now = Effects::default();
        for (name, kind) in params {
            self.declare(name, kind.clone(), true);
        }
        let checked = self.block(body);
        if *gives != Type::Nothing && !returns(&checked) {
            self.fault(Fault::new(
                body.end,
                format!("{name} gives a {gives}, but its end can be reached without a return"),
            ));
        }
        let effects = std::mem::take(&mut self.now);
        self.effects.push(effects);
        Function {
            name: name.into(),
            params: params.len(),
            slots: self.slots,
            body: checked,
            at,
        }
    }

    /// What hooks do through all that they call, held against where they run.
    fn check_effects(&mut self, hooks: &[Hook]) {
        for hook in hooks {
            let (mut todo, mut seen) = (vec![hook.function], BTreeSet::new());
            while let Some(f) = todo.pop() {
                let Some(effects) = self.effects.get(f).filter(|_| seen.insert(f)) else {
                    continue;
                };
                todo.extend(&effects.calls);
                let effects = effects.clone();
                if let Some(at) = effects
                    .writes
                    .filter(|_| hook.point == Point::BeforePublication)
                {
                    let what = "before a publication what is kept may be read, not changed";
                    self.fault(Fault::new(at, what).hint("change it in after_publication"));
                }
                for (kind, at) in effects.wishes {
                    if let Err(why) = kind.fits(hook.point) {
                        self.fault(
                            Fault::new(at, format!("{}() cannot be wished for here", kind.name()))
                                .hint(why),
                        );
                    }
                }
            }
        }
    }

    fn declare(&mut self, name: &Name, kind: Type, fixed: bool) -> usize {
        let known = self.locals.iter().any(|l| l.name == name.text)
            || self.consts.contains_key(&name.text)
            || self.keeps.iter().any(|k| *k.name == *name.text);
        if known {
            self.fault(
                Fault::new(name.at, format!("{:?} is there already", name.text))
                    .hint("take another name"),
            );
        }
        let slot = self.room();
        self.locals.push(Local {
            name: name.text.clone(),
            slot,
            kind,
            fixed,
        });
        slot
    }

    fn room(&mut self) -> usize {
        self.free += 1;
        self.slots = self.slots.max(self.free);
        if self.free == MOST_SLOTS {
            self.fault(Fault::new(
                Span::default(),
                format!("over {MOST_SLOTS} names in one function"),
            ));
        }
        self.free - 1
    }

    fn block(&mut self, block: &Block) -> Vec<Stmt> {
        let (names, free) = (self.locals.len(), self.free);
        let out = block.body.iter().map(|s| self.stmt(s)).collect();
        self.locals.truncate(names);
        self.free = free;
        out
    }

    fn stmt(&mut self, stmt: &ast::Stmt) -> Stmt {
        Stmt {
            at: stmt.at,
            kind: self.stmt_kind(stmt),
        }
    }

    fn stmt_kind(&mut self, stmt: &ast::Stmt) -> StmtKind {
        match &stmt.kind {
            S::Let {
                name,
                fixed,
                kind,
                value,
            } => {
                let (checked, found) = self.expr(value);
                let kind = match kind {
                    Some(kind) => {
                        self.wants(value.at, &found, kind);
                        kind.clone()
                    }
                    None => {
                        if found == Type::Nothing {
                            self.fault(Fault::new(value.at, "this gives nothing"));
                        } else if is_open(&found) && found != Type::Any {
                            let fault = Fault::new(value.at, "of what this is is not said");
                            self.fault(
                                fault.hint(format!("write: var {}: list<text> = []", name.text)),
                            );
                        }
                        found
                    }
                };
                let slot = self.declare(name, kind, *fixed);
                StmtKind::Set(Place::Slot(slot), checked)
            }
            S::Set(name, value) => {
                let (checked, found) = self.expr(value);
                match self.target(name) {
                    Some((place, kind)) => {
                        self.wants(value.at, &found, &kind);
                        StmtKind::Set(place, checked)
                    }
                    None => StmtKind::Expr(checked),
                }
            }
            S::SetAt(name, key, value) => {
                let (key_checked, key_found) = self.expr(key);
                let (checked, found) = self.expr(value);
                let Some((place, kind)) = self.target(name) else {
                    return StmtKind::Expr(checked);
                };
                let is_map = matches!(kind, Type::Map(_));
                match &kind {
                    Type::List(of) => {
                        self.wants(key.at, &key_found, &Type::Number);
                        self.wants(value.at, &found, of);
                    }
                    Type::Map(of) => {
                        self.wants(key.at, &key_found, &Type::Text);
                        self.wants(value.at, &found, of);
                    }
                    other => {
                        let what = format!("{:?} is a {other}: it has no entries", name.text);
                        self.fault(Fault::new(name.at, what));
                    }
                }
                StmtKind::SetAt(place, key_checked, checked, is_map)
            }
            S::If(cases, other) => {
                let cases = cases.iter().map(|(c, b)| {
                    let condition = self.wanted(c, &Type::Bool);
                    (condition, self.block(b))
                });
                let cases = cases.collect();
                let other = other.as_ref().map_or(Vec::new(), |b| self.block(b));
                StmtKind::If(cases, other)
            }
            S::For(name, list, body) => {
                let (checked, found) = self.expr(list);
                let of = match found {
                    Type::List(of) => *of,
                    other => {
                        let fault =
                            Fault::new(list.at, format!("a list is wanted, this is a {other}"));
                        self.fault(match other {
                            Type::Map(_) => fault.hint("go through keys(...)"),
                            Type::Number => fault.hint("go through range(...)"),
                            _ => fault,
                        });
                        Type::Any
                    }
                };
                let (names, free) = (self.locals.len(), self.free);
                let slot = self.declare(name, of, true);
                // The list, and the place in it.
                self.room();
                self.room();
                self.loops += 1;
                let body = self.block(body);
                self.loops -= 1;
                self.locals.truncate(names);
                self.free = free;
                StmtKind::For {
                    slot,
                    list: checked,
                    body,
                }
            }
            S::While(condition, body) => {
                let condition = self.wanted(condition, &Type::Bool);
                self.loops += 1;
                let body = self.block(body);
                self.loops -= 1;
                StmtKind::While(condition, body)
            }
            S::Break | S::Continue => {
                if self.loops == 0 {
                    self.fault(Fault::new(stmt.at, "this is in no loop"));
                }
                match stmt.kind {
                    S::Break => StmtKind::Break,
                    _ => StmtKind::Continue,
                }
            }
            S::Return(value) => {
                let gives = self.gives.clone();
                match value {
                    Some(value) if gives == Type::Nothing => {
                        let (checked, _) = self.expr(value);
                        self.fault(Fault::new(value.at, "nothing is to be returned here"));
                        StmtKind::Return(checked)
                    }
                    Some(value) => StmtKind::Return(self.wanted(value, &gives)),
                    None => {
                        if gives != Type::Nothing {
                            self.fault(Fault::new(stmt.at, format!("a {gives} is to be returned")));
                        }
                        StmtKind::Return(constant(stmt.at, Value::Nothing))
                    }
                }
            }
            S::Wish {
                name,
                args,
                lasts,
                reason,
            } => self.wish(stmt.at, name, args, lasts.as_ref(), reason.as_ref()),
            S::Fail(why) => StmtKind::Fail(self.wanted(why, &Type::Text)),
            S::Expr(expr) => {
                let (checked, found) = self.expr(expr);
                if found != Type::Nothing && self.faults.is_empty() {
                    let fault =
                        Fault::new(expr.at, format!("this gives a {found} that nobody takes"));
                    self.fault(match &expr.kind {
                        A::Both(ast::Op::Eq, ..) => fault.hint("to set a name, write one ="),
                        A::Call(n, _) => match Native::named(&n.text) {
                            Some(Native::Append) => fault.hint("write: xs = append(xs, x)"),
                            Some(Native::Without) => fault.hint("write: m = without(m, key)"),
                            _ => fault,
                        },
                        _ => fault,
                    });
                }
                StmtKind::Expr(checked)
            }
        }
    }

    fn wish(
        &mut self,
        at: Span,
        name: &Name,
        args: &[ast::Expr],
        lasts: Option<&ast::Expr>,
        reason: Option<&ast::Expr>,
    ) -> StmtKind {
        let kind = WishKind::named(&name.text).unwrap_or_else(|| {
            let names = WishKind::ALL.map(WishKind::name);
            let fault = Fault::new(name.at, format!("nobody can wish for {:?}", name.text));
            let near = nearest(&name.text, names.into_iter());
            self.fault(fault.hint(match near {
                Some(near) => format!("did you mean {near}?"),
                None => format!("there are {}", names.join(", ")),
            }));
            WishKind::Alert
        });
        let params = kind.params();
        let mut checked = Vec::new();
        if params.len() != args.len() {
            let what = format!(
                "{}() takes {} values, not {}",
                kind.name(),
                params.len(),
                args.len()
            );
            self.fault(Fault::new(at, what));
        }
        for (i, arg) in args.iter().enumerate() {
            checked.push(match params.get(i) {
                Some(wanted) => self.wanted(arg, wanted),
                None => self.expr(arg).0,
            });
        }
        self.now.wishes.entry(kind).or_insert(name.at);
        let lasts = match lasts {
            Some(lasts) => self.wanted(lasts, &Type::Time),
            // As long as the book says.
            None => constant(at, Value::Nothing),
        };
        let reason = match reason {
            Some(reason) => self.wanted(reason, &Type::Text),
            None => constant(at, Value::text("")),
        };
        StmtKind::Wish {
            kind,
            args: checked,
            lasts,
            reason,
        }
    }

    /// Where an assignment goes, and what is there.
    fn target(&mut self, name: &Name) -> Option<(Place, Type)> {
        if let Some(l) = self.locals.iter().rev().find(|l| l.name == name.text) {
            let (place, kind, fixed) = (Place::Slot(l.slot), l.kind.clone(), l.fixed);
            if fixed {
                let fault = Fault::new(name.at, format!("{:?} stays as it is", name.text));
                self.fault(fault.hint("a name that changes is begun with: var"));
            }
            return Some((place, kind));
        }
        if let Some(at) = self.keeps.iter().position(|k| *k.name == *name.text) {
            self.now.writes.get_or_insert(name.at);
            return Some((Place::Keep(at), self.keeps[at].kind.clone()));
        }
        let fault = match self.consts.contains_key(&name.text) {
            true => Fault::new(name.at, format!("{:?} is a constant", name.text)),
            false => self.unknown(name.at, &name.text),
        };
        self.fault(fault);
        None
    }

    fn unknown(&self, at: Span, name: &str) -> Fault {
        let locals = self.locals.iter().map(|l| l.name.as_str());
        let keeps = self.keeps.iter().map(|k| &*k.name);
        let all = locals
            .chain(keeps)
            .chain(self.consts.keys().map(String::as_str));
        let fault = Fault::new(at, format!("{name:?} is not known"));
        match nearest(name, all) {
            Some(near) => fault.hint(format!("did you mean {near}?")),
            None => fault,
        }
    }

    fn wants(&mut self, at: Span, is: &Type, wanted: &Type) {
        if !fits(is, wanted) {
            let fault = Fault::new(at, format!("a {wanted} is wanted, this is a {is}"));
            self.fault(match (is, wanted) {
                (Type::Number, Type::Time) => fault.hint("times have units: 250ms, 10s, 5m"),
                (Type::Time, Type::Number) => fault.hint("seconds(...) makes a number of it"),
                (_, Type::Text) => fault.hint("text(...) makes a text of it"),
                (Type::Text, Type::Server) => fault.hint("server(...) finds it by name"),
                _ => fault,
            });
        }
    }

    fn wanted(&mut self, expr: &ast::Expr, wanted: &Type) -> Expr {
        let (checked, found) = self.expr(expr);
        self.wants(expr.at, &found, wanted);
        checked
    }

    fn expr(&mut self, expr: &ast::Expr) -> (Expr, Type) {
        let (kind, found) = self.expr_kind(expr);
        (Expr { at: expr.at, kind }, found)
    }

    fn expr_kind(&mut self, expr: &ast::Expr) -> (H, Type) {
        match &expr.kind {
            A::Bool(b) => (H::Value(Value::Bool(*b)), Type::Bool),
            A::Number(n) => (H::Value(Value::Number(*n)), Type::Number),
            A::Time(n) => (H::Value(Value::Number(*n)), Type::Time),
            A::Text(t) => (H::Value(Value::text(t.as_str())), Type::Text),
            A::State(s) => (H::Value(Value::State(*s)), Type::State),
            A::List(entries) => {
                let mut of = Type::Any;
                let entries = entries.iter().map(|e| {
                    let (checked, found) = self.expr(e);
                    self.wants(e.at, &found, &of);
                    of = fuller(std::mem::take(&mut of), &found);
                    checked
                });
                let entries: Vec<Expr> = entries.collect();
                (H::List(entries), Type::List(Box::new(of)))
            }
            A::Map(entries) => {
                let mut of = Type::Any;
                let entries = entries.iter().map(|(k, v)| {
                    let key = self.wanted(k, &Type::Text);
                    let (checked, found) = self.expr(v);
                    self.wants(v.at, &found, &of);
                    of = fuller(std::mem::take(&mut of), &found);
                    (key, checked)
                });
                let entries: Vec<(Expr, Expr)> = entries.collect();
                (H::Map(entries), Type::Map(Box::new(of)))
            }
            A::Name(name) => self.name(expr.at, name),
            A::Call(name, args) => self.call(expr.at, name, args),
            A::Field(of, name) => {
                let (checked, found) = self.expr(of);
                match field(&found, &name.text) {
                    Some((f, kind)) => (H::Field(f, Box::new(checked)), kind),
                    None => {
                        if found != Type::Any {
                            let fault =
                                Fault::new(name.at, format!("a {found} has no {:?}", name.text));
                            self.fault(fault.hint(format!("it has {}", fields_told(&found))));
                        }
                        (H::Value(Value::Nothing), Type::Any)
                    }
                }
            }
            A::At(of, key) => {
                let (checked, found) = self.expr(of);
                match found {
                    Type::List(inner) => {
                        let key = self.wanted(key, &Type::Number);
                        (H::At(Box::new(checked), Box::new(key), false), *inner)
                    }
                    Type::Map(inner) => {
                        let key = self.wanted(key, &Type::Text);
                        (H::At(Box::new(checked), Box::new(key), true), *inner)
                    }
                    other => {
                        self.expr(key);
                        if other != Type::Any {
                            self.fault(Fault::new(of.at, format!("a {other} has no entries")));
                        }
                        (H::Value(Value::Nothing), Type::Any)
                    }
                }
            }
            A::Not(of) => (H::Not(Box::new(self.wanted(of, &Type::Bool))), Type::Bool),
            A::Neg(of) => {
                let (checked, found) = self.expr(of);
                if !matches!(found, Type::Number | Type::Time | Type::Any) {
                    self.fault(Fault::new(
                        of.at,
                        format!("a number or a time is wanted, this is a {found}"),
                    ));
                }
                (H::Neg(Box::new(checked)), found)
            }
            A::Both(op, a, b) => self.both(expr.at, *op, a, b),
        }
    }

    fn name(&mut self, at: Span, name: &str) -> (H, Type) {
        if let Some(l) = self.locals.iter().rev().find(|l| l.name == name) {
            return (H::Load(Place::Slot(l.slot)), l.kind.clone());
        }
        if let Some((value, kind)) = self.consts.get(name) {
            return (H::Value(value.clone()), kind.clone());
        }
        if let Some(at) = self.keeps.iter().position(|k| *k.name == *name) {
            return (H::Load(Place::Keep(at)), self.keeps[at].kind.clone());
        }
        let fault = match self.functions.contains_key(name) || Native::named(name).is_some() {
            true => Fault::new(at, format!("{name:?} is a function"))
                .hint(format!("to call it, write: {name}()")),
            false => self.unknown(at, name),
        };
        self.fault(fault);
        (H::Value(Value::Nothing), Type::Any)
    }

    fn call(&mut self, at: Span, name: &Name, args: &[ast::Expr]) -> (H, Type) {
        if let Some(known) = self.functions.get(&name.text).cloned() {
            if known.params.len() != args.len() {
                let what = format!(
                    "{:?} takes {} values, not {}",
                    name.text,
                    known.params.len(),
                    args.len()
                );
                self.fault(Fault::new(at, what));
            }
            let checked = args
                .iter()
                .enumerate()
                .map(|(i, a)| match known.params.get(i) {
                    Some(wanted) => self.wanted(a, wanted),
                    None => self.expr(a).0,
                });
            let checked: Vec<Expr> = checked.collect();
            self.now.calls.insert(known.index);
            return (H::Call(known.index, checked), known.gives);
        }
        let checked: Vec<(Expr, Type)> = args.iter().map(|a| self.expr(a)).collect();
        let Some(native) = Native::named(&name.text) else {
            let own = self.functions.keys().map(String::as_str);
            let all = own.chain(Native::ALL.iter().map(|(_, n, _)| *n));
            let mut fault = Fault::new(name.at, format!("there is no function {:?}", name.text));
            if WishKind::named(&name.text).is_some() {
                fault = fault.hint(format!("write: wish {}(...)", name.text));
            } else if let Some(near) = nearest(&name.text, all) {
                fault = fault.hint(format!("did you mean {near}?"));
            }
            self.fault(fault);
            return (H::Value(Value::Nothing), Type::Any);
        };
        let kinds: Vec<Type> = checked.iter().map(|(_, t)| t.clone()).collect();
        let checked: Vec<Expr> = checked.into_iter().map(|(e, _)| e).collect();
        match native.gives(&kinds) {
            Some(gives) => (H::Native(native, checked), gives),
            None => {
                // What was wrong before would be told again in other words.
                if !kinds.iter().any(is_open) || self.faults.is_empty() {
                    let told: Vec<String> = kinds.iter().map(Type::to_string).collect();
                    let what = format!("{}({}) does not fit", name.text, told.join(", "));
                    self.fault(Fault::new(at, what).hint(native.says()));
                }
                (H::Value(Value::Nothing), Type::Any)
            }
        }
    }

    fn both(&mut self, at: Span, op: ast::Op, a: &ast::Expr, b: &ast::Expr) -> (H, Type) {
        use ast::Op as O;
        if matches!(op, O::And | O::Or) {
            let a = Box::new(self.wanted(a, &Type::Bool));
            let b = Box::new(self.wanted(b, &Type::Bool));
            let kind = if op == O::And {
                H::And(a, b)
            } else {
                H::Or(a, b)
            };
            return (kind, Type::Bool);
        }
        let (left, left_kind) = self.expr(a);
        let (right, right_kind) = self.expr(b);
        if left_kind == Type::Any || right_kind == Type::Any {
            // Told already where it came from.
            return (H::Value(Value::Nothing), Type::Any);
        }
        let found = operator(op, &left_kind, &right_kind);
        let Some((op, kind)) = found else {
            let what = format!("{left_kind} {} {right_kind} means nothing", op.sign());
            let fault = Fault::new(at, what);
            self.fault(match (&left_kind, &right_kind) {
                (Type::Text, _) | (_, Type::Text) if op == O::Add => {
                    fault.hint("text(...) makes a text of a value")
                }
                (Type::Number, Type::Time) | (Type::Time, Type::Number) => {
                    fault.hint("times have units: 250ms, 10s, 5m")
                }
                _ => fault,
            });
            return (H::Value(Value::Nothing), Type::Any);
        };
        (H::Both(op, Box::new(left), Box::new(right)), kind)
    }
}

/// Which operator is meant, and what it gives.
fn operator(op: ast::Op, a: &Type, b: &Type) -> Option<(Op, Type)> {
    use Type::{List, Number, Text, Time};
    use ast::Op as O;
    let measures = |t: &Type| matches!(t, Number | Time);
    Some(match (op, a, b) {
        (O::Add, Text, Text) => (Op::Join, Text),
        (O::Add, List(x), List(y)) if fits(x, y) => (Op::Chain, fuller(a.clone(), b)),
        (O::Add, x, y) if x == y && measures(x) => (Op::Add, x.clone()),
        (O::Sub, x, y) if x == y && measures(x) => (Op::Sub, x.clone()),
        (O::Mul, Number, Number) => (Op::Mul, Number),
        (O::Mul, Number, Time) | (O::Mul, Time, Number) => (Op::Mul, Time),
        (O::Div, x, Number) if measures(x) => (Op::Div, x.clone()),
        (O::Div, Time, Time) => (Op::Div, Number),
        (O::Eq, x, y) if fits(x, y) => (Op::Eq, Type::Bool),
        (O::Ne, x, y) if fits(x, y) => (Op::Ne, Type::Bool),
        (O::Lt, Text, Text) => (Op::TextLt, Type::Bool),
        (O::Le, Text, Text) => (Op::TextLe, Type::Bool),
        (O::Gt, Text, Text) => (Op::TextGt, Type::Bool),
        (O::Ge, Text, Text) => (Op::TextGe, Type::Bool),
        (O::Lt, x, y) if x == y && measures(x) => (Op::Lt, Type::Bool),
        (O::Le, x, y) if x == y && measures(x) => (Op::Le, Type::Bool),
        (O::Gt, x, y) if x == y && measures(x) => (Op::Gt, Type::Bool),
        (O::Ge, x, y) if x == y && measures(x) => (Op::Ge, Type::Bool),
        _ => return None,
    })
}

fn constant(at: Span, value: Value) -> Expr {
    Expr {
        at,
        kind: H::Value(value),
    }
}

/// Whether the end of these statements cannot be reached.
fn returns(body: &[Stmt]) -> bool {
    body.iter().any(|s| match &s.kind {
        StmtKind::Return(_) | StmtKind::Fail(_) => true,
        StmtKind::If(cases, other) => returns(other) && cases.iter().all(|(_, b)| returns(b)),
        _ => false,
    })
}
