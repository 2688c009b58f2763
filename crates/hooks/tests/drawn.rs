//! Drawn by chance from seeds: valid programs run alike on the machine and on the plain interpreter, allowances
//! always hold, the formatter keeps the meaning; sources that are mangled or random make no panic anywhere.

use dahliapoint_hooks::natives::{Left, Native, Stop};
use dahliapoint_hooks::run::{Allowance, run};
use dahliapoint_hooks::value::{ServerSeen, State, Value, World};
use dahliapoint_hooks::{check, code, format, load, parse, tree};
use std::fmt::Write;

/// A small generator: the same seed draws the same.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }

    fn one<'a, T: ?Sized>(&mut self, of: &[&'a T]) -> &'a T {
        of[self.below(of.len())]
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Number,
    Time,
    Text,
    Bool,
    State,
    Server,
    Numbers,
    Texts,
    Map,
}

const KINDS: [Kind; 9] = [
    Kind::Number,
    Kind::Time,
    Kind::Text,
    Kind::Bool,
    Kind::State,
    Kind::Server,
    Kind::Numbers,
    Kind::Texts,
    Kind::Map,
];

/// Draws programs that fit their types.
struct Author {
    chance: Chance,
    names: Vec<(String, Kind, bool)>,
    many: usize,
    out: String,
    loops: usize,
}

impl Author {
    fn expr(&mut self, kind: Kind, deep: usize) -> String {
        let known: Vec<String> = self
            .names
            .iter()
            .filter(|n| n.1 == kind)
            .map(|n| n.0.clone())
            .collect();
        if !known.is_empty() && self.chance.below(3) == 0 {
            return known[self.chance.below(known.len())].clone();
        }
        let leaf = deep == 0 || self.chance.below(4) == 0;
        let d = deep.saturating_sub(1);
        let pick = self.chance.below(if leaf { 2 } else { 10 });
        match kind {
            Kind::Number => match pick {
                0 => format!("{}", self.chance.below(20)),
                1 => self.chance.one(&["0.5", "3%", "LIMIT", "seen"]).to_string(),
                2 | 3 => {
                    let op = self.chance.one(&["+", "-", "*", "/"]);
                    format!(
                        "({} {op} {})",
                        self.expr(Kind::Number, d),
                        self.expr(Kind::Number, d)
                    )
                }
                4 => format!("-{}", self.expr(Kind::Number, 0)),
                5 => {
                    let kind = self.chance_of(&[Kind::Text, Kind::Numbers, Kind::Map]);
                    format!("len({})", self.expr(kind, d))
                }
                6 => format!(
                    "{}.{}",
                    self.expr(Kind::Server, d),
                    self.chance.one(&["weight", "tries", "failed", "part"])
                ),
                7 => format!("sum({})", self.expr(Kind::Numbers, d)),
                8 => format!(
                    "get({}, {}, {})",
                    self.expr(Kind::Map, d),
                    self.expr(Kind::Text, d),
                    self.expr(Kind::Number, d)
                ),
                _ => format!(
                    "add({}, {})",
                    self.expr(Kind::Number, d),
                    self.expr(Kind::Number, d)
                ),
            },
            Kind::Time => match pick {
                0 => self.chance.one(&["1s", "250ms", "5m", "2h"]).to_string(),
                1 => "now()".into(),
                2..=5 => format!(
                    "({} + {})",
                    self.expr(Kind::Time, d),
                    self.expr(Kind::Time, d)
                ),
                6 => format!(
                    "({} * {})",
                    self.expr(Kind::Number, d),
                    self.expr(Kind::Time, d)
                ),
                7 => format!("{}.age", self.expr(Kind::Server, d)),
                _ => format!(
                    "max({}, {})",
                    self.expr(Kind::Time, d),
                    self.expr(Kind::Time, d)
                ),
            },
            Kind::Text => match pick {
                0 => self
                    .chance
                    .one(&["\"a\"", "\"x\\ny\"", "\"\"", "\"s1\""])
                    .to_string(),
                1 => "noted".into(),
                2 | 3 => format!(
                    "({} + {})",
                    self.expr(Kind::Text, d),
                    self.expr(Kind::Text, d)
                ),
                4 => format!("{}.name", self.expr(Kind::Server, d)),
                5 => format!(
                    "join({}, {})",
                    self.expr(Kind::Texts, d),
                    self.expr(Kind::Text, d)
                ),
                6 => format!(
                    "replace({}, \"a\", {})",
                    self.expr(Kind::Text, d),
                    self.expr(Kind::Text, d)
                ),
                _ => {
                    let kind = self.chance_of(&KINDS);
                    format!("text({})", self.expr(kind, d))
                }
            },
            Kind::Bool => match pick {
                0 => "true".into(),
                1 => "false".into(),
                2 | 3 => {
                    let op = self.chance.one(&["<", "<=", ">", ">=", "==", "!="]);
                    let kind = self.chance_of(&[Kind::Number, Kind::Text, Kind::Time]);
                    format!("{} {op} {}", self.expr(kind, d), self.expr(kind, d))
                }
                4 => format!("(not {})", self.expr(Kind::Bool, d)),
                5 | 6 => {
                    let op = self.chance.one(&["and", "or"]);
                    format!(
                        "({} {op} {})",
                        self.expr(Kind::Bool, d),
                        self.expr(Kind::Bool, d)
                    )
                }
                7 => format!(
                    "({} == {})",
                    self.expr(Kind::State, d),
                    self.expr(Kind::State, d)
                ),
                8 => format!(
                    "({} == {})",
                    self.expr(Kind::Map, d),
                    self.expr(Kind::Map, d)
                ),
                _ => format!(
                    "contains({}, {})",
                    self.expr(Kind::Numbers, d),
                    self.expr(Kind::Number, d)
                ),
            },
            Kind::State => match pick {
                0 => "ready".into(),
                1 => "gone".into(),
                _ => format!("{}.state", self.expr(Kind::Server, d)),
            },
            Kind::Server => match pick {
                0 => "server(\"s0\")".into(),
                1 => "server(\"s2\")".into(),
                2 => format!("server({})", self.expr(Kind::Text, d)),
                3 => format!("servers()[{}]", self.expr(Kind::Number, d)),
                _ => format!("first(servers(), {})", self.expr(Kind::Server, 0)),
            },
            Kind::Numbers => match pick {
                0 => "[1, 2, 3]".into(),
                1 => "[5]".into(),
                2 | 3 => format!(
                    "({} + {})",
                    self.expr(Kind::Numbers, d),
                    self.expr(Kind::Numbers, d)
                ),
                4 => format!(
                    "append({}, {})",
                    self.expr(Kind::Numbers, d),
                    self.expr(Kind::Number, d)
                ),
                5 => format!("sort({})", self.expr(Kind::Numbers, d)),
                6 => format!("range({})", self.chance.below(9)),
                _ => format!(
                    "[{}, {}]",
                    self.expr(Kind::Number, d),
                    self.expr(Kind::Number, d)
                ),
            },
            Kind::Texts => match pick {
                0 => "zones()".into(),
                1 => "[\"q\"]".into(),
                2..=4 => format!("split({}, \",\")", self.expr(Kind::Text, d)),
                5 => format!("keys({})", self.expr(Kind::Map, d)),
                _ => format!("reverse({})", self.expr(Kind::Texts, d)),
            },
            Kind::Map => match pick {
                0 => "{\"k\": 1}".into(),
                1 => "counts".into(),
                2..=5 => format!(
                    "without({}, {})",
                    self.expr(Kind::Map, d),
                    self.expr(Kind::Text, d)
                ),
                _ => format!(
                    "{{{}: {}}}",
                    self.expr(Kind::Text, d),
                    self.expr(Kind::Number, d)
                ),
            },
        }
    }

