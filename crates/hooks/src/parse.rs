//! Tokens to a tree. Depth is bounded, so that whatever walks a tree may recurse.

use crate::ast::{
    Around, Block, Expr, ExprKind, File, Item, ItemKind, Name, Op, Stmt, StmtKind, Type,
};
use crate::fault::{Fault, Span};
use crate::lex::{Placed, Token, WORDS, Word, tokens};
use crate::value::State;

/// Blocks, expressions and types may be so deep within each other.
const DEEPEST: usize = 48;

struct Parser {
    tokens: Vec<Placed>,
    at: usize,
    depth: usize,
}

type Parsed<T> = Result<T, Fault>;

/// # Errors
/// The first thing that does not fit the grammar.
pub fn parse(source: &str) -> Parsed<File> {
    let mut p = Parser {
        tokens: tokens(source)?,
        at: 0,
        depth: 0,
    };
    let mut items = Vec::new();
    p.newlines();
    while *p.token() != Token::End {
        items.push(p.item()?);
        p.newlines();
    }
    let tail = p.tokens[p.at].lead.clone();
    Ok(File { items, tail })
}

fn shown(token: &Token) -> String {
    match token {
        Token::Name(n) => format!("{n:?}"),
        Token::Number(_) => "a number".into(),
        Token::Time(_) => "a time".into(),
        Token::Text(_) => "a text".into(),
        Token::Word(w) => {
            let found = WORDS.iter().find(|(_, word)| word == w);
            format!("the word {:?}", found.map_or("", |(n, _)| n))
        }
        Token::Sign(s) => format!("{s:?}"),
        Token::Newline => "the end of the line".into(),
        Token::End => "the end of the file".into(),
    }
}

impl Parser {
    fn token(&self) -> &Token {
        &self.tokens[self.at].token
    }

    fn span(&self) -> Span {
        self.tokens[self.at].at
    }

    fn before(&self) -> Span {
        self.tokens[self.at.saturating_sub(1)].at
    }

    fn next(&mut self) -> Token {
        let token = self.token().clone();
        // The last token is the end: there is nothing behind it.
        self.at = (self.at + 1).min(self.tokens.len() - 1);
        token
    }

    fn is(&self, sign: &str) -> bool {
        matches!(self.token(), Token::Sign(s) if *s == sign)
    }

    fn is_word(&self, word: Word) -> bool {
        *self.token() == Token::Word(word)
    }

    fn takes(&mut self, sign: &str) -> bool {
        let is = self.is(sign);
        if is {
            self.next();
        }
        is
    }

    fn takes_word(&mut self, word: Word) -> bool {
        let is = self.is_word(word);
        if is {
            self.next();
        }
        is
    }

    fn odd<T>(&self, wanted: &str) -> Parsed<T> {
        let what = format!("{wanted} is wanted, not {}", shown(self.token()));
        Err(Fault::new(self.span(), what))
    }

    fn wants(&mut self, sign: &str) -> Parsed<()> {
        match self.takes(sign) {
            true => Ok(()),
            false => self.odd(&format!("{sign:?}")),
        }
    }

    fn newlines(&mut self) {
        while *self.token() == Token::Newline {
            self.next();
        }
    }

    fn deeper<T>(&mut self, f: impl FnOnce(&mut Parser) -> Parsed<T>) -> Parsed<T> {
        if self.depth >= DEEPEST {
            return Err(
                Fault::new(self.span(), format!("nested more than {DEEPEST} deep"))
                    .hint("give a part of it a name, or put it into a function"),
            );
        }
        self.depth += 1;
        let out = f(self);
        self.depth -= 1;
        out
    }

    fn name(&mut self, wanted: &str) -> Parsed<Name> {
        let at = self.span();
        match self.token().clone() {
            Token::Name(text) => {
                self.next();
                Ok(Name { text, at })
            }
            Token::Word(_) => {
                let what = format!(
                    "{wanted} is wanted, {} has a meaning of its own",
                    shown(self.token())
                );
                Err(Fault::new(at, what))
            }
            _ => self.odd(wanted),
        }
    }

    fn around(&self) -> Around {
        let placed = &self.tokens[self.at];
        Around {
            lead: placed.lead.clone(),
            trail: None,
            gap: placed.gap,
        }
    }

