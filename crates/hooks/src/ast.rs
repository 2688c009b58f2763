//! A source as a tree, with what the formatter needs: comments and blank lines.

use crate::fault::Span;

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Type {
    Bool,
    Number,
    Time,
    Text,
    State,
    Server,
    Proxy,
    Line,
    List(Box<Type>),
    /// Keys are texts.
    Map(Box<Type>),
    /// What a function gives that returns nothing.
    #[default]
    Nothing,
    /// Of an empty list or map: fits any.
    Any,
}

/// What stands around an item or a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Around {
    pub lead: Vec<String>,
    pub trail: Option<String>,
    pub gap: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct File {
    pub items: Vec<Item>,
    /// Comments behind the last item.
    pub tail: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    pub around: Around,
    pub at: Span,
    pub kind: ItemKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ItemKind {
    Keep(Name, Type),
    Const(Name, Expr),
    Fn {
        name: Name,
        params: Vec<(Name, Type)>,
        gives: Type,
        body: Block,
    },
    On {
        point: Name,
        every: Option<Expr>,
        params: Vec<Name>,
        body: Block,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Name {
    pub text: String,
    pub at: Span,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Block {
    pub body: Vec<Stmt>,
    /// Comments before the closing brace.
    pub tail: Vec<String>,
    pub end: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Stmt {
    pub around: Around,
    pub at: Span,
    pub kind: StmtKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StmtKind {
    Let {
        name: Name,
        fixed: bool,
        kind: Option<Type>,
        value: Expr,
    },
    Set(Name, Expr),
    SetAt(Name, Expr, Expr),
    If(Vec<(Expr, Block)>, Option<Block>),
    For(Name, Expr, Block),
    While(Expr, Block),
    Break,
    Continue,
    Return(Option<Expr>),
    Wish {
        name: Name,
        args: Vec<Expr>,
        lasts: Option<Expr>,
        reason: Option<Expr>,
    },
    Fail(Expr),
    Expr(Expr),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub at: Span,
    pub kind: ExprKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Or,
    And,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    Add,
    Sub,
    Mul,
    Div,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ExprKind {
    Bool(bool),
    Number(f64),
    Time(f64),
    Text(String),
    State(crate::value::State),
    List(Vec<Expr>),
    Map(Vec<(Expr, Expr)>),
    Name(String),
    Call(Name, Vec<Expr>),
    Field(Box<Expr>, Name),
    At(Box<Expr>, Box<Expr>),
    Not(Box<Expr>),
    Neg(Box<Expr>),
    Both(Op, Box<Expr>, Box<Expr>),
}

impl Op {
    pub fn sign(self) -> &'static str {
        match self {
            Op::Or => "or",
            Op::And => "and",
            Op::Eq => "==",
            Op::Ne => "!=",
            Op::Lt => "<",
            Op::Le => "<=",
            Op::Gt => ">",
            Op::Ge => ">=",
            Op::Add => "+",
            Op::Sub => "-",
            Op::Mul => "*",
            Op::Div => "/",
        }
    }

    /// The higher, the tighter.
    pub fn binds(self) -> u8 {
        match self {
            Op::Or => 1,
            Op::And => 2,
            Op::Eq | Op::Ne | Op::Lt | Op::Le | Op::Gt | Op::Ge => 4,
            Op::Add | Op::Sub => 5,
            Op::Mul | Op::Div => 6,
        }
    }
}

impl std::fmt::Display for Type {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Type::Bool => f.write_str("bool"),
            Type::Number => f.write_str("number"),
            Type::Time => f.write_str("time"),
            Type::Text => f.write_str("text"),
            Type::State => f.write_str("state"),
            Type::Server => f.write_str("server"),
            Type::Proxy => f.write_str("proxy"),
            Type::Line => f.write_str("line"),
            Type::List(of) => write!(f, "list<{of}>"),
            Type::Map(of) => write!(f, "map<{of}>"),
            Type::Nothing => f.write_str("nothing"),
            Type::Any => f.write_str("anything"),
        }
    }
}
