-- A file of the first version, with a row or more in each table.
CREATE TABLE IF NOT EXISTS jobs (
    id TEXT PRIMARY KEY,
    submission TEXT NOT NULL UNIQUE,
    template TEXT NOT NULL,
    category TEXT NOT NULL,
    state TEXT NOT NULL,
    submitted REAL NOT NULL,
    deadline REAL NOT NULL,
    finished REAL,
    result BLOB,
    annotation TEXT NOT NULL DEFAULT '',
    retry_after REAL
);
CREATE INDEX IF NOT EXISTS jobs_by_state ON jobs (state, submitted);
CREATE TABLE IF NOT EXISTS dispatches (
    job TEXT NOT NULL REFERENCES jobs (id) ON DELETE CASCADE,
    server TEXT NOT NULL,
    sent REAL NOT NULL,
    outcome TEXT,
    never_ran INTEGER NOT NULL DEFAULT 0
);
CREATE INDEX IF NOT EXISTS dispatches_by_job ON dispatches (job);
CREATE TABLE IF NOT EXISTS drains (server TEXT PRIMARY KEY);
INSERT INTO jobs VALUES ('job-1', 'key-1', '{"a":1}', 'order', 'RUNNING', 100.5, 200.5, NULL, NULL, '', NULL);
INSERT INTO jobs VALUES
    ('job-2', 'key-2', '{"a":2}', 'reading', 'FAILED', 101.5, 201.5, 151.5, x'00ff', 'broke', 3.5);
INSERT INTO dispatches VALUES ('job-1', 'runner-1', 110.5, NULL, 0);
INSERT INTO dispatches VALUES ('job-2', 'runner-2', 111.5, 'rejected', 1);
INSERT INTO drains VALUES ('runner-3');
PRAGMA user_version = 1;