    /// The end of a statement; what is commented behind it.
    fn ends(&mut self) -> Parsed<Option<String>> {
        match self.token() {
            Token::Newline => {
                let trail = self.tokens[self.at].trail.clone();
                self.next();
                Ok(trail)
            }
            Token::End | Token::Sign("}") => Ok(None),
            _ => self.odd("the end of the line"),
        }
    }

    fn item(&mut self) -> Parsed<Item> {
        let (mut around, at) = (self.around(), self.span());
        let kind = match self.token() {
            Token::Word(Word::Keep) => {
                self.next();
                let name = self.name("a name")?;
                self.wants(":")?;
                ItemKind::Keep(name, self.kind()?)
            }
            Token::Word(Word::Const) => {
                self.next();
                let name = self.name("a name")?;
                self.wants("=")?;
                ItemKind::Const(name, self.expr()?)
            }
            Token::Word(Word::Fn) => {
                self.next();
                let name = self.name("a function's name")?;
                self.wants("(")?;
                let params = self.list(")", |p| {
                    let name = p.name("a parameter's name")?;
                    p.wants(":")?;
                    Ok((name, p.kind()?))
                })?;
                let gives = if self.takes("->") {
                    self.kind()?
                } else {
                    Type::Nothing
                };
                let body = self.block()?;
                ItemKind::Fn {
                    name,
                    params,
                    gives,
                    body,
                }
            }
            Token::Word(Word::On) => {
                self.next();
                let point = self.name("what the hook waits for")?;
                let every = match self.takes_word(Word::Every) {
                    true => Some(self.expr()?),
                    false => None,
                };
                let mut params = Vec::new();
                if self.takes("(") {
                    params = self.list(")", |p| p.name("a parameter's name"))?;
                }
                let body = self.block()?;
                ItemKind::On {
                    point,
                    every,
                    params,
                    body,
                }
            }
            _ => {
                let what = format!(
                    "keep, const, fn or on is wanted, not {}",
                    shown(self.token())
                );
                return Err(
                    Fault::new(at, what).hint("statements stand within a function or a hook")
                );
            }
        };
        let at = at.to(self.before());
        around.trail = self.ends()?;
        Ok(Item { around, at, kind })
    }

    fn list<T>(
        &mut self,
        end: &str,
        mut one: impl FnMut(&mut Parser) -> Parsed<T>,
    ) -> Parsed<Vec<T>> {
        let mut out = Vec::new();
        while !self.takes(end) {
            out.push(one(self)?);
            if !self.is(end) {
                self.wants(",")?;
            }
        }
        Ok(out)
    }

    fn kind(&mut self) -> Parsed<Type> {
        let at = self.span();
        let name = self.name("a type")?;
        Ok(match name.text.as_str() {
            "bool" => Type::Bool,
            "number" => Type::Number,
            "time" => Type::Time,
            "text" => Type::Text,
            "state" => Type::State,
            "server" => Type::Server,
            "proxy" => Type::Proxy,
            "line" => Type::Line,
            word @ ("list" | "map") => {
                self.wants("<")?;
                let of = Box::new(self.deeper(Parser::kind)?);
                self.wants(">")?;
                if word == "list" {
                    Type::List(of)
                } else {
                    Type::Map(of)
                }
            }
            other => {
                let what = format!("{other:?} is no type");
                return Err(Fault::new(at, what).hint(
                    "types are bool, number, time, text, state, server, proxy, line, list<...> and map<...>",
                ));
            }
        })
    }

    fn block(&mut self) -> Parsed<Block> {
        self.deeper(|p| {
            p.wants("{")?;
            let mut block = Block::default();
            // A comment behind the brace leads the first token; it stays there.
            p.newlines();
            while !p.is("}") {
                if *p.token() == Token::End {
                    return p.odd("\"}\"");
                }
                block.body.push(p.stmt()?);
                p.newlines();
            }
            block.tail = p.tokens[p.at].lead.clone();
            block.end = p.span();
            p.next();
            Ok(block)
        })
    }

    fn stmt(&mut self) -> Parsed<Stmt> {
        let (mut around, at) = (self.around(), self.span());
        let kind = self.stmt_kind()?;
        let at = at.to(self.before());
        around.trail = self.ends()?;
        Ok(Stmt { around, at, kind })
    }

