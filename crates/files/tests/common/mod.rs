use dahliapoint_files::formats::{TABLE_FORMAT_VERSION, Table, TableLine};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static COUNT: AtomicU64 = AtomicU64::new(0);

/// A temporary directory, removed on drop.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("dahliapoint-files-{}-{n}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A table whose weights all follow from its mark, so that a mix of two generations is noticed.
#[allow(dead_code)]
pub fn table(mark: u64, lines: usize) -> Table {
    let line = |i: usize| TableLine {
        server: format!("s{i:03}"),
        address: format!("127.0.0.1:{}", 1000 + i),
        // One line in eight changes with each mark, all others with every tenth.
        weight: if i.is_multiple_of(8) {
            mark as f64
        } else {
            (mark / 10 * 10) as f64
        },
        open: true,
    };
    let lines = (0..lines).map(line).map(|l| (l.server.clone(), l));
    Table {
        format_version: TABLE_FORMAT_VERSION,
        service: "s".into(),
        serial: mark,
        bound: true,
        lines: lines.collect(),
        report_every_ms: 1_000.0,
        ..Table::default()
    }
}
