//! Record of what was sent, answered and run.

use std::{
    fmt::Display,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// The file `record.txt` of a case. Each line begins with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl Display) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3} {text}");
    }

    /// Writes all lines to the file.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(&text);
        self.flush();
    }
}