    fn stmt_kind(&mut self) -> Parsed<StmtKind> {
        let Token::Word(word) = self.token().clone() else {
            return self.plain();
        };
        Ok(match word {
            Word::Let | Word::Var => {
                self.next();
                let name = self.name("a name")?;
                let kind = if self.takes(":") {
                    Some(self.kind()?)
                } else {
                    None
                };
                self.wants("=")?;
                StmtKind::Let {
                    name,
                    fixed: word == Word::Let,
                    kind,
                    value: self.expr()?,
                }
            }
            Word::If => {
                self.next();
                let mut cases = vec![(self.expr()?, self.block()?)];
                let mut other = None;
                while self.goes_on_with_else() {
                    if self.takes_word(Word::If) {
                        cases.push((self.expr()?, self.block()?));
                    } else {
                        other = Some(self.block()?);
                        break;
                    }
                }
                StmtKind::If(cases, other)
            }
            Word::For => {
                self.next();
                let name = self.name("a name")?;
                if !self.takes_word(Word::In) {
                    return self.odd("the word \"in\"");
                }
                let list = self.expr()?;
                StmtKind::For(name, list, self.block()?)
            }
            Word::While => {
                self.next();
                let condition = self.expr()?;
                StmtKind::While(condition, self.block()?)
            }
            Word::Break => {
                self.next();
                StmtKind::Break
            }
            Word::Continue => {
                self.next();
                StmtKind::Continue
            }
            Word::Return => {
                self.next();
                let ends = matches!(self.token(), Token::Newline | Token::End) || self.is("}");
                StmtKind::Return(if ends { None } else { Some(self.expr()?) })
            }
            Word::Wish => {
                self.next();
                let name = self.name("what is wished for")?;
                self.wants("(")?;
                let args = self.list(")", Parser::expr)?;
                let lasts = if self.takes_word(Word::For) {
                    Some(self.expr()?)
                } else {
                    None
                };
                let reason = if self.takes_word(Word::Because) {
                    Some(self.expr()?)
                } else {
                    None
                };
                StmtKind::Wish {
                    name,
                    args,
                    lasts,
                    reason,
                }
            }
            Word::Fail => {
                self.next();
                StmtKind::Fail(self.expr()?)
            }
            _ => return self.plain(),
        })
    }

    /// Takes an `else` on this line or the next.
    fn goes_on_with_else(&mut self) -> bool {
        let next = self
            .tokens
            .get(self.at + 1)
            .map(|t| (&t.token, t.lead.is_empty()));
        let plain = self.tokens[self.at].trail.is_none();
        if *self.token() == Token::Newline
            && plain
            && next == Some((&Token::Word(Word::Else), true))
        {
            self.next();
        }
        self.takes_word(Word::Else)
    }

    /// An assignment or an expression.
    fn plain(&mut self) -> Parsed<StmtKind> {
        let expr = self.expr()?;
        if !self.takes("=") {
            return Ok(StmtKind::Expr(expr));
        }
        let at = expr.at;
        let value = self.expr()?;
        match expr.kind {
            ExprKind::Name(text) => Ok(StmtKind::Set(Name { text, at }, value)),
            ExprKind::At(of, key) => match of.kind {
                ExprKind::Name(text) => Ok(StmtKind::SetAt(Name { text, at: of.at }, *key, value)),
                _ => Err(Fault::new(
                    of.at,
                    "only an entry of a named list or map can be set",
                )),
            },
            _ => Err(Fault::new(at, "this cannot be set")
                .hint("a name, or an entry such as seen[\"x\"], can")),
        }
    }

    fn expr(&mut self) -> Parsed<Expr> {
        self.deeper(|p| p.binary(0))
    }

    fn op(&self) -> Option<Op> {
        Some(match self.token() {
            Token::Word(Word::Or) => Op::Or,
            Token::Word(Word::And) => Op::And,
            Token::Sign(s) => match *s {
                "==" => Op::Eq,
                "!=" => Op::Ne,
                "<" => Op::Lt,
                "<=" => Op::Le,
                ">" => Op::Gt,
                ">=" => Op::Ge,
                "+" => Op::Add,
                "-" => Op::Sub,
                "*" => Op::Mul,
                "/" => Op::Div,
                _ => return None,
            },
            _ => return None,
        })
    }

