//! Hooks: what operators write to change behaviour without a rebuild. Free of I/O, clock and chance.
//!
//! How it is called: [`load`] makes a program of a source, checked whole; [`host::Host`] holds the running set,
//! says which hooks are due for what happened, runs them within their allowances and disciplines offenders;
//! [`book::Book`] merges what they wish for, whatever the order in which they were loaded, and says what is in
//! force. Nothing that a hook does goes past the book: it is an input to the module and the guard like any other.

pub mod ast;
pub mod book;
pub mod check;
pub mod code;
pub mod discipline;
pub mod fault;
pub mod hir;
pub mod host;
pub mod lex;
pub mod natives;
pub mod ops;
pub mod parse;
pub mod points;
pub mod print;
pub mod run;
pub mod tree;
pub mod value;

use fault::Fault;

/// A source to a program that can run.
///
/// # Errors
/// All that is wrong with it.
pub fn load(source: &str) -> Result<code::Ready, Vec<Fault>> {
    let file = parse::parse(source).map_err(|f| vec![f])?;
    let program = check::check(&file)?;
    Ok(code::compile(&program))
}

/// A source in its one form.
///
/// # Errors
/// What does not parse; a comment that would be lost, since it stands within an expression.
pub fn format(source: &str) -> Result<String, Fault> {
    let printed = print::print(&parse::parse(source)?);
    let comments = |source: &str| -> Result<Vec<(String, fault::Span)>, Fault> {
        let tokens = lex::tokens(source)?;
        let all = tokens.into_iter().flat_map(|t| {
            let at = t.at;
            t.lead.into_iter().chain(t.trail).map(move |c| (c, at))
        });
        Ok(all.collect())
    };
    let (before, mut after) = (comments(source)?, comments(&printed)?);
    for (text, at) in before {
        match after.iter().position(|(t, _)| *t == text) {
            Some(found) => {
                after.swap_remove(found);
            }
            None => {
                let fault = Fault::new(at, format!("the comment \"#{text}\" would be lost"));
                return Err(fault.hint("put it on a line of its own before the statement"));
            }
        }
    }
    Ok(printed)
}
