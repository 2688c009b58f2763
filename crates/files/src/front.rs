//! The front: one thread that carries the controller's orders to directories and the proxies' words back.
//! What it does next is the scheduler's to say: withdrawals first, then new tables, then spools, then
//! refreshing what grows old; so 361 directories on a slow disk do not hold a drain up.

use crate::disk::{Disk, SystemDisk};
use crate::formats::Format;
use crate::integrity::Keys;
use crate::publish::Publisher;
use crate::reader::{ReadResult, Reader};
use crate::seat::{Seat, Wants};
use crate::spool::{Said, Spool};
use dahliapoint_control::{ControllerHandle, ControllerSettings, Input, Message, Output, Session};
use dahliapoint_scheduler::{Budget, Event, Scheduler, Task, TaskId};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// The controller's sign of life.
pub const ALIVE: &str = "alive";

/// Classes of work, the highest first; what each may use of a round, and how much may wait.
const WITHDRAW: usize = 0;
const PUBLISH: usize = 1;
const LISTEN: usize = 2;
const REFRESH: usize = 3;
const SHARES: [f64; 4] = [f64::INFINITY, 0.5, 0.4, 0.1];
const WAITING: usize = 32 * 1024;
/// Orders that may wait for the thread. Beyond that a proxy is let go: it beats again as another session
/// and is told all anew; no decision waits for a disk.
const ORDERS: usize = 64 * 1024;

/// Where files are, and how they are written.
#[derive(Clone, Debug)]
pub struct Place {
    pub dir: PathBuf,
    pub forms: Vec<Format>,
    pub keys: Keys,
    pub every_ms: f64,
    pub valid_ms: f64,
}

enum Order {
    Write(Session, Arc<Message>),
    Close(Session, String),
}

#[derive(Default)]
struct Orders {
    waiting: Vec<Order>,
    /// Sessions that an order was lost for.
    lost: BTreeSet<Session>,
    over: bool,
}

impl Orders {
    fn put(&mut self, order: Order) {
        if self.waiting.len() < ORDERS {
            self.waiting.push(order);
            return;
        }
        let (Order::Write(session, _) | Order::Close(session, _)) = order;
        self.lost.insert(session);
    }
}

/// See the module's head.
pub struct Front {
    orders: Mutex<Orders>,
    bell: Condvar,
    first: Session,
    view: Mutex<Value>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// What a piece of work is about.
#[derive(Clone, Debug, PartialEq)]
enum Work {
    Write(Session),
    Listen(String),
    /// What is in force is synced.
    Sync(String),
}

struct Hand<D: Disk> {
    place: Place,
    disk: D,
    owner: Arc<dyn ControllerHandle>,
    classes: Vec<String>,
    service: String,
    begun: Instant,
    spool: Spool,
    scheduler: Scheduler,
    work: BTreeMap<TaskId, Work>,
    seats: BTreeMap<Session, Seat>,
    by_proxy: HashMap<String, Session>,
    publishers: HashMap<String, Publisher>,
    /// Spools that wait to be looked at.
    listening: BTreeSet<String>,
    next_session: Session,
    next_round: f64,
    /// New generations lie above this number.
    least: u64,
    life: u64,
    /// By the disk's own clock, as of this round.
    disk_now: SystemTime,
    rounds: u64,
    published: u64,
    failed: u64,
    longest_ms: f64,
    longest_withdrawal_ms: f64,
}

impl Front {
    /// Starts the thread. Sessions of this front are numbered from `first`.
    ///
    /// # Errors
    /// When its directories cannot be made or are links.
    pub fn start(
        place: Place,
        owner: Arc<dyn ControllerHandle>,
        first: Session,
        terms: &ControllerSettings,
    ) -> io::Result<(Arc<Front>, JoinHandle<()>)> {
        std::fs::create_dir_all(&place.dir)?;
        let spool = Spool::open(&place.dir, place.keys.clone(), terms.report_interval_ms)?;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |d| d.as_millis() as u64);
        let budgets = SHARES.map(|share| Budget {
            cpu_ms: share * place.every_ms,
            max_queued: WAITING,
        });
        let hand = Hand {
            scheduler: Scheduler::new(0.0, place.every_ms, &budgets),
            place,
            disk: SystemDisk::default(),
            owner,
            classes: terms.classes.iter().map(|c| c.name.clone()).collect(),
            service: terms.service.clone(),
            begun: Instant::now(),
            spool,
            work: BTreeMap::new(),
            seats: BTreeMap::new(),
            by_proxy: HashMap::new(),
            publishers: HashMap::new(),
            listening: BTreeSet::new(),
            next_session: first,
            next_round: 0.0,
            least: wall / 1000,
            life: wall,
            disk_now: SystemTime::now(),
            rounds: 0,
            published: 0,
            failed: 0,
            longest_ms: 0.0,
            longest_withdrawal_ms: 0.0,
        };
        let front = Arc::new(Front {
            orders: Mutex::default(),
            bell: Condvar::new(),
            first,
            view: Mutex::default(),
        });
        let own = front.clone();
        let thread = std::thread::Builder::new().name("files".into());
        let thread = thread.spawn(move || own.live(hand))?;
        Ok((front, thread))
    }