    fn binary(&mut self, above: u8) -> Parsed<Expr> {
        let mut left = self.unary()?;
        let mut chain = 0;
        while let Some(op) = self.op().filter(|op| op.binds() > above) {
            // A long chain leans to the left and is as deep as it is long.
            chain += 1;
            if self.depth + chain > DEEPEST {
                return Err(Fault::new(self.span(), "a chain of too many operators")
                    .hint("give a part of it a name"));
            }
            self.next();
            let right = self.deeper(|p| p.binary(op.binds()))?;
            let compares = |e: &Expr| matches!(e.kind, ExprKind::Both(o, ..) if o.binds() == 4);
            if op.binds() == 4 && compares(&left) {
                return Err(Fault::new(left.at.to(right.at), "comparisons do not chain")
                    .hint("write: a < b and b < c"));
            }
            let at = left.at.to(right.at);
            left = Expr {
                at,
                kind: ExprKind::Both(op, Box::new(left), Box::new(right)),
            };
        }
        Ok(left)
    }

    fn unary(&mut self) -> Parsed<Expr> {
        let at = self.span();
        if self.takes_word(Word::Not) {
            // Binds weaker than a comparison, tighter than and.
            let of = self.deeper(|p| p.binary(3))?;
            let at = at.to(of.at);
            return Ok(Expr {
                at,
                kind: ExprKind::Not(Box::new(of)),
            });
        }
        if self.takes("-") {
            let of = self.deeper(Parser::unary)?;
            let at = at.to(of.at);
            return Ok(Expr {
                at,
                kind: ExprKind::Neg(Box::new(of)),
            });
        }
        self.postfix()
    }

    fn postfix(&mut self) -> Parsed<Expr> {
        let mut left = self.primary()?;
        let mut chain = 0;
        loop {
            chain += 1;
            if self.depth + chain > DEEPEST {
                return self.odd("a shorter chain");
            }
            let kind = if self.takes(".") {
                let name = self.name("a field's name")?;
                ExprKind::Field(Box::new(left.clone()), name)
            } else if self.takes("[") {
                let key = self.expr()?;
                self.wants("]")?;
                ExprKind::At(Box::new(left.clone()), Box::new(key))
            } else {
                return Ok(left);
            };
            let at = left.at.to(self.before());
            left = Expr { at, kind };
        }
    }

    fn primary(&mut self) -> Parsed<Expr> {
        let at = self.span();
        let kind = match self.token().clone() {
            Token::Number(n) => {
                self.next();
                ExprKind::Number(n)
            }
            Token::Time(ms) => {
                self.next();
                ExprKind::Time(ms)
            }
            Token::Text(t) => {
                self.next();
                ExprKind::Text(t)
            }
            Token::Word(word) => {
                let kind = match word {
                    Word::True => ExprKind::Bool(true),
                    Word::False => ExprKind::Bool(false),
                    Word::Ready => ExprKind::State(State::Ready),
                    Word::Draining => ExprKind::State(State::Draining),
                    Word::Gone => ExprKind::State(State::Gone),
                    _ => return self.odd("an expression"),
                };
                self.next();
                kind
            }
            Token::Name(text) => {
                self.next();
                if self.takes("(") {
                    let args = self.list(")", Parser::expr)?;
                    ExprKind::Call(Name { text, at }, args)
                } else {
                    ExprKind::Name(text)
                }
            }
            Token::Sign("(") => {
                self.next();
                let inner = self.expr()?;
                self.wants(")")?;
                inner.kind
            }
            Token::Sign("[") => {
                self.next();
                ExprKind::List(self.list("]", Parser::expr)?)
            }
            Token::Sign("{") => {
                self.next();
                self.newlines();
                let entries = self.list("}", |p| {
                    p.newlines();
                    let key = p.expr()?;
                    p.wants(":")?;
                    let value = p.expr()?;
                    p.newlines();
                    Ok((key, value))
                })?;
                ExprKind::Map(entries)
            }
            _ => return self.odd("an expression"),
        };
        let at = at.to(self.before());
        Ok(Expr { at, kind })
    }
}
