//! The one form that a source is written in. What is printed parses to the same tree, comments and all.

use crate::ast::{Around, Block, Expr, ExprKind, File, ItemKind, Stmt, StmtKind, Type};
use crate::lex::UNITS;
use std::fmt::Write;

/// Prints a tree.
pub fn print(file: &File) -> String {
    let mut p = Printer::default();
    for (i, item) in file.items.iter().enumerate() {
        // Functions and hooks stand apart; what is short may stand together.
        let long = |k: &ItemKind| matches!(k, ItemKind::Fn { .. } | ItemKind::On { .. });
        let apart = i > 0 && (long(&item.kind) || long(&file.items[i - 1].kind));
        let mut around = item.around.clone();
        around.gap = i > 0 && (around.gap || apart);
        p.lead(&around);
        p.indent();
        match &item.kind {
            ItemKind::Keep(name, kind) => {
                let _ = write!(p.out, "keep {}: {kind}", name.text);
            }
            ItemKind::Const(name, value) => {
                let _ = write!(p.out, "const {} = {}", name.text, expr(value, 0));
            }
            ItemKind::Fn {
                name,
                params,
                gives,
                body,
            } => {
                let params: Vec<String> = params
                    .iter()
                    .map(|(n, t)| format!("{}: {t}", n.text))
                    .collect();
                let _ = write!(p.out, "fn {}({})", name.text, params.join(", "));
                if *gives != Type::Nothing {
                    let _ = write!(p.out, " -> {gives}");
                }
                p.out.push(' ');
                p.block(body);
            }
            ItemKind::On {
                point,
                every,
                params,
                body,
            } => {
                let _ = write!(p.out, "on {}", point.text);
                if let Some(every) = every {
                    let _ = write!(p.out, " every {}", expr(every, 0));
                }
                if !params.is_empty() {
                    let names: Vec<&str> = params.iter().map(|n| n.text.as_str()).collect();
                    let _ = write!(p.out, "({})", names.join(", "));
                }
                p.out.push(' ');
                p.block(body);
            }
        }
        p.trail(&around);
    }
    p.comments(&file.tail);
    p.out
}

#[derive(Default)]
struct Printer {
    out: String,
    depth: usize,
}

impl Printer {
    fn indent(&mut self) {
        self.out.push_str(&"    ".repeat(self.depth));
    }

    fn comments(&mut self, lines: &[String]) {
        for line in lines {
            self.indent();
            let _ = writeln!(self.out, "#{line}");
        }
    }

    fn lead(&mut self, around: &Around) {
        if around.gap {
            self.out.push('\n');
        }
        self.comments(&around.lead);
    }

    fn trail(&mut self, around: &Around) {
        if let Some(text) = &around.trail {
            let _ = write!(self.out, " #{text}");
        }
        self.out.push('\n');
    }

    fn block(&mut self, block: &Block) {
        self.out.push_str("{\n");
        self.depth += 1;
        for (i, s) in block.body.iter().enumerate() {
            self.stmt(s, i == 0);
        }
        self.comments(&block.tail);
        self.depth -= 1;
        self.indent();
        self.out.push('}');
    }