    fn chance_of(&mut self, of: &[Kind]) -> Kind {
        of[self.chance.below(of.len())]
    }

    fn line(&mut self, deep: usize, text: &str) {
        let _ = writeln!(self.out, "{}{text}", "  ".repeat(deep));
    }

    fn block(&mut self, deep: usize) {
        let names = self.names.len();
        for _ in 0..=self.chance.below(4) {
            self.stmt(deep);
        }
        self.names.truncate(names);
    }

    fn stmt(&mut self, deep: usize) {
        let kind = self.chance_of(&KINDS);
        let pick = self.chance.below(if deep > 3 { 7 } else { 12 });
        match pick {
            0..=2 => {
                let value = self.expr(kind, 3);
                self.many += 1;
                let name = format!("v{}", self.many);
                let var = self.chance.below(2) == 0;
                self.line(
                    deep,
                    &format!("{} {name} = {value}", if var { "var" } else { "let" }),
                );
                self.names.push((name, kind, var));
            }
            3 => {
                let open: Vec<(String, Kind)> = self
                    .names
                    .iter()
                    .filter(|n| n.2)
                    .map(|n| (n.0.clone(), n.1))
                    .collect();
                if !open.is_empty() {
                    let (name, kind) = open[self.chance.below(open.len())].clone();
                    let value = self.expr(kind, 3);
                    self.line(deep, &format!("{name} = {value}"));
                }
            }
            4 => {
                let set = match self.chance.below(3) {
                    0 => format!(
                        "counts[{}] = {}",
                        self.expr(Kind::Text, 2),
                        self.expr(Kind::Number, 2)
                    ),
                    1 => format!("seen = {}", self.expr(Kind::Number, 3)),
                    _ => format!("noted = {}", self.expr(Kind::Text, 2)),
                };
                self.line(deep, &set);
            }
            5 => {
                let wish = match self.chance.below(4) {
                    0 => format!(
                        "wish drain({}) for {}",
                        self.expr(Kind::Server, 2),
                        self.expr(Kind::Time, 1)
                    ),
                    1 => format!(
                        "wish scale({}, {})",
                        self.expr(Kind::Server, 2),
                        self.expr(Kind::Number, 2)
                    ),
                    2 => format!(
                        "wish annotate(\"k\", {}) because {}",
                        self.expr(Kind::Text, 2),
                        self.expr(Kind::Text, 1)
                    ),
                    _ => format!("wish alert({})", self.expr(Kind::Text, 3)),
                };
                self.line(deep, &wish);
            }
            6 if self.loops > 0 => {
                let word = self.chance.one(&["break", "continue"]).to_string();
                let condition = self.expr(Kind::Bool, 2);
                self.line(deep, &format!("if {condition} {{ {word} }}"));
            }
            6 => self.line(deep, "# a comment"),
            7 | 8 => {
                let condition = self.expr(Kind::Bool, 3);
                self.line(deep, &format!("if {condition} {{"));
                self.block(deep + 1);
                if self.chance.below(2) == 0 {
                    self.line(deep, "} else {");
                    self.block(deep + 1);
                }
                self.line(deep, "}");
            }
            9 | 10 => {
                let (list, of) = match self.chance.below(3) {
                    0 => (self.expr(Kind::Numbers, 2), Kind::Number),
                    1 => (self.expr(Kind::Texts, 2), Kind::Text),
                    _ => ("servers()".to_string(), Kind::Server),
                };
                self.many += 1;
                let name = format!("v{}", self.many);
                self.line(deep, &format!("for {name} in {list} {{"));
                self.names.push((name, of, false));
                self.loops += 1;
                self.block(deep + 1);
                self.loops -= 1;
                self.names.pop();
                self.line(deep, "}");
            }
            _ => {
                let condition = self.expr(Kind::Bool, 2);
                self.line(deep, &format!("while {condition} {{"));
                self.loops += 1;
                self.block(deep + 1);
                self.loops -= 1;
                self.line(deep, "}");
            }
        }
    }

