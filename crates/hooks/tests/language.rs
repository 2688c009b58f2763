//! The language: what programs do, what is refused and where, what is cut off.

use dahliapoint_hooks::fault::{place, told};
use dahliapoint_hooks::natives::Stop;
use dahliapoint_hooks::ops::Wished;
use dahliapoint_hooks::points::WishKind;
use dahliapoint_hooks::run::{Allowance, Outcome, Stopped, run};
use dahliapoint_hooks::value::{ProxySeen, ServerSeen, State, Value, World};
use dahliapoint_hooks::{format, load};

fn world() -> World {
    let server = |i: usize| ServerSeen {
        name: format!("s{i}").into(),
        zone: if i.is_multiple_of(2) { "east" } else { "west" }.into(),
        state: if i == 3 {
            State::Draining
        } else {
            State::Ready
        },
        listed: 1.0,
        weight: 0.5 * i as f64,
        shut: false,
        part: (i % 2) as f64,
        age_ms: 1e6 * i as f64,
        tries_per_s: 10.0 * i as f64,
        failed_share: 0.1 * i as f64,
        mean_ms: 20.0 + i as f64,
        in_flight: 0.0,
        stale: i == 2,
    };
    let proxy = |i: usize| ProxySeen {
        name: format!("p{i}").into(),
        zone: "east".into(),
        part: 0.0,
        unanswered: i as f64,
        silent: false,
        contrary: false,
    };
    World {
        now_ms: 90_000_000.0,
        zones: vec!["east".into(), "west".into()],
        servers: (0..4).map(server).collect(),
        proxies: (0..2).map(proxy).collect(),
        ..World::default()
    }
    .indexed()
}

fn play(source: &str, allowance: Allowance) -> Result<Outcome, Stopped> {
    let ready = load(source).unwrap_or_else(|f| panic!("{}", told("t", source, &f[0])));
    let keeps: Vec<Value> = ready.keeps.iter().map(|k| k.begins.clone()).collect();
    run(
        &ready,
        ready.hooks[0].function,
        Vec::new(),
        &keeps,
        &world(),
        allowance,
        &mut || false,
    )
}

fn on_timer(body: &str) -> String {
    format!("on timer every 10s {{\n{body}\n}}\n")
}

/// What a body alerts of.
fn alerts(body: &str) -> Result<Vec<String>, Stop> {
    let source = if body.contains("on timer") {
        body.to_string()
    } else {
        on_timer(body)
    };
    let ended = play(&source, Allowance::default()).map_err(|s| s.why)?;
    Ok(ended.wishes.iter().map(|w| w.text.to_string()).collect())
}

