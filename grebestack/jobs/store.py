"""The jobs of one dispatcher in a sqlite file: written before a job is acknowledged or a dispatch goes."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from operator import attrgetter
from typing import Any

from grebestack.job_queue.interface import Condition
from grebestack.jobs.earlier_attempts import EarlierAttempts
from grebestack.jobs.records import AttemptRecord, Batch, Job, JobState

VERSION = 2
# What each version adds to the one before; a new file gets all, an older one what it lacks.
MIGRATIONS = (
    """
    CREATE TABLE IF NOT EXISTS jobs (
        id TEXT PRIMARY KEY,
        submission TEXT NOT NULL UNIQUE,   -- the client's key: the same key is the same job
        template TEXT NOT NULL,            -- as it came, in a canonical form
        category TEXT NOT NULL,
        state TEXT NOT NULL,
        submitted REAL NOT NULL,           -- Unix time, as are the others
        deadline REAL NOT NULL,
        finished REAL,
        result BLOB,
        annotation TEXT NOT NULL DEFAULT '',
        retry_after REAL                   -- refused: when to come back, in seconds
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
    """,
    """
    ALTER TABLE jobs ADD COLUMN direct INTEGER NOT NULL DEFAULT 1;  -- it asked for no waiting
    ALTER TABLE jobs ADD COLUMN start REAL;
    ALTER TABLE jobs ADD COLUMN wanted REAL NOT NULL DEFAULT 0;     -- in seconds
    ALTER TABLE jobs ADD COLUMN any_of INTEGER NOT NULL DEFAULT 0;
    ALTER TABLE jobs ADD COLUMN ready REAL;                         -- since when its age counts
    ALTER TABLE jobs ADD COLUMN batch TEXT;
    ALTER TABLE jobs ADD COLUMN number INTEGER;
    ALTER TABLE jobs ADD COLUMN label TEXT NOT NULL DEFAULT '';
    CREATE INDEX jobs_by_time ON jobs (submitted);
    CREATE INDEX jobs_by_batch ON jobs (batch, number) WHERE batch IS NOT NULL;
    CREATE TABLE edges (                   -- what a job waits for
        job TEXT NOT NULL REFERENCES jobs (id) ON DELETE CASCADE,
        other TEXT NOT NULL,
        condition TEXT NOT NULL,
        done INTEGER                       -- how the other ended, once its own record is gone
    );
    CREATE INDEX edges_by_job ON edges (job);
    CREATE INDEX edges_by_other ON edges (other);
    CREATE TABLE batches (                 -- jobs that were submitted together
        id TEXT PRIMARY KEY,
        submission TEXT NOT NULL UNIQUE,
        template TEXT NOT NULL,
        submitted REAL NOT NULL,
        is_array INTEGER NOT NULL,
        most INTEGER,                      -- of an array: at a time
        complete INTEGER NOT NULL DEFAULT 0,
        failed INTEGER NOT NULL DEFAULT 0  -- of its jobs whose records are gone
    );
    """,
)
OPEN = "state NOT IN ('DONE', 'FAILED')"
FIELDS = (
    "id",
    "submission",
    "template",
    "category",
    "state",
    "submitted",
    "deadline",
    "finished",
    "result",
    "annotation",
    "retry_after",
    "direct",
    "start",
    "wanted",
    "any_of",
    "ready",
    "batch",
    "number",
    "label",
)
COLUMNS = ", ".join(FIELDS)
INSERT = f"INSERT INTO jobs ({COLUMNS}) VALUES ({','.join('?' * len(FIELDS))})"
BATCH_COLUMNS = "id, submission, template, submitted, is_array, most, complete, failed"
DependencyRow = tuple[str, str, Condition, bool | None]


class StoreError(Exception):
    """The file is none that this program can use; the text says why."""


STATES = {str(state): state for state in JobState}
row_of = attrgetter(*FIELDS)


def _job(row: tuple[Any, ...]) -> Job:
    state, direct, any_of = STATES[row[4]], bool(row[11]), bool(row[14])
    values: list[Any] = [*row[:4], state, *row[5:11], direct, *row[12:14], any_of, *row[15:]]
    return Job(*values)


class JobStore:
    """One dispatcher's jobs. The file is locked: two dispatchers on one file would run its jobs twice."""

    def __init__(self, path: str) -> None:
        self.db = sqlite3.connect(path, isolation_level=None, timeout=0.5)
        self.db.execute("PRAGMA locking_mode = EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")  # what is acknowledged outlives the machine's power
        self.db.execute("PRAGMA foreign_keys = ON")
        (version,) = self.db.execute("PRAGMA user_version").fetchone()
        if version > VERSION:
            raise StoreError(f"{path}: made by a newer version ({version}; this one knows up to {VERSION})")
        for number in range(version, VERSION):
            # One transaction with the version's number: a crash leaves the file as it was.
            script = f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA user_version = {number + 1}; COMMIT;"
            try:
                self.db.executescript(script)
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        self.db.execute("BEGIN IMMEDIATE")  # takes the lock now, not at the first job
        self.db.execute("COMMIT")

    def close(self) -> None:
        """Close the file."""
        self.db.close()

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """All of it or nothing, with one flush; inside another it is part of that one."""
        if self.db.in_transaction:
            yield
            return
        self.db.execute("BEGIN")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    # Jobs come and go.

    def add(self, job: Job, edges: Iterable[DependencyRow] = ()) -> None:
        """Record a job and what it waits for."""
        self.add_all([job], edges)

    def add_all(self, jobs: Iterable[Job], edges: Iterable[DependencyRow] = ()) -> None:
        """Record jobs and what they wait for."""
        with self.transaction():
            self.db.executemany(INSERT, map(row_of, jobs))
            self.db.executemany(
                "INSERT INTO edges (job, other, condition, done) VALUES (?, ?, ?, ?)",
                [(name, other, condition.value, done) for name, other, condition, done in edges],
            )

    def _remember_ends(self, where: str, *values: object) -> None:
        """Guards those that wait for jobs whose records go: how they ended is kept with the condition."""
        self.db.execute(
            "UPDATE edges SET done = (SELECT state = 'DONE' FROM jobs WHERE id = edges.other)"
            f" WHERE other IN (SELECT id FROM jobs WHERE {where})",
            values,
        )
        gone = f"SELECT batch, count(*) AS n FROM jobs WHERE state = 'FAILED' AND {where} GROUP BY batch"
        self.db.execute(
            f"UPDATE batches SET failed = failed + g.n FROM ({gone}) AS g WHERE batches.id = g.batch", values
        )

    def remove(self, job_id: str) -> None:
        """Forget a job that has ended, or that nobody was told of."""
        with self.transaction():
            self._remember_ends("id = ?", job_id)
            self.db.execute("DELETE FROM jobs WHERE id = ?", (job_id,))

    def remove_ended_before(self, finished: float) -> int:
        """Forget jobs that were terminated before then; returns how many."""
        where = "state IN ('DONE', 'FAILED') AND finished < ?"
        with self.transaction():
            self._remember_ends(where, finished)
            count = self.db.execute(f"DELETE FROM jobs WHERE {where}", (finished,)).rowcount
            empty = "submitted < ? AND NOT EXISTS (SELECT 1 FROM jobs WHERE batch = batches.id)"
            self.db.execute(
                "UPDATE edges SET done = (SELECT failed = 0 FROM batches WHERE id = edges.other)"
                f" WHERE other IN (SELECT id FROM batches WHERE {empty})",
                (finished,),
            )
            self.db.execute(f"DELETE FROM batches WHERE {empty}", (finished,))
        return count

    # What is known.

    def _jobs(self, where: str, *values: object) -> list[Job]:
        return [_job(row) for row in self.db.execute(f"SELECT {COLUMNS} FROM jobs WHERE {where}", values)]

    def get(self, job_id: str) -> Job | None:
        """The job of an id."""
        return next(iter(self._jobs("id = ?", job_id)), None)

    def find_by_submission(self, submission: str) -> Job | None:
        """The job that a client's key has made."""
        return next(iter(self._jobs("submission = ?", submission)), None)

    def open_jobs(self) -> list[Job]:
        """The jobs that are not terminated, oldest first; without their templates, which may be many."""
        columns = ", ".join("''" if name == "template" else name for name in FIELDS)
        rows = self.db.execute(f"SELECT {columns} FROM jobs WHERE {OPEN} ORDER BY submitted, rowid")
        return [_job(row) for row in rows]

    def newest(self, state: str | None, most: int) -> list[tuple[str, str, str]]:
        """The newest jobs, of one state or of all: id, category and state."""
        where, values = ("1", ()) if state is None else ("state = ?", (state,))
        chosen = f"SELECT id, category, state FROM jobs WHERE {where} ORDER BY submitted DESC LIMIT ?"
        return self.db.execute(chosen, (*values, most)).fetchall()

    def counts_by_state(self) -> dict[str, int]:
        """How many jobs are in each state."""
        return dict(self.db.execute("SELECT state, count(*) FROM jobs GROUP BY state"))

    def open_dependencies(self) -> list[DependencyRow]:
        """What the jobs that are not terminated wait for, and how it ended where it has."""
        rows = self.db.execute(
            "SELECT e.job, e.other, e.condition, e.done, o.state"
            f" FROM edges e JOIN jobs j ON j.id = e.job AND j.{OPEN} LEFT JOIN jobs o ON o.id = e.other"
            " ORDER BY e.rowid"
        ).fetchall()
        conditions = {condition.value: condition for condition in Condition}
        groups: dict[str, bool | None] = {}
        edges = []
        for job, other, condition, kept, state in rows:
            if state is not None:
                done = state == "DONE" if STATES[state].terminated else None
            elif kept is not None:
                done = bool(kept)
            else:  # a batch
                if other not in groups:
                    groups[other] = self.is_batch_done(other)
                done = groups[other]
            edges.append((job, other, conditions[condition], done))
        return edges

    # States and ends.

    def set_state(self, job_id: str, state: JobState) -> None:
        """Move a job that is not terminated to another state."""
        self.db.execute(f"UPDATE jobs SET state = ? WHERE id = ? AND {OPEN}", (state, job_id))

    def set_ready_times(self, rows: Iterable[tuple[float | None, str]]) -> None:
        """Record since when the ages of jobs count."""
        with self.transaction():
            self.db.executemany("UPDATE jobs SET ready = ? WHERE id = ?", rows)

    def finish(
        self,
        job_id: str,
        state: JobState,
        finished: float,
        *,
        result: bytes | None = None,
        annotation: str = "",
        retry_after: float | None = None,
    ) -> bool:
        """Terminate a job; False if it was terminated already: there is one final state, the first."""
        changed = self.db.execute(
            "UPDATE jobs SET state = ?, finished = ?, result = ?, annotation = ?, retry_after = ?"
            f" WHERE id = ? AND {OPEN}",
            (state, finished, result, annotation, retry_after, job_id),
        )
        return changed.rowcount == 1

    # Dispatches.

    def record_attempt(self, job_id: str, server: str, sent: float) -> int:
        """Record a dispatch, whose first byte goes after this, and that the job runs; returns its row."""
        with self.transaction():
            row = self.db.execute(
                "INSERT INTO dispatches (job, server, sent) VALUES (?, ?, ?)", (job_id, server, sent)
            ).lastrowid
            self.set_state(job_id, JobState.RUNNING)
        assert row is not None
        return row

    def attempts(self, job_id: str) -> list[AttemptRecord]:
        """A job's dispatches, in order."""
        rows = self.db.execute(
            "SELECT server, sent, outcome, never_ran FROM dispatches WHERE job = ? ORDER BY rowid", (job_id,)
        )
        return [AttemptRecord(server, sent, outcome, bool(never)) for server, sent, outcome, never in rows]

    def earlier_attempts(self) -> dict[str, EarlierAttempts]:
        """Return the attempts that may have run of the jobs that are not terminated."""
        rows = self.db.execute(
            "SELECT d.job, min(d.sent), count(*), (SELECT last.server FROM dispatches last"
            " WHERE last.job = d.job AND NOT last.never_ran ORDER BY last.rowid DESC LIMIT 1)"
            f" FROM dispatches d JOIN jobs j ON j.id = d.job AND j.{OPEN}"
            " WHERE NOT d.never_ran GROUP BY d.job"
        )
        return {job: EarlierAttempts(server, sent, count) for job, sent, count, server in rows}

    def record_attempt_ends(self, rows: Iterable[tuple[str, bool, int]]) -> None:
        """Record how dispatches ended: outcome, whether it proves that it never ran, and the row."""
        with self.transaction():
            self.db.executemany("UPDATE dispatches SET outcome = ?, never_ran = ? WHERE rowid = ?", rows)

    # Batches.

    def add_batch(self, batch: Batch) -> None:
        """Record that jobs come together; none counts before the batch is complete."""
        self.db.execute(
            f"INSERT INTO batches ({BATCH_COLUMNS}) VALUES (?,?,?,?,?,?,?,?)",
            (
                batch.id,
                batch.submission,
                batch.template,
                batch.submitted,
                batch.is_array,
                batch.max_parallel,
                batch.complete,
                batch.removed_failures,
            ),
        )

    def mark_batch_complete(self, batch_id: str) -> None:
        """All jobs of a batch are recorded."""
        self.db.execute("UPDATE batches SET complete = 1 WHERE id = ?", (batch_id,))

    def delete_batches(self, where: str = "complete = 0", *values: object) -> None:
        """Forget batches that were never acknowledged, with their jobs."""
        with self.transaction():
            chosen = f"SELECT id FROM batches WHERE {where}"
            self.db.execute(f"DELETE FROM jobs WHERE batch IN ({chosen})", values)
            self.db.execute(f"DELETE FROM batches WHERE {where}", values)

    def find_batch(self, column: str, value: str) -> Batch | None:
        """The batch of an `id` or of a `submission`."""
        chosen = f"SELECT {BATCH_COLUMNS} FROM batches WHERE {column} = ?"
        row = self.db.execute(chosen, (value,)).fetchone()
        if row is None:
            return None
        name, submission, template, submitted, array, most, complete, failed = row
        return Batch(name, submission, template, submitted, bool(array), most, bool(complete), failed)

    def batch_members(self, batch_id: str, most: int = -1, beyond: int = -1) -> list[tuple[str, int, str]]:
        """The jobs of a batch in their order, some or all, beyond a number: id, number and label."""
        chosen = "SELECT id, number, label FROM jobs WHERE batch = ? AND number > ? ORDER BY number LIMIT ?"
        return self.db.execute(chosen, (batch_id, beyond, most)).fetchall()

    def batch_state_counts(self, batch_id: str) -> dict[str, int]:
        """How many jobs of a batch are in each state."""
        chosen = "SELECT state, count(*) FROM jobs WHERE batch = ? GROUP BY state"
        return dict(self.db.execute(chosen, (batch_id,)))

    def is_batch_done(self, batch_id: str) -> bool | None:
        """How a batch ended: done if all its jobs are. None: some have not ended. False: it is unknown."""
        batch = self.find_batch("id", batch_id)
        if batch is None:
            return False
        states = self.batch_state_counts(batch_id)
        if any(not STATES[state].terminated for state in states):
            return None
        return batch.removed_failures == 0 and JobState.FAILED not in states

    def open_batches(self) -> list[tuple[str, int | None, bool]]:
        """The batches with jobs that are not terminated: id, most at a time, whether one has failed."""
        rows = self.db.execute(
            "SELECT id, most, failed OR EXISTS (SELECT 1 FROM jobs WHERE batch = b.id AND state = 'FAILED')"
            f" FROM batches b WHERE EXISTS (SELECT 1 FROM jobs WHERE batch = b.id AND {OPEN})"
        )
        return [(name, most, bool(failed)) for name, most, failed in rows]

    # The operator's drains.

    def drained_workers(self) -> set[str]:
        """The servers that the operator drains."""
        return {server for (server,) in self.db.execute("SELECT server FROM drains")}

    def set_drained(self, server: str, on: bool) -> None:
        """Record that the operator drains a server, or does no longer."""
        statement = "INSERT OR IGNORE INTO drains VALUES (?)" if on else "DELETE FROM drains WHERE server = ?"
        self.db.execute(statement, (server,))