    /// Takes what concerns proxies of this front; gives back what does not.
    pub fn carry_out(&self, output: Output) -> Option<Output> {
        let mut orders = lock(&self.orders);
        let rest = match output {
            Output::Write(sessions, message) => {
                let (ours, others): (Vec<_>, Vec<_>) =
                    sessions.into_iter().partition(|s| *s >= self.first);
                let ours = ours.into_iter().map(|s| Order::Write(s, message.clone()));
                ours.for_each(|order| orders.put(order));
                (!others.is_empty()).then_some(Output::Write(others, message))
            }
            Output::Close(session, why) if session >= self.first => {
                orders.put(Order::Close(session, why));
                None
            }
            other => Some(other),
        };
        self.bell.notify_all();
        rest
    }

    /// What there is to say about this front, for people.
    pub fn view(&self) -> Value {
        lock(&self.view).clone()
    }

    /// Ends the thread; what is published stays.
    pub fn end(&self) {
        lock(&self.orders).over = true;
        self.bell.notify_all();
    }

    /// Takes what waits; waits for it until then.
    fn take(&self, until: Option<Duration>) -> Option<Vec<Order>> {
        let mut orders = lock(&self.orders);
        if let Some(time) = until.filter(|_| orders.waiting.is_empty() && !orders.over) {
            let waited = self.bell.wait_timeout(orders, time);
            orders = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        if orders.over {
            return None;
        }
        let mut taken = std::mem::take(&mut orders.waiting);
        let why = "too many orders waited for the disk";
        let lost = std::mem::take(&mut orders.lost).into_iter();
        taken.extend(lost.map(|s| Order::Close(s, why.into())));
        drop(orders);
        self.bell.notify_all();
        Some(taken)
    }

    fn live<D: Disk>(&self, mut hand: Hand<D>) {
        loop {
            let now = hand.now_ms();
            if now >= hand.next_round {
                hand.begin_round(now);
                *lock(&self.view) = hand.view();
            }
            let next = hand.scheduler.next(now);
            let wait = match next {
                Some(_) => None,
                None => {
                    let alarm = hand.scheduler.wake_at().unwrap_or(f64::INFINITY);
                    let until = hand.next_round.min(alarm).max(now);
                    Some(Duration::from_secs_f64((until - now) / 1e3))
                }
            };
            let Some(orders) = self.take(wait) else {
                return;
            };
            hand.take_orders(orders);
            if let Some((id, _)) = next {
                let begun = hand.now_ms();
                hand.do_one(id);
                let now = hand.now_ms();
                hand.longest_ms = hand.longest_ms.max(now - begun);
                hand.scheduler.task_ran(now, id, now - begun, false);
            }
            for told in hand.scheduler.take_events() {
                if let Event::Evicted(id) | Event::Expired(id) = told {
                    warn!("files: work was given up: there is too much");
                    hand.forget_work(id);
                }
            }
        }
    }
}

impl<D: Disk> Hand<D> {
    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    /// A round: a sign of life, all spools to be looked at, tables that wait or grow old.
    fn begin_round(&mut self, now: f64) {
        self.next_round = (self.next_round + self.place.every_ms).max(now);
        self.rounds += 1;
        if let Err(e) = self.say_alive() {
            warn!(error = %e, "files: the sign of life cannot be written");
        }
        for proxy in self.spool.proxies() {
            if self.listening.insert(proxy.clone()) {
                self.submit(now, LISTEN, Work::Listen(proxy));
            }
        }
        let valid = self.place.valid_ms;
        let due = self.seats.values();
        let due = due.filter_map(|s| Some((s.session, s.wants(now, valid)?)));
        for (session, wants) in due.collect::<Vec<_>>() {
            self.submit_write(now, session, wants);
        }
        for note in std::mem::take(&mut self.spool.notes) {
            warn!("files: {note}");
        }
    }

