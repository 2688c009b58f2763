//! Where hooks run, and what they may wish for there.

use crate::ast::Type;

/// What a hook waits for, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
    /// A part's table is about to leave: its changed lines.
    BeforePublication,
    /// The roster says something else: the servers that changed, as they will be.
    RosterChanged,
    GuardHeld,
    ServerChanged,
    ProxyJoined,
    ProxyLeft,
    Flagged,
    AfterPublication,
    Timer,
}

impl Point {
    pub const ALL: [Point; 9] = [
        Point::BeforePublication,
        Point::RosterChanged,
        Point::GuardHeld,
        Point::ServerChanged,
        Point::ProxyJoined,
        Point::ProxyLeft,
        Point::Flagged,
        Point::AfterPublication,
        Point::Timer,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Point::BeforePublication => "before_publication",
            Point::RosterChanged => "roster_changed",
            Point::GuardHeld => "guard_held",
            Point::ServerChanged => "server_changed",
            Point::ProxyJoined => "proxy_joined",
            Point::ProxyLeft => "proxy_left",
            Point::Flagged => "flagged",
            Point::AfterPublication => "after_publication",
            Point::Timer => "timer",
        }
    }

    pub fn named(name: &str) -> Option<Point> {
        Point::ALL.into_iter().find(|p| p.name() == name)
    }

    /// What it gives a hook.
    pub fn params(self) -> Vec<Type> {
        let list = |of| Type::List(Box::new(of));
        match self {
            Point::BeforePublication | Point::AfterPublication => {
                vec![Type::Number, list(Type::Line)]
            }
            Point::RosterChanged => vec![list(Type::Server)],
            Point::GuardHeld => vec![Type::Number, list(Type::Text)],
            Point::ServerChanged => vec![Type::Server, Type::State],
            Point::ProxyJoined => vec![Type::Proxy],
            Point::ProxyLeft => vec![Type::Text],
            Point::Flagged => vec![Type::Text, Type::Text],
            Point::Timer => Vec::new(),
        }
    }

    pub fn params_told(self) -> &'static str {
        match self {
            Point::BeforePublication | Point::AfterPublication => "(part, lines)",
            Point::RosterChanged => "(changed)",
            Point::GuardHeld => "(part, reasons)",
            Point::ServerChanged => "(server, before)",
            Point::ProxyJoined => "(proxy)",
            Point::ProxyLeft => "(name)",
            Point::Flagged => "(name, what)",
            Point::Timer => "",
        }
    }
}

/// What may be wished for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WishKind {
    Drain,
    Undrain,
    Scale,
    Cap,
    Pin,
    Release,
    Annotate,
    RefuseRoster,
    Hold,
    Alert,
}

impl WishKind {
    pub const ALL: [WishKind; 10] = [
        WishKind::Drain,
        WishKind::Undrain,
        WishKind::Scale,
        WishKind::Cap,
        WishKind::Pin,
        WishKind::Release,
        WishKind::Annotate,
        WishKind::RefuseRoster,
        WishKind::Hold,
        WishKind::Alert,
    ];

    pub fn name(self) -> &'static str {
        match self {
            WishKind::Drain => "drain",
            WishKind::Undrain => "undrain",
            WishKind::Scale => "scale",
            WishKind::Cap => "cap",
            WishKind::Pin => "pin",
            WishKind::Release => "release",
            WishKind::Annotate => "annotate",
            WishKind::RefuseRoster => "refuse_roster",
            WishKind::Hold => "hold",
            WishKind::Alert => "alert",
        }
    }

    pub fn named(name: &str) -> Option<WishKind> {
        WishKind::ALL.into_iter().find(|k| k.name() == name)
    }

    pub fn params(self) -> Vec<Type> {
        match self {
            WishKind::Drain | WishKind::Undrain => vec![Type::Server],
            WishKind::Scale | WishKind::Cap => vec![Type::Server, Type::Number],
            WishKind::Pin | WishKind::Release => vec![Type::Number],
            WishKind::Annotate => vec![Type::Text, Type::Text],
            WishKind::RefuseRoster | WishKind::Hold => Vec::new(),
            WishKind::Alert => vec![Type::Text],
        }
    }

    /// Whether it may be wished for there, and why not.
    pub fn fits(self, point: Point) -> Result<(), &'static str> {
        match (self, point) {
            (WishKind::Hold | WishKind::Alert, Point::BeforePublication) => Ok(()),
            (_, Point::BeforePublication) => {
                Err("before a publication only hold() and alert(...) may be wished for")
            }
            (WishKind::Hold, _) => Err("hold() is for before_publication"),
            (WishKind::RefuseRoster, Point::RosterChanged) => Ok(()),
            (WishKind::RefuseRoster, _) => Err("refuse_roster() is for roster_changed"),
            _ => Ok(()),
        }
    }
}