    fn program(seed: u64) -> String {
        let mut a = Author {
            chance: Chance(seed),
            names: Vec::new(),
            many: 0,
            out: String::from(
                "keep seen: number\nkeep noted: text\nkeep counts: map<number>\nconst LIMIT = 7\n\
                 fn add(a: number, b: number) -> number {\nif a > 100 { return a }\nreturn a + b\n}\n\
                 on timer every 1s {\n",
            ),
            loops: 0,
        };
        for _ in 0..6 {
            a.stmt(1);
        }
        a.out + "}\n"
    }
}

fn world() -> World {
    let server = |i: usize| ServerSeen {
        name: format!("s{i}").into(),
        zone: "east".into(),
        state: if i == 1 { State::Gone } else { State::Ready },
        listed: 1.0,
        weight: i as f64,
        shut: false,
        part: 0.0,
        age_ms: 5e3 * i as f64,
        tries_per_s: 3.0,
        failed_share: 0.25,
        mean_ms: 10.0,
        in_flight: 1.0,
        stale: false,
    };
    World {
        now_ms: 1e9,
        zones: vec!["east".into()],
        servers: (0..3).map(server).collect(),
        ..World::default()
    }
    .indexed()
}

/// 2,500 programs: what one machine does the other does; and their print parses to the same and does the same.
#[test]
fn both_machines_agree_and_the_print_means_the_same() {
    let world = world();
    let (mut well, mut wrong, mut cut, mut wishes) = (0, 0, 0, 0);
    for seed in 0..2_500 {
        let source = Author::program(seed);
        let file = parse::parse(&source).unwrap_or_else(|f| panic!("{seed}: {f:?}\n{source}"));
        let program = check::check(&file).unwrap_or_else(|f| panic!("{seed}: {f:?}\n{source}"));
        let ready = code::compile(&program);
        let keeps: Vec<Value> = ready.keeps.iter().map(|k| k.begins.clone()).collect();
        let allowance = Allowance {
            steps: 20_000,
            bytes: 1 << 20,
            ..Allowance::default()
        };
        let function = ready.hooks[0].function;
        let mut never = || false;
        let fast = run(
            &ready,
            function,
            Vec::new(),
            &keeps,
            &world,
            allowance,
            &mut never,
        );
        let steps = match &fast {
            Ok(o) => o.steps,
            Err(s) => s.steps,
        };
        assert!(steps <= allowance.steps, "{seed}: {steps}");
        let left = Left {
            steps: 10_000_000,
            bytes: 64 << 20,
        };
        match &fast {
            Ok(outcome) => {
                well += 1;
                wishes += outcome.wishes.len();
                let slow = tree::walk(&program, function, Vec::new(), &keeps, &world, left);
                let after = outcome.keeps.clone().unwrap_or_else(|| keeps.clone());
                assert_eq!(
                    slow,
                    Ok((outcome.wishes.clone(), after)),
                    "{seed}\n{source}"
                );
            }
            Err(stopped) => match &stopped.why {
                Stop::Wrong(why) => {
                    wrong += 1;
                    let slow = tree::walk(&program, function, Vec::new(), &keeps, &world, left);
                    assert_eq!(slow, Err(Stop::Wrong(why.clone())), "{seed}\n{source}");
                }
                Stop::Cut(_) => cut += 1,
            },
        }
        let printed = format(&source).unwrap_or_else(|f| panic!("{seed}: {f:?}\n{source}"));
        let again = parse::parse(&printed).unwrap_or_else(|f| panic!("{seed}: {f:?}\n{printed}"));
        assert_eq!(
            format(&printed).as_ref(),
            Ok(&printed),
            "{seed}: a form of its own\n{printed}"
        );
        let program_again = check::check(&again).unwrap();
        assert_eq!(program_again, program, "{seed}\n{source}\n{printed}");
    }
    println!("ended well {well}, went wrong {wrong}, cut off {cut}; {wishes} wishes");
    assert!(
        well > 300 && wrong > 300 && cut > 10 && wishes > 200,
        "{well} {wrong} {cut} {wishes}"
    );
}