    fn stmt(&mut self, s: &Stmt, first: bool) {
        let mut around = s.around.clone();
        around.gap &= !first;
        self.lead(&around);
        self.indent();
        match &s.kind {
            StmtKind::Let {
                name,
                fixed,
                kind,
                value,
            } => {
                let word = if *fixed { "let" } else { "var" };
                let _ = write!(self.out, "{word} {}", name.text);
                if let Some(kind) = kind {
                    let _ = write!(self.out, ": {kind}");
                }
                let _ = write!(self.out, " = {}", expr(value, 0));
            }
            StmtKind::Set(name, value) => {
                let _ = write!(self.out, "{} = {}", name.text, expr(value, 0));
            }
            StmtKind::SetAt(name, key, value) => {
                let _ = write!(
                    self.out,
                    "{}[{}] = {}",
                    name.text,
                    expr(key, 0),
                    expr(value, 0)
                );
            }
            StmtKind::If(cases, other) => {
                for (i, (condition, body)) in cases.iter().enumerate() {
                    let word = if i == 0 { "if" } else { " else if" };
                    let _ = write!(self.out, "{word} {} ", expr(condition, 0));
                    self.block(body);
                }
                if let Some(other) = other {
                    self.out.push_str(" else ");
                    self.block(other);
                }
            }
            StmtKind::For(name, list, body) => {
                let _ = write!(self.out, "for {} in {} ", name.text, expr(list, 0));
                self.block(body);
            }
            StmtKind::While(condition, body) => {
                let _ = write!(self.out, "while {} ", expr(condition, 0));
                self.block(body);
            }
            StmtKind::Break => self.out.push_str("break"),
            StmtKind::Continue => self.out.push_str("continue"),
            StmtKind::Return(None) => self.out.push_str("return"),
            StmtKind::Return(Some(value)) => {
                let _ = write!(self.out, "return {}", expr(value, 0));
            }
            StmtKind::Wish {
                name,
                args,
                lasts,
                reason,
            } => {
                let _ = write!(self.out, "wish {}({})", name.text, exprs(args));
                if let Some(lasts) = lasts {
                    let _ = write!(self.out, " for {}", expr(lasts, 0));
                }
                if let Some(reason) = reason {
                    let _ = write!(self.out, " because {}", expr(reason, 0));
                }
            }
            StmtKind::Fail(why) => {
                let _ = write!(self.out, "fail {}", expr(why, 0));
            }
            StmtKind::Expr(e) => self.out.push_str(&expr(e, 0)),
        }
        self.trail(&around);
    }
}

fn exprs(all: &[Expr]) -> String {
    all.iter()
        .map(|e| expr(e, 0))
        .collect::<Vec<_>>()
        .join(", ")
}

/// The largest unit in which a time is a number that reads back the same.
fn time(ms: f64) -> String {
    let fits = |(_, of): &&(&str, f64)| {
        let n = ms / of;
        n >= 1.0 && n.fract() == 0.0 && n * of == ms
    };
    match UNITS.iter().rev().find(fits) {
        Some((unit, of)) => format!("{}{unit}", ms / of),
        None => format!("{ms}ms"),
    }
}

fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '\n' => out.push_str("\\n"),
            '\t' => out.push_str("\\t"),
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

/// An expression as an operand of something that binds so tightly.
fn expr(e: &Expr, above: u8) -> String {
    let (text, binds) = match &e.kind {
        ExprKind::Bool(b) => (b.to_string(), 9),
        ExprKind::Number(n) => (format!("{n}"), 9),
        ExprKind::Time(ms) => (time(*ms), 9),
        ExprKind::Text(t) => (quoted(t), 9),
        ExprKind::State(s) => (s.word().to_string(), 9),
        ExprKind::List(l) => (format!("[{}]", exprs(l)), 9),
        ExprKind::Map(m) => {
            let entry = |(k, v): &(Expr, Expr)| format!("{}: {}", expr(k, 0), expr(v, 0));
            let entries: Vec<String> = m.iter().map(entry).collect();
            (format!("{{{}}}", entries.join(", ")), 9)
        }
        ExprKind::Name(n) => (n.clone(), 9),
        ExprKind::Call(n, args) => (format!("{}({})", n.text, exprs(args)), 9),
        ExprKind::Field(of, name) => (format!("{}.{}", expr(of, 8), name.text), 8),
        ExprKind::At(of, key) => (format!("{}[{}]", expr(of, 8), expr(key, 0)), 8),
        ExprKind::Neg(of) => (format!("-{}", expr(of, 7)), 7),
        ExprKind::Not(of) => (format!("not {}", expr(of, 3)), 3),
        ExprKind::Both(op, a, b) => {
            let binds = op.binds();
            // Comparisons do not chain.
            let left = if binds == 4 { 5 } else { binds };
            (
                format!("{} {} {}", expr(a, left), op.sign(), expr(b, binds + 1)),
                binds,
            )
        }
    };
    match binds < above {
        true => format!("({text})"),
        false => text,
    }
}