    /// The sign of life, written by the disk's own clock.
    fn say_alive(&mut self) -> io::Result<()> {
        let text = json!({"count": self.rounds, "life": self.life}).to_string();
        let aside = self.place.dir.join(".alive");
        std::fs::write(&aside, self.place.keys.add_tag(&text))?;
        self.disk_now = std::fs::metadata(&aside)?.modified()?;
        std::fs::rename(&aside, self.place.dir.join(ALIVE))
    }

    fn submit(&mut self, now: f64, class: usize, work: Work) {
        let owner = match &work {
            Work::Write(session) => *session,
            Work::Listen(proxy) | Work::Sync(proxy) => proxy
                .bytes()
                .fold(7, |a, b| (a ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)),
        };
        let piece = Task {
            class,
            owner,
            deadline: None,
        };
        match self.scheduler.submit(now, piece) {
            Some(id) => {
                self.work.insert(id, work);
            }
            None => {
                if let Work::Listen(proxy) = work {
                    self.listening.remove(&proxy);
                }
            }
        }
    }

    fn submit_write(&mut self, now: f64, session: Session, wants: Wants) {
        let class = match wants {
            Wants::Urgently => WITHDRAW,
            Wants::Soon => PUBLISH,
            Wants::Refresh => REFRESH,
        };
        self.submit(now, class, Work::Write(session));
    }

    fn forget_work(&mut self, id: TaskId) {
        if let Some(Work::Listen(proxy)) = self.work.remove(&id) {
            self.listening.remove(&proxy);
        }
    }

    fn take_orders(&mut self, orders: Vec<Order>) {
        let now = self.now_ms();
        let mut touched = BTreeSet::new();
        for order in orders {
            match order {
                Order::Write(session, message) => {
                    if let Some(seat) = self.seats.get_mut(&session) {
                        seat.deliver(&message, &self.classes);
                        touched.insert(session);
                    }
                }
                Order::Close(session, why) => {
                    if let Some(seat) = self.seats.remove(&session) {
                        info!(proxy = %seat.proxy, session, "files: a proxy is let go: {why}");
                        if self.by_proxy.get(&seat.proxy) == Some(&session) {
                            self.by_proxy.remove(&seat.proxy);
                        }
                        self.owner.report_stream(&seat.proxy, session, false);
                    }
                }
            }
        }
        let valid = self.place.valid_ms;
        for session in touched {
            if let Some(wants) = self.seats.get(&session).and_then(|s| s.wants(now, valid)) {
                self.submit_write(now, session, wants);
            }
        }
    }

    fn do_one(&mut self, id: TaskId) {
        match self.work.remove(&id) {
            Some(Work::Write(session)) => self.publish(session),
            Some(Work::Listen(proxy)) => {
                self.listening.remove(&proxy);
                for said in self.spool.poll(&proxy, self.disk_now) {
                    self.hear(&proxy, said);
                }
            }
            Some(Work::Sync(proxy)) => {
                if let Some(publisher) = self.publishers.get_mut(&proxy) {
                    // It was removed or replaced meanwhile, or the disk says no: the next one is synced.
                    let _ = publisher.sync(&mut self.disk);
                }
            }
            None => {}
        }
    }

    /// Publishes what a proxy is to have; it may have been published meanwhile.
    fn publish(&mut self, session: Session) {
        let now = self.now_ms();
        let every = self.owner.report_interval_ms();
        let Some(seat) = self.seats.get_mut(&session) else {
            return;
        };
        let Some(wants) = seat.wants(now, self.place.valid_ms) else {
            return;
        };
        let table = seat.table(every);
        let Some(publisher) = self.publishers.get_mut(&seat.proxy) else {
            return;
        };
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |d| d.as_millis() as u64);
        let valid = self.place.valid_ms as u64;
        match publisher.publish(&mut self.disk, table, wall, valid, wants != Wants::Urgently) {
            Ok(generation) => {
                self.published += 1;
                seat.published(now, generation);
                if wants == Wants::Urgently {
                    // A drain does not wait for a disk: it is in force, and synced behind all else.
                    let work = Work::Sync(seat.proxy.clone());
                    let took = self.begun.elapsed().as_secs_f64() * 1e3 - now;
                    self.longest_withdrawal_ms = self.longest_withdrawal_ms.max(took);
                    self.submit(now, REFRESH, work);
                }
            }
            Err(e) => {
                self.failed += 1;
                if seat.failed(now, self.place.every_ms) {
                    warn!(proxy = %seat.proxy, error = %e, "files: a table cannot be published; the old one stands");
                }
            }
        }
    }

