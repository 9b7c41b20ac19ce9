"""Stores the jobs of one dispatcher in an SQLite file, before a job is acknowledged or an attempt is sent."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from operator import attrgetter
from typing import Any

from grebestack.core.api import Outcome
from grebestack.job_queue.interface import Condition
from grebestack.jobs.batch_control import BatchOperation, StoredOperation
from grebestack.jobs.earlier_attempts import EarlierAttempts
from grebestack.jobs.late_reports import LateReport
from grebestack.jobs.records import HELD_STATES, AttemptEnd, AttemptRecord, Batch, Job, JobState

VERSION = 4
# The changes of each schema version; a new file gets all of them, an older one those that it lacks.
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
    """
    ALTER TABLE dispatches ADD COLUMN reports_until REAL;  -- until when its server may repeat its report
    """,
    """
    CREATE TABLE batch_operations (        -- accepted, and not applied to all jobs yet
        number INTEGER PRIMARY KEY,
        batch TEXT NOT NULL REFERENCES batches (id) ON DELETE CASCADE,
        operation TEXT NOT NULL,
        after_number INTEGER NOT NULL      -- of the last job that it has reached
    );
    """,
)
NOT_ENDED = "state NOT IN ('DONE', 'FAILED')"
UNREACHED_AND_UNSENT = (
    f"batch = ? AND number > ? AND {NOT_ENDED}"
    " AND NOT EXISTS (SELECT 1 FROM dispatches d WHERE d.job = jobs.id AND NOT d.never_ran)"
)
BEFORE_FIRST_NUMBER = -1
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
    """This program can't use the file; the message says why."""


STATES = {str(state): state for state in JobState}
row_from_job = attrgetter(*FIELDS)


def _job_from_row(row: tuple[Any, ...]) -> Job:
    state, direct, any_of = STATES[row[4]], bool(row[11]), bool(row[14])
    values: list[Any] = [*row[:4], state, *row[5:11], direct, *row[12:14], any_of, *row[15:]]
    return Job(*values)