#[test]
fn programs_do_what_they_say() {
    let cases: &[(&str, &str)] = &[
        ("wish alert(text(1 + 2 * 3 - 4 / 2))", "5"),
        ("wish alert(text(10% + 5%))", "0.15000000000000002"),
        ("wish alert(text(seconds(2 * 1m + 500ms)))", "120.5"),
        ("wish alert(text(3m / 90s))", "2"),
        ("wish alert(text(-2 - -3))", "1"),
        ("wish alert(text(1 < 2 and not 2 < 1 or false))", "true"),
        (
            "wish alert(\"a\" + \"b\" + text([1, 2] + [3]))",
            "ab[1, 2, 3]",
        ),
        (
            "let s = server(\"s1\")\nwish alert(s.name + s.zone + text(s.state) + text(s.failed))",
            "s1westready0.1",
        ),
        ("wish alert(text(server(\"s3\").state == draining))", "true"),
        (
            "var n = 0\nfor s in servers() {\nif s.zone == \"east\" { n = n + 1 }\n}\nwish alert(text(n))",
            "2",
        ),
        (
            "var n = 0\nfor i in range(10) {\nif i == 3 { continue }\nif i == 6 { break }\nn = n + i\n}\nwish alert(text(n))",
            "12",
        ),
        (
            "var n = 1\nwhile n < 100 {\nn = n * 3\n}\nwish alert(text(n))",
            "243",
        ),
        (
            "var m: map<number> = {}\nm[\"a\"] = 1\nm[\"b\"] = m[\"a\"] + 1\nlet old = m\nm[\"a\"] = 9\nwish alert(text(old) + text(m))",
            "{a: 1, b: 2}{a: 9, b: 2}",
        ),
        (
            "var l = [1, 2, 3]\nlet old = l\nl[1] = 7\nwish alert(text(old) + text(l))",
            "[1, 2, 3][1, 7, 3]",
        ),
        (
            "wish alert(join(sort(split(\"c,a,b\", \",\")), \"-\"))",
            "a-b-c",
        ),
        (
            "wish alert(text(quantile([5, 1, 3], 0.5)) + text(mean([1, 2])) + text(sum([1s, 500ms])))",
            "31.51500",
        ),
        (
            "wish alert(text(get({\"x\": 1}, \"y\", 5)) + text(has({\"x\": 1}, \"x\")) + text(keys(without({\"x\": 1, \"z\": 2}, \"x\"))))",
            "5true[z]",
        ),
        (
            "wish alert(text(hour()) + text(len(\"äö\")) + text(mod(-1, 5)) + lower(\"AB\") + trim(\" x \"))",
            "124abx",
        ),
        (
            "wish alert(replace(\"a-b\", \"-\", \"+\") + text(number(\"12x\", 7)) + text(starts(\"ab\", \"a\")) + text(contains([1, 2], 2)))",
            "a+b7truetrue",
        ),
        (
            "wish alert(text(slice([1, 2, 3, 4], 1, 3)) + text(first([], 8)) + text(reverse([1, 2])) + text(max(1, 2)))",
            "[2, 3]8[2, 1]2",
        ),
        (
            "if false { wish alert(\"a\") } else if true { wish alert(\"b\") } else { wish alert(\"c\") }",
            "b",
        ),
        (
            "if false { wish alert(\"a\") }\nelse { wish alert(\"c\") }",
            "c",
        ),
        (
            "let x = [\n1,\n2, # two\n]\nwish alert(text(x)); wish alert(\"z\")",
            "[1, 2]|z",
        ),
        (
            "fn fib(n: number) -> number {\nif n < 2 { return n }\nreturn fib(n - 1) + fib(n - 2)\n}\non timer every 1s { wish alert(text(fib(12))) }",
            "144",
        ),
        (
            "fn odd(n: number) -> bool {\nif n == 0 { return false }\nreturn even(n - 1)\n}\nfn even(n: number) -> bool {\nif n == 0 { return true }\nreturn odd(n - 1)\n}\non timer every 1s { wish alert(text(odd(7))) }",
            "true",
        ),
        (
            "const LIMIT = -5%\nkeep seen: number\non timer every 1s {\nseen = seen + 1\nwish alert(text(seen) + text(LIMIT))\n}",
            "1-0.05",
        ),
        (
            "fn pick(xs: list<server>) -> server {\nfor s in xs {\nif s.stale { return s }\n}\nfail \"none\"\n}\non timer every 1s { wish alert(pick(servers()).name) }",
            "s2",
        ),
    ];
    for (body, wanted) in cases {
        let found = alerts(body).map(|a| a.join("|"));
        assert_eq!(found.as_deref(), Ok(*wanted), "{body}");
    }
}

#[test]
fn wishes_are_told_by_name() {
    let source = on_timer(
        "wish drain(server(\"s1\")) for 5m because \"pod restarts\"\nwish scale(server(\"s0\"), 50%)\nwish pin(1)",
    );
    let found = play(&source, Allowance::default()).unwrap().wishes;
    let wish = |kind, whom: &str, number, lasts_ms, reason: &str| Wished {
        kind,
        whom: whom.into(),
        number,
        text: "".into(),
        lasts_ms,
        reason: reason.into(),
    };
    assert_eq!(
        found,
        [
            wish(WishKind::Drain, "s1", 0.0, Some(300e3), "pod restarts"),
            wish(WishKind::Scale, "s0", 0.5, None, ""),
            wish(WishKind::Pin, "", 1.0, None, ""),
        ]
    );
}

#[test]
fn what_goes_wrong_ends_a_run_with_its_place() {
    let cases = [
        ("wish alert(text(1 / 0))", "a division by 0", 2),
        ("wish alert(text(mod(1, 0)))", "no number", 2),
        (
            "var x = 1000000000\nwhile true {\nx = x * x\n}",
            "no number",
            4,
        ),
        (
            "let l = [1]\nwish alert(text(l[1]))",
            "no entry 1 in a list of 1",
            3,
        ),
        ("let l = [1]\nwish alert(text(l[0.5]))", "no entry 0.5", 3),
        ("wish alert(text({\"a\": 1}[\"b\"]))", "no entry \"b\"", 2),
        ("wish drain(server(\"nobody\"))", "no server \"nobody\"", 2),
        ("wish drain(server(\"s1\")) for 0s", "more than 0", 2),
        ("fail \"because\"", "because", 2),
        ("wish alert(text(range(-1)))", "whole number", 2),
        (
            "wish alert(join(split(\"a\", \"\"), \"\"))",
            "split at something",
            2,
        ),
    ];
    for (body, wanted, line) in cases {
        let source = on_timer(body);
        let stopped = play(&source, Allowance::default()).unwrap_err();
        let fault = stopped.fault();
        assert!(fault.what.contains(wanted), "{body}: {fault:?}");
        assert_eq!(place(&source, fault.at.from).0, line, "{body}");
        assert!(!stopped.was_cut());
    }
}