    fn hear(&mut self, proxy: &str, said: Said) {
        let life = match &said {
            Said::Heartbeat(_) => None,
            Said::Ack(ack) => Some(ack.incarnation),
            Said::Report(told) => Some(told.incarnation),
        };
        // Any word of a life is a sign of it.
        let seat = self.by_proxy.get(proxy).and_then(|s| self.seats.get(s));
        if let Some(seat) = seat.filter(|s| Some(s.life) == life) {
            self.owner.send(seat.beat());
        }
        match said {
            Said::Heartbeat(beat) => {
                let session = self.session(proxy, beat.incarnation);
                if let Some(seat) = self.seats.get_mut(&session) {
                    (seat.zone, seat.pace) = (beat.zone.clone(), beat.visits_per_s);
                }
                if let (Some(held), Some(p)) =
                    (beat.applied_generation, self.publishers.get_mut(proxy))
                {
                    p.raise_generation(held);
                }
                self.owner.send(match beat.leaving {
                    true => Input::Deregistered(session),
                    false => match self.seats.get(&session) {
                        Some(seat) => seat.beat(),
                        None => return,
                    },
                });
            }
            Said::Ack(ack) => {
                if let (Some(_), Some(p)) = (&ack.refused, self.publishers.get_mut(proxy)) {
                    p.discard_base();
                }
                let session = self.by_proxy.get(proxy);
                let seat = session.and_then(|s| self.seats.get_mut(s));
                let seat = seat.filter(|s| s.life == ack.incarnation);
                if let Some(input) = seat.and_then(|s| s.answered(ack.generation, ack.refused)) {
                    self.owner.send(input);
                }
            }
            Said::Report(told) => {
                let Some(session) = self.by_proxy.get(proxy).copied() else {
                    return;
                };
                let taken = told.to_load_report(&self.classes);
                let taken = taken.and_then(|report| self.owner.report(proxy, session, report));
                if let Err(why) = taken {
                    warn!(proxy, "files: a report is refused: {why}");
                }
            }
        }
    }

    /// The session of a proxy's life; a new one if it was not known.
    fn session(&mut self, proxy: &str, life: u64) -> Session {
        if let Some(session) = self.by_proxy.get(proxy)
            && self.seats.get(session).is_some_and(|s| s.life == life)
        {
            return *session;
        }
        let session = self.next_session;
        self.next_session += 1;
        let dir = self.place.dir.join("tables").join(proxy);
        let before = match Reader::new(dir.clone(), proxy, self.place.keys.clone()).poll(None) {
            ReadResult::Updated(table) => Some(*table),
            ReadResult::Unchanged | ReadResult::Invalid(..) => None,
        };
        let (keys, forms) = (self.place.keys.clone(), &self.place.forms);
        let least = self.least;
        let publisher = self.publishers.entry(proxy.into());
        publisher.or_insert_with(|| Publisher::new(dir, proxy, keys, forms, least));
        if let Some(old) = self.by_proxy.insert(proxy.into(), session) {
            self.seats.remove(&old);
            self.owner.report_stream(proxy, old, false);
        }
        let seat = Seat::new(session, proxy, life, &self.service, before);
        self.seats.insert(session, seat);
        self.owner.report_stream(proxy, session, true);
        info!(proxy, session, "files: a proxy beats");
        session
    }

    fn view(&self) -> Value {
        let publishers = self.publishers.values();
        let (whole, patched) =
            publishers.fold((0, 0), |(w, p), x| (w + x.snapshots, p + x.patches));
        json!({
            "proxies": self.seats.len(),
            "unanswered": self.seats.values().map(Seat::unanswered).sum::<usize>(),
            "published": self.published, "whole": whole, "patched": patched, "failed": self.failed,
            "spool": &self.spool.tally, "rounds": self.rounds,
            "longest_piece_ms": self.longest_ms, "longest_withdrawal_ms": self.longest_withdrawal_ms,
        })
    }
}

/// Reads a key file.
///
/// # Errors
/// The file, the line and what is wanted.
pub fn keys(file: &Path) -> Result<Keys, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Keys::parse(&name, &text)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_does_not_fit_lets_its_proxy_go_and_nobody_waits() {
        let mut orders = Orders::default();
        for n in 0..ORDERS as u64 + 3 {
            orders.put(Order::Close(n % 7, String::new()));
        }
        assert_eq!((orders.waiting.len(), orders.lost.len()), (ORDERS, 3));
    }
}