/// Mangled sources: refused or run, never a panic, and what still loads keeps its allowance.
#[test]
fn mangled_sources_make_no_panic() {
    let world = world();
    let mut loaded = 0;
    let pieces = [
        "(",
        ")",
        "{",
        "}",
        "[",
        "]",
        "\"",
        "#",
        "\n",
        ";",
        "5s",
        "1e99",
        "999999999999999999999",
        "wish",
        "for",
        "in",
        "if",
        "else",
        "fn",
        "on",
        "keep",
        "=",
        "==",
        "-",
        "->",
        ".",
        ",",
        ":",
        "%",
        "ä",
        "\u{0}",
        "\\",
        "list<",
        "map<text>",
        "return",
        "while true {",
        "not",
        "seen",
        "servers()",
        "0.0.0",
        "..",
        "'",
        "on before_publication(p, l) {",
    ];
    for seed in 0..6_000 {
        let mut chance = Chance(seed);
        let mut source = match seed % 5 {
            0 => String::new(),
            _ => Author::program(seed / 5),
        };
        let times = if seed % 3 == 0 {
            1 + chance.below(6)
        } else {
            1
        };
        for _ in 0..times {
            let mut at = chance.below(source.len() + 1);
            while !source.is_char_boundary(at) {
                at -= 1;
            }
            match chance.below(4) {
                0 => source.insert_str(at, chance.one(&pieces)),
                1 => source.truncate(at),
                2 => {
                    let mut to = (at + chance.below(40)).min(source.len());
                    while !source.is_char_boundary(to) {
                        to -= 1;
                    }
                    if at < to {
                        source.replace_range(at..to, chance.one(&pieces));
                    }
                }
                _ => {
                    let byte = char::from((chance.next() % 128) as u8);
                    source.insert(at, byte);
                }
            }
        }
        let _ = format(&source);
        if let Ok(ready) = load(&source) {
            loaded += 1;
            let keeps: Vec<Value> = ready.keeps.iter().map(|k| k.begins.clone()).collect();
            let allowance = Allowance {
                steps: 5_000,
                bytes: 256 << 10,
                ..Allowance::default()
            };
            for hook in ready.hooks.iter().filter(|h| h.point.params().is_empty()) {
                let ended = run(
                    &ready,
                    hook.function,
                    Vec::new(),
                    &keeps,
                    &world,
                    allowance,
                    &mut || false,
                );
                if let Err(stopped) = ended {
                    assert!(stopped.steps <= allowance.steps);
                }
            }
        }
    }
    assert!(loaded > 100, "{loaded} of the mangled sources still load");
}

/// Every function of the library is bounded in what it may use.
#[test]
fn the_library_is_told_whole() {
    for (native, name, says) in Native::ALL {
        assert!(says.starts_with(name), "{name}: {says}");
        assert_eq!(Native::named(name), Some(*native));
    }
}