#[test]
fn who_uses_too_much_is_cut_off() {
    let cases = [
        ("while true { }", "steps"),
        (
            "fn f(n: number) -> number { return f(n + 1) }\non timer every 1s { wish alert(text(f(0))) }",
            "calls within calls",
        ),
        ("var t = \"x\"\nwhile true { t = t + t }", "memory"),
        ("var l = [1]\nwhile true { l = l + l }", "memory"),
        (
            "var l: list<number> = []\nwhile true { l = append(l, 1) }",
            "memory",
        ),
        (
            "var m: map<number> = {}\nvar n = 0\nwhile true {\nn = n + 1\nm[text(n)] = n\n}",
            "steps",
        ),
        ("while true { wish alert(\"x\") }", "wishes"),
        (
            "let a = range(100000)\nlet b = [a, a, a, a, a, a, a, a, a, a]\nlet c = [b, b, b, b, b, b, b, b, b, b]\nlet d = [c, c, c, c, c, c]\nwish alert(text(d))",
            "steps",
        ),
        (
            "let a = range(100000)\nlet b = [a, a, a, a, a, a, a, a, a, a]\nif [b, b, b] == [b, b, b] { }",
            "steps",
        ),
        (
            "let a = range(100000)\nfor i in a { for j in a { } }",
            "steps",
        ),
        (
            "for i in range(1000) { let x = sort(range(10000)) }",
            "steps",
        ),
        (
            "keep big: text\non timer every 1s {\nbig = \"0123456789\"\nfor i in range(14) { big = big + big }\n}",
            "bytes to keep",
        ),
    ];
    for (body, wanted) in cases {
        let source = if body.contains("on timer") {
            body.to_string()
        } else {
            on_timer(body)
        };
        let stopped = play(&source, Allowance::default()).unwrap_err();
        assert_eq!(stopped.why, Stop::Cut(wanted), "{body}");
        assert!(
            stopped.steps <= Allowance::default().steps,
            "{body}: {}",
            stopped.steps
        );
    }
    // By time too: here it is up at the third time of asking.
    let ready = load(&on_timer("while true { }")).unwrap();
    let mut asked = 0;
    let mut is_up = || {
        asked += 1;
        asked > 2
    };
    let ended = run(
        &ready,
        0,
        Vec::new(),
        &[],
        &world(),
        Allowance::default(),
        &mut is_up,
    );
    let stopped = ended.unwrap_err();
    assert!(stopped.was_cut() && stopped.steps < 1_000, "{stopped:?}");
}