class JobStore:
    """The stored jobs of one dispatcher.

    The file is locked, because two dispatchers on one file would run its jobs twice.
    """

    def __init__(self, path: str) -> None:
        self.db = sqlite3.connect(path, isolation_level=None, timeout=0.5)
        self.db.execute("PRAGMA locking_mode = EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")  # acknowledged jobs survive a power failure
        self.db.execute("PRAGMA foreign_keys = ON")
        (version,) = self.db.execute("PRAGMA user_version").fetchone()
        if version > VERSION:
            raise StoreError(
                f"{path}: written by a newer version (schema {version}, this one reads up to {VERSION})"
            )
        for number in range(version, VERSION):
            # The schema and its version number change in one transaction: a crash leaves the file unchanged.
            script = f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA user_version = {number + 1}; COMMIT;"
            try:
                self.db.executescript(script)
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        self.db.execute("BEGIN IMMEDIATE")  # takes the lock now rather than at the first write
        self.db.execute("COMMIT")

    def close(self) -> None:
        """Close the file."""
        self.db.close()

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """Run the block as one transaction, with one flush; a nested one is part of the outer one."""
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

    # Adding and removing jobs.

    def add(self, job: Job, dependencies: Iterable[DependencyRow] = ()) -> None:
        """Record a job and its dependencies."""
        self.add_all([job], dependencies)

    def add_all(self, jobs: Iterable[Job], dependencies: Iterable[DependencyRow] = ()) -> None:
        """Record jobs and their dependencies."""
        with self.transaction():
            self.db.executemany(INSERT, map(row_from_job, jobs))
            self.db.executemany(
                "INSERT INTO edges (job, other, condition, done) VALUES (?, ?, ?, ?)",
                [(name, other, condition.value, done) for name, other, condition, done in dependencies],
            )

    def _keep_outcomes(self, where: str, *values: object) -> None:
        """Keep the outcomes of jobs that are about to be removed, for the jobs and batches that need them."""
        self.db.execute(
            "UPDATE edges SET done = (SELECT state = 'DONE' FROM jobs WHERE id = edges.other)"
            f" WHERE other IN (SELECT id FROM jobs WHERE {where})",
            values,
        )
        failures = f"SELECT batch, count(*) AS n FROM jobs WHERE state = 'FAILED' AND {where} GROUP BY batch"
        self.db.execute(
            f"UPDATE batches SET failed = failed + g.n FROM ({failures}) AS g WHERE batches.id = g.batch",
            values,
        )

    def remove(self, job_id: str) -> None:
        """Remove a job that has ended or was never acknowledged."""
        with self.transaction():
            self._keep_outcomes("id = ?", job_id)
            self.db.execute("DELETE FROM jobs WHERE id = ?", (job_id,))

    def remove_ended_before(self, finished: float) -> int:
        """Remove jobs that ended before a Unix time, and batches left empty; return the number of jobs."""
        where = "state IN ('DONE', 'FAILED') AND finished < ?"
        with self.transaction():
            self._keep_outcomes(where, finished)
            count = self.db.execute(f"DELETE FROM jobs WHERE {where}", (finished,)).rowcount
            empty = "submitted < ? AND NOT EXISTS (SELECT 1 FROM jobs WHERE batch = batches.id)"
            self.db.execute(
                "UPDATE edges SET done = (SELECT failed = 0 FROM batches WHERE id = edges.other)"
                f" WHERE other IN (SELECT id FROM batches WHERE {empty})",
                (finished,),
            )
            self.db.execute(f"DELETE FROM batches WHERE {empty}", (finished,))
        return count

    # Queries.

    def _jobs(self, where: str, *values: object) -> list[Job]:
        return [
            _job_from_row(row) for row in self.db.execute(f"SELECT {COLUMNS} FROM jobs WHERE {where}", values)
        ]

    def get(self, job_id: str) -> Job | None:
        """Return the job with this id."""
        return next(iter(self._jobs("id = ?", job_id)), None)

    def find_by_submission(self, submission: str) -> Job | None:
        """Return the job that was submitted with this key."""
        return next(iter(self._jobs("submission = ?", submission)), None)

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have not ended, oldest first; without templates, which take much memory."""
        columns = ", ".join("''" if name == "template" else name for name in FIELDS)
        rows = self.db.execute(f"SELECT {columns} FROM jobs WHERE {NOT_ENDED} ORDER BY submitted, rowid")
        return [_job_from_row(row) for row in rows]

    def newest(self, state: str | None, limit: int) -> list[tuple[str, str, str]]:
        """Return id, category and state of the newest jobs, of one state or of all."""
        where, values = ("1", ()) if state is None else ("state = ?", (state,))
        query = f"SELECT id, category, state FROM jobs WHERE {where} ORDER BY submitted DESC LIMIT ?"
        return self.db.execute(query, (*values, limit)).fetchall()

    def counts_by_state(self) -> dict[str, int]:
        """Return the number of jobs in each state."""
        return dict(self.db.execute("SELECT state, count(*) FROM jobs GROUP BY state"))

    def open_dependencies(self) -> list[DependencyRow]:
        """Return the dependencies of the jobs that have not ended, and the outcome of each that has ended."""
        rows = self.db.execute(
            "SELECT e.job, e.other, e.condition, e.done, o.state"
            f" FROM edges e JOIN jobs j ON j.id = e.job AND j.{NOT_ENDED} LEFT JOIN jobs o ON o.id = e.other"
            " ORDER BY e.rowid"
        ).fetchall()
        conditions = {condition.value: condition for condition in Condition}
        batch_outcomes: dict[str, bool | None] = {}
        dependencies = []
        for job, other, condition, recorded_done, state in rows:
            if state is not None:
                done = state == "DONE" if STATES[state].terminated else None
            elif recorded_done is not None:
                done = bool(recorded_done)
            else:  # a batch
                if other not in batch_outcomes:
                    batch_outcomes[other] = self.is_batch_done(other)
                done = batch_outcomes[other]
            dependencies.append((job, other, conditions[condition], done))
        return dependencies

    # States and ends.

    def set_state(self, job_id: str, state: JobState) -> None:
        """Set the state of a job that has not ended."""
        self.db.execute(f"UPDATE jobs SET state = ? WHERE id = ? AND {NOT_ENDED}", (state, job_id))

    def set_ready_times(self, rows: Iterable[tuple[float | None, str]]) -> None:
        """Record when jobs became ready: their ages count from then."""
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
        """Set the final state of a job; returns False if it has one already, which stays."""
        changed = self.db.execute(
            "UPDATE jobs SET state = ?, finished = ?, result = ?, annotation = ?, retry_after = ?"
            f" WHERE id = ? AND {NOT_ENDED}",
            (state, finished, result, annotation, retry_after, job_id),
        )
        return changed.rowcount == 1

    # Attempts.

    def record_attempt(self, job_id: str, worker: str, sent_s: float) -> int:
        """Record an attempt and that the job runs, before the first byte is sent; return its row."""
        with self.transaction():
            row = self.db.execute(
                "INSERT INTO dispatches (job, server, sent) VALUES (?, ?, ?)", (job_id, worker, sent_s)
            ).lastrowid
            self.set_state(job_id, JobState.RUNNING)
        assert row is not None
        return row

    def attempts(self, job_id: str) -> list[AttemptRecord]:
        """Return the attempts of a job, in order."""
        rows = self.db.execute(
            "SELECT server, sent, outcome, never_ran FROM dispatches WHERE job = ? ORDER BY rowid", (job_id,)
        )
        return [
            AttemptRecord(worker, sent_s, outcome, bool(never_ran))
            for worker, sent_s, outcome, never_ran in rows
        ]

    def earlier_attempts(self, job_id: str | None = None) -> dict[str, EarlierAttempts]:
        """Return the attempts that may have run, of one job or of all, that have not ended."""
        rows = self.db.execute(
            "SELECT d.job, min(d.sent), count(*), (SELECT last.server FROM dispatches last"
            " WHERE last.job = d.job AND NOT last.never_ran ORDER BY last.rowid DESC LIMIT 1)"
            f" FROM dispatches d JOIN jobs j ON j.id = d.job AND j.{NOT_ENDED}"
            " WHERE NOT d.never_ran AND (? IS NULL OR d.job = ?) GROUP BY d.job",
            (job_id, job_id),
        )
        return {
            job: EarlierAttempts(worker, first_sent_s, count) for job, first_sent_s, count, worker in rows
        }

    def late_reports(self, now_s: float) -> list[tuple[str, LateReport]]:
        """Return the reports that may still be repeated, each with its job, which has not ended."""
        rows = self.db.execute(
            "SELECT d.job, d.server, d.outcome, d.reports_until FROM dispatches d"
            f" JOIN jobs j ON j.id = d.job AND j.{NOT_ENDED} WHERE d.reports_until > ?",
            (now_s,),
        )
        return [
            (job, LateReport(callback_id, Outcome(outcome), until_s))
            for job, callback_id, outcome, until_s in rows
        ]

    def record_last_attempt_unrun(self, job_id: str, outcome: Outcome, reports_until_s: float) -> None:
        """Record that the last attempt of a job that may have run has never run."""
        self.db.execute(
            "UPDATE dispatches SET outcome = ?, never_ran = 1, reports_until = ? WHERE rowid ="
            " (SELECT max(rowid) FROM dispatches WHERE job = ? AND NOT never_ran)",
            (outcome.value, reports_until_s, job_id),
        )

    def record_attempt_ends(self, ends: Iterable[AttemptEnd]) -> None:
        """Record the ends of attempts."""
        statement = "UPDATE dispatches SET outcome = ?, never_ran = ?, reports_until = ? WHERE rowid = ?"
        values = [(end.outcome.value, end.outcome.never_ran, end.reports_until_s, end.row) for end in ends]
        with self.transaction():
            self.db.executemany(statement, values)

    # Batches.

    def add_batch(self, batch: Batch) -> None:
        """Record a batch; its jobs don't count before it is complete."""
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
        """Record that all jobs of a batch are stored."""
        self.db.execute("UPDATE batches SET complete = 1 WHERE id = ?", (batch_id,))

    def delete_batches(self, where: str = "complete = 0", *values: object) -> None:
        """Delete batches that were never acknowledged, with their jobs."""
        with self.transaction():
            query = f"SELECT id FROM batches WHERE {where}"
            self.db.execute(f"DELETE FROM jobs WHERE batch IN ({query})", values)
            self.db.execute(f"DELETE FROM batches WHERE {where}", values)

    def find_batch(self, column: str, value: str) -> Batch | None:
        """Return the batch with this `id` or `submission` key; `column` says which."""
        query = f"SELECT {BATCH_COLUMNS} FROM batches WHERE {column} = ?"
        row = self.db.execute(query, (value,)).fetchone()
        if row is None:
            return None
        name, submission, template, submitted, is_array, max_parallel, complete, failed = row
        return Batch(
            name, submission, template, submitted, bool(is_array), max_parallel, bool(complete), failed
        )

    def batch_members(
        self, batch_id: str, limit: int = -1, after_number: int = -1
    ) -> list[tuple[str, int, str]]:
        """Return id, number and label of the jobs of a batch with a number above `after_number`, in order."""
        query = "SELECT id, number, label FROM jobs WHERE batch = ? AND number > ? ORDER BY number LIMIT ?"
        return self.db.execute(query, (batch_id, after_number, limit)).fetchall()

    def batch_state_counts(self, batch_id: str) -> dict[str, int]:
        """Return the number of jobs of a batch in each state."""
        query = "SELECT state, count(*) FROM jobs WHERE batch = ? GROUP BY state"
        return dict(self.db.execute(query, (batch_id,)))

    def is_batch_done(self, batch_id: str) -> bool | None:
        """Return whether all jobs of a batch are done; None if some have not ended, False if unknown."""
        batch = self.find_batch("id", batch_id)
        if batch is None:
            return False
        states = self.batch_state_counts(batch_id)
        if any(not STATES[state].terminated for state in states):
            return None
        return batch.removed_failures == 0 and JobState.FAILED not in states

    def open_batches(self) -> list[tuple[str, int | None, bool]]:
        """Return id, max_parallel and whether a job has failed, of the batches with unfinished jobs."""
        rows = self.db.execute(
            "SELECT id, most, failed OR EXISTS (SELECT 1 FROM jobs WHERE batch = b.id AND state = 'FAILED')"
            f" FROM batches b WHERE EXISTS (SELECT 1 FROM jobs WHERE batch = b.id AND {NOT_ENDED})"
        )
        return [(name, max_parallel, bool(failed)) for name, max_parallel, failed in rows]

    # Operations on batches.

    def add_batch_operation(self, batch: str, operation: BatchOperation) -> StoredOperation:
        """Record an operation that is accepted."""
        row = self.db.execute(
            "INSERT INTO batch_operations (batch, operation, after_number) VALUES (?, ?, ?)",
            (batch, operation, BEFORE_FIRST_NUMBER),
        ).lastrowid
        assert row is not None
        return StoredOperation(row, batch, operation, BEFORE_FIRST_NUMBER)

    def batch_operations(self) -> list[StoredOperation]:
        """Return the operations that have not reached all jobs, in order."""
        rows = self.db.execute(
            "SELECT number, batch, operation, after_number FROM batch_operations ORDER BY number"
        )
        return [
            StoredOperation(row, batch, BatchOperation(operation), after)
            for row, batch, operation, after in rows
        ]

    def record_batch_progress(self, stored: StoredOperation, is_complete: bool) -> None:
        """Record how far an operation has come, or that it is complete."""
        if is_complete:
            self.db.execute("DELETE FROM batch_operations WHERE number = ?", (stored.row,))
        else:
            self.db.execute(
                "UPDATE batch_operations SET after_number = ? WHERE number = ?",
                (stored.after_number, stored.row),
            )

    def finish_unsent(self, stored: StoredOperation, finished: float, annotation: str) -> None:
        """End the jobs that an operation has not reached and that can't have run."""
        self.db.execute(
            f"UPDATE jobs SET state = 'FAILED', finished = ?, annotation = ? WHERE {UNREACHED_AND_UNSENT}",
            (finished, annotation, stored.batch, stored.after_number),
        )

    def hold_unsent(self, stored: StoredOperation) -> None:
        """Hold the jobs that an operation has not reached and that can't have run."""
        for state, held in HELD_STATES.items():
            self.db.execute(
                f"UPDATE jobs SET state = ? WHERE {UNREACHED_AND_UNSENT} AND state = ?",
                (held, stored.batch, stored.after_number, state),
            )

    # Workers drained by the operator.

    def drained_workers(self) -> set[str]:
        """Return the workers that the operator drains."""
        return {worker for (worker,) in self.db.execute("SELECT server FROM drains")}

    def set_drained(self, worker: str, drained: bool) -> None:
        """Record that the operator drains a worker, or no longer."""
        statement = (
            "INSERT OR IGNORE INTO drains VALUES (?)" if drained else "DELETE FROM drains WHERE server = ?"
        )
        self.db.execute(statement, (worker,))