#[test]
fn what_does_not_fit_is_refused_with_line_column_and_hint() {
    // Line, column, a part of what is said and of the hint.
    let cases: &[(&str, usize, usize, &str, &str)] = &[
        ("let x = 1 + \"a\"", 2, 9, "number + text", "text(...)"),
        ("let x = 5s + 1", 2, 9, "time + number", "units"),
        ("if 1 { }", 2, 4, "a bool is wanted, this is a number", ""),
        (
            "wish drain(\"s1\")",
            2,
            12,
            "a server is wanted, this is a text",
            "server(...)",
        ),
        (
            "drain(server(\"s1\"))",
            2,
            1,
            "no function \"drain\"",
            "wish drain",
        ),
        (
            "wish drian(server(\"s1\"))",
            2,
            6,
            "nobody can wish for \"drian\"",
            "did you mean drain",
        ),
        ("let x = 1\nx = 2", 3, 1, "stays as it is", "var"),
        (
            "let count = 1\nwish alert(text(coutn))",
            3,
            17,
            "\"coutn\" is not known",
            "did you mean count",
        ),
        (
            "let x = server(\"a\").colour",
            2,
            21,
            "a server has no \"colour\"",
            "name, zone",
        ),
        ("let x = []", 2, 9, "is not said", "list<text>"),
        (
            "for x in {\"a\": 1} { }",
            2,
            10,
            "a list is wanted",
            "keys(...)",
        ),
        ("break", 2, 1, "in no loop", ""),
        ("1 + 1", 2, 1, "nobody takes", ""),
        (
            "var l = [1]\nappend(l, 2)",
            3,
            1,
            "nobody takes",
            "xs = append",
        ),
        ("let l = [1, \"a\"]", 2, 13, "a number is wanted", ""),
        (
            "wish hold()",
            2,
            6,
            "hold() cannot be wished for here",
            "before_publication",
        ),
        (
            "wish refuse_roster()",
            2,
            6,
            "cannot be wished for here",
            "roster_changed",
        ),
        ("let x = 1\nlet x = 2", 3, 5, "there already", ""),
        ("let x = \"abc", 2, 9, "does not end", ""),
        ("let x = 5x", 2, 9, "is no unit", "ms, s, m"),
        ("let x = 1 & 2", 2, 11, "means nothing", "and, or, not"),
        ("let x = 1 < 2 < 3", 2, 9, "do not chain", "and"),
        ("let x = (1", 3, 1, "is wanted", ""),
        ("let for = 1", 2, 5, "meaning of its own", ""),
        (
            "let x = len(5)",
            2,
            9,
            "len(number) does not fit",
            "len(list",
        ),
        ("let x = servers", 2, 9, "is a function", "servers()"),
        ("wish pin(0) for 5", 2, 17, "a time is wanted", "units"),
    ];
    for (body, line, column, what, hint) in cases {
        let source = on_timer(body);
        let faults = load(&source).unwrap_err();
        let f = &faults[0];
        assert!(f.what.contains(what), "{body}: {f:?}");
        assert!(
            f.hint.clone().unwrap_or_default().contains(hint),
            "{body}: {f:?}"
        );
        assert_eq!(place(&source, f.at.from), (*line, *column), "{body}: {f:?}");
    }
    let whole = [
        ("on timer { }", "how often"),
        ("on timer every 5 { }", "at least 100ms"),
        ("on tmier every 5s { }", "no hook waits"),
        ("on server_changed { }", "gives 2 values"),
        ("let x = 1", "keep, const, fn or on"),
        (
            "fn f() -> number { if true { return 1 } }\non timer every 1s { }",
            "without a return",
        ),
        ("keep s: server\non timer every 1s { }", "cannot be kept"),
        ("fn len() { }\non timer every 1s { }", "standard library"),
        ("# nothing", "no hook"),
        (
            "keep n: number\nfn f() { n = 1 }\non before_publication(p, l) { f() }",
            "read, not changed",
        ),
        (
            "fn f() { wish drain(server(\"a\")) }\non before_publication(p, l) { f() }",
            "cannot be wished",
        ),
    ];
    for (source, what) in whole {
        let faults = load(source).unwrap_err();
        assert!(
            faults.iter().any(|f| f.what.contains(what)),
            "{source}: {faults:?}"
        );
    }
    // Several faults are told at once.
    assert_eq!(
        load(&on_timer("let a = b\nlet c = d\nlet e = f"))
            .unwrap_err()
            .len(),
        3
    );
}

#[test]
fn faults_are_shown_with_a_caret() {
    let source = on_timer("let x = 1 + \"a\"");
    let shown = told("night.hook", &source, &load(&source).unwrap_err()[0]);
    let wanted = "night.hook:2:9: number + text means nothing\n  | let x = 1 + \"a\"\n  |         ^^^^^^^\n  = text(...) makes a text of a value\n";
    assert_eq!(shown, wanted);
}

#[test]
fn depth_in_the_source_is_bounded() {
    let deep = [
        "let x = ".to_string() + &"(".repeat(100_000),
        "let x = ".to_string() + &"[".repeat(10_000),
        "let x = ".to_string() + &"-".repeat(10_000) + "1",
        "let x = ".to_string() + &"not ".repeat(10_000) + "true",
        "let x = 1".to_string() + &" + 1".repeat(10_000),
        "if true {".repeat(5_000),
        "let x: ".to_string() + &"list<".repeat(10_000),
        "let x = a".to_string() + &"[0]".repeat(10_000),
        "let x = a".to_string() + &".b".repeat(10_000),
        "x".repeat(300_000),
    ];
    for source in deep {
        assert!(load(&on_timer(&source)).is_err(), "{}", &source[..20]);
    }
}

#[test]
fn sources_have_one_form() {
    let source = "# A file.\nkeep  seen:map<number>\n\n\nconst MOST=5%  # so much\non timer every 90s{\n# first\nif seen[\"a\"]>1 and(1+2)*3==9{wish alert(\"x\\n\")for 60s because \"y\"} # why\n\n\nelse_()\n}\nfn else_(){ return\n# last\n}\n# end\n";
    let wanted = "# A file.\nkeep seen: map<number>\n\nconst MOST = 0.05 # so much\n\non timer every 90s {\n    # first\n    if seen[\"a\"] > 1 and (1 + 2) * 3 == 9 {\n        wish alert(\"x\\n\") for 1m because \"y\"\n    } # why\n\n    else_()\n}\n\nfn else_() {\n    return\n    # last\n}\n# end\n";
    let printed = format(source).unwrap();
    assert_eq!(printed, wanted);
    assert_eq!(format(&printed).unwrap(), printed);
    let lost = format(&on_timer("let x = [1, # one\n2]")).unwrap_err();
    assert!(lost.what.contains("would be lost"), "{lost:?}");
}
