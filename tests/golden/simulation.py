"""A closed-loop simulation of clients, workers and discovery around the adapter.

It feeds the adapter batch by batch, carries out the actions that come back and keeps both sides' lines. All
chance comes from the scenario's seed.
"""

from __future__ import annotations

import heapq
import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from tests.golden.cluster import ACTIVE, LEAVING, LEFT, Attempt, Request, Worker
from tests.golden.scenarios import Raw, Scenario, Trouble

OK, ERROR, REJECTED, TIMEOUT = 0, 255, 254, 253
CONNECT_FAILED, RESET, CANCELLED, NOT_SENT = 252, 251, 250, 249
STARTED, PROGRESS = 1, 2

SAME_ZONE_MS, OTHER_ZONE_MS = 0.3, 5.0
SAMPLE_MS = 400.0
LIST_MS = 900.0  # between two publications of the whole list or of the weights
TROUBLE_LASTS_MS = 2500.0
SETTLE_MS = 12000.0  # after the last arrival, for what is still open
ECHO_MS = 300.0
WAVE_MS = 8000.0
RETRY_MS = 100.0
MOST_TRIES = 3
RETRY_SHARE, BASE_ERRORS, STRAY_SHARE = 0.6, 0.01, 0.01
DEADLINE_GRACE_MS = 20.0
CELL_SIZE = 4


@dataclass
class Recording:
    """What went in and came out."""

    inputs: list[str] = field(default_factory=list)
    outputs: list[str] = field(default_factory=list)
    events: int = 0


class Simulation:
    """One scenario, run once."""

    def __init__(self, scenario: Scenario, answer: Callable[[str], list[str]]) -> None:
        self.scenario, self.answer = scenario, answer
        self.random = Random(scenario.seed)
        self.now = 0.0
        self.tick_ms: float = scenario.options["tickMs"]
        self.weights: str = scenario.options.get("weights", "off")
        self.zones = len(scenario.options["zones"])
        self.tasks: list[tuple[float, int, Callable[[], None]]] = []
        self.task_count = 0
        self.batch: list[Raw] = []
        self.recording = Recording()
        self.workers: dict[str, Worker] = {}
        self.requests: dict[tuple[int, int], Request] = {}
        self.next_request = 1
        self.generations = [0] * scenario.dispatchers
        self.subscribed = [False] * scenario.dispatchers
        self.list_version = 0
        self.arrivals_end = False
        for _ in range(scenario.workers):
            self._add_worker(None)

    def run(self) -> Recording:
        """Run until as many events went in as the scenario says, and all requests are over."""
        self._begin_all()
        while self.tasks:
            if not self.arrivals_end and self.recording.events >= self.scenario.events:
                self.arrivals_end = True
                self._at(self.now + SETTLE_MS, self.tasks.clear)
            self._turn()
        for dispatcher in range(self.scenario.dispatchers):
            self._event("halt", dispatcher)
        self._exchange()
        return self.recording

    # Time and batches.

    def _at(self, at_ms: float, task: Callable[[], None]) -> None:
        self.task_count += 1
        heapq.heappush(self.tasks, (at_ms, self.task_count, task))

    def _turn(self) -> None:
        """Advance to the next due task and exchange one batch."""
        ticks = math.ceil(max(self.tasks[0][0], self.now + self.tick_ms) / self.tick_ms)
        self.now = ticks * self.tick_ms
        while self.tasks and self.tasks[0][0] <= self.now:
            heapq.heappop(self.tasks)[2]()
        if self.batch:
            self._exchange()

    def _event(self, message: str, dispatcher: int, **fields: object) -> None:
        self.batch.append({"msg": message, "dispatcher": dispatcher, **fields})

    def _exchange(self) -> None:
        batch, self.batch = self.batch, []
        self.recording.events += len(batch)
        lines: list[Raw] = [{"msg": "beginBatch", "atTimeMs": self.now}, *batch, {"msg": "overToYou"}]
        replies: list[str] = []
        for line in lines:
            text = json.dumps(line, separators=(",", ":"))
            self.recording.inputs.append(text)
            replies += self.answer(text)
        self.recording.outputs += replies
        for reply in replies:
            self._execute(json.loads(reply))

    def _execute(self, action: Raw) -> None:
        message = action["msg"]
        if message == "ready":
            return
        if message == "panic":
            raise RuntimeError(f"the adapter panicked: {action['what']}")
        dispatcher: int = action["dispatcher"]
        if message == "schedule":
            self._set_timer(dispatcher, action["fireAtMs"], action["name"])
        elif message == "watch":
            self._at(self.now + 30.0, lambda: self._subscribe(dispatcher))
        elif message == "send":
            self._send(self.requests[dispatcher, action["tid"]], self.workers[action["worker"]])
        elif message == "undoSend":
            self._cancel(self.requests[dispatcher, action["tid"]].attempts[action["sendNo"]])
        elif message in ("decline", "error"):
            self._refused(self.requests[dispatcher, action["tid"]], action.get("comeBackMs"))
        else:
            raise RuntimeError(f"the simulation does not know the action {message!r}")

    # Instances, timers and probes.

    def _begin_all(self) -> None:
        for dispatcher in range(self.scenario.dispatchers):
            self._begin(dispatcher)
            self._at(100.0, partial(self._arrival, dispatcher))
            self._at(ECHO_MS, partial(self._echo, dispatcher))
        self._at(SAMPLE_MS, self._sample)
        self._at(LIST_MS, self._publish_regularly)
        self._at(self.scenario.trouble_every_ms, self._trouble)
        if self.scenario.restarts_dispatcher:
            self._at(6000.0, lambda: self._restart_dispatcher(0))
        self._exchange()

    def _begin(self, dispatcher: int) -> None:
        options = self.scenario.options
        own = {"me": options.get("me", 0) + dispatcher, "zone": self._zone(dispatcher)}
        seed = 1000 * self.scenario.seed + 10 * dispatcher + self.generations[dispatcher]
        self._event("begin", dispatcher, randomSeed=seed, options=options | own)
        if options["discovery"] == "pushed":
            self.subscribed[dispatcher] = True
            self._list(dispatcher, "disk", list(self.workers)[1:])  # outdated
            self._at(self.now + 50.0, lambda: self._list(dispatcher, "snapshot"))

    def _zone(self, dispatcher: int) -> int:
        zone: int = self.scenario.options.get("zone", 0)
        return (zone + dispatcher) % self.zones

    def _restart_dispatcher(self, dispatcher: int) -> None:
        self._event("halt", dispatcher)
        self.generations[dispatcher] += 1
        for request in self.requests.values():
            request.closed = request.closed or request.dispatcher == dispatcher
        self._begin(dispatcher)

    def _set_timer(self, dispatcher: int, at_ms: float, token: int) -> None:
        generation = self.generations[dispatcher]

        def fire() -> None:
            if generation == self.generations[dispatcher]:
                self._event("wakeup", dispatcher, name=token)

        self._at(at_ms, fire)

    def _echo(self, dispatcher: int) -> None:
        self._at(self.now + self.random.uniform(0.5, 1.5) * ECHO_MS, lambda: self._echo(dispatcher))
        worker = self.random.choice(list(self.workers.values()))
        code = OK if worker.reachable else TIMEOUT
        stats = self._stats(worker) if code == OK else None
        self._event("echo", dispatcher, worker=worker.name, code=code, elapsedMs=1.5, stats=stats)
        if self.random.random() < 0.1:
            self._event("memo", dispatcher, src=1, content="hello")

    # Clients.

    def _arrival(self, dispatcher: int) -> None:
        if self.arrivals_end:
            return
        gap_ms = self.random.expovariate(1.0 / self._mean_gap_ms())
        self._at(self.now + gap_ms, lambda: self._arrival(dispatcher))
        shares = [job.share for job in self.scenario.jobs]
        job_class = self.random.choices(range(len(shares)), shares)[0]
        self._submit(dispatcher, job_class, tries=1)

    def _mean_gap_ms(self) -> float:
        """Between two arrivals at one dispatcher."""
        scenario = self.scenario
        capacity = sum(w.model.slots / w.model.slowness for w in self.workers.values() if w.state == ACTIVE)
        shares = sum(job.share for job in scenario.jobs)
        work_ms = sum(j.share * j.run_ms * sum(j.slots) / len(j.slots) for j in scenario.jobs) / shares
        wave = 1.0 + scenario.swing * math.sin(2.0 * math.pi * self.now / WAVE_MS)
        return scenario.dispatchers * work_ms / (capacity * scenario.load * wave)

    def _submit(self, dispatcher: int, job_class: int, tries: int) -> None:
        scenario, job = self.scenario, self.scenario.jobs[job_class]
        service = scenario.options["services"][job_class]
        run_ms = round(job.run_ms * self.random.lognormvariate(-0.1, 0.5), 2)
        number, self.next_request = self.next_request, self.next_request + 1
        deadline_ms = self.now + round(service["hardLimitMs"] * self.random.choice((0.5, 1.0)), 2)
        message: Raw = {
            "tid": number,
            "update": service["effect"] != "free",
            "type": job_class,
            "mem": job.memory or None,
            "entity": self._key(),
            "clientGroup": self.random.randrange(scenario.tenants) if scenario.tenants else None,
            "notAfterMs": deadline_ms,
            "returned": False,
            "repeat": tries > 1,
            "slots": self.random.choice(job.slots),
            "costMs": self._hint(run_ms),
        }
        request = Request(
            dispatcher=dispatcher,
            generation=self.generations[dispatcher],
            number=number,
            job_class=job_class,
            deadline_ms=deadline_ms,
            slots=message["slots"],
            memory=job.memory,
            run_ms=run_ms,
            tries=tries,
        )
        self.requests[dispatcher, number] = request
        self._event("submit", dispatcher, **message)
        self._at(deadline_ms, lambda: self._deadline(request))
        if self.random.random() < scenario.impatience:
            leaves_ms = self.now + self.random.random() * 2.0 * service["aimMs"]
            self._at(leaves_ms, lambda: self._drop(request))

    def _key(self) -> int | None:
        if not self.scenario.keys or self.random.random() < 0.1:
            return None
        return int(self.scenario.keys * self.random.random() ** 3)

    def _hint(self, run_ms: float) -> float | None:
        if not self.scenario.hints or self.random.random() < 0.1:
            return None
        return round(run_ms * self.random.uniform(0.3, 1.5), 2)

    def _known(self, request: Request) -> bool:
        """Whether the instance that got the request still runs."""
        return request.generation == self.generations[request.dispatcher]

    def _deadline(self, request: Request) -> None:
        for attempt in request.attempts:
            self._end(attempt, TIMEOUT)
        self._at(self.now + DEADLINE_GRACE_MS, lambda: self._drop(request))

    def _drop(self, request: Request) -> None:
        if not request.closed:
            request.closed = True
            self._event("dropped", request.dispatcher, tid=request.number)

    def _refused(self, request: Request, come_back_ms: float | None) -> None:
        request.closed = True
        again = request.tries < MOST_TRIES and self.random.random() < RETRY_SHARE and not self.arrivals_end
        if again:
            dispatcher, job_class, tries = request.dispatcher, request.job_class, request.tries + 1
            wait_ms = come_back_ms or RETRY_MS
            self._at(self.now + wait_ms, lambda: self._submit(dispatcher, job_class, tries))

    # Attempts.

    def _way_ms(self, attempt: Attempt) -> float:
        same_zone = self._zone(attempt.request.dispatcher) == attempt.worker.zone
        mean_ms = SAME_ZONE_MS if same_zone else OTHER_ZONE_MS
        return mean_ms * self.random.uniform(0.8, 1.4)

    def _send(self, request: Request, worker: Worker) -> None:
        attempt = Attempt(request, len(request.attempts), worker, self.now)
        request.attempts.append(attempt)
        if request.closed or len(request.attempts) > self.scenario.options["limits"]["mostTries"]:
            self._at(self.now, lambda: self._end(attempt, NOT_SENT))
        else:
            self._at(self.now + self._way_ms(attempt), lambda: self._reach(attempt))

    def _reach(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt.ended:
            return
        if attempt.request.closed and self.random.random() < 0.5:
            self._end(attempt, NOT_SENT)
        elif not worker.reachable:
            timeout_ms = self.scenario.options["limits"]["connectTimeoutMs"]
            self._at(self.now + timeout_ms, lambda: self._end(attempt, CONNECT_FAILED))
        elif not worker.accepts():
            self._at(self.now + self._way_ms(attempt), lambda: self._end(attempt, REJECTED))
        else:
            worker.queue.append(attempt)
            self._serve(worker)

    def _serve(self, worker: Worker) -> None:
        while attempt := worker.next_job():
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        worker, request = attempt.worker, attempt.request
        attempt.started = True
        run_ms = request.run_ms * worker.slowness * worker.model.slowness
        self._at(self.now + run_ms, lambda: self._finish(attempt))
        way_ms = self._way_ms(attempt)
        if self.scenario.options["services"][request.job_class].get("streamed"):
            self._at(self.now + way_ms, lambda: self._first(attempt))
        elif self.scenario.options.get("extra", {}).get("tellsStart"):
            self._at(self.now + way_ms, lambda: self._signal(attempt, STARTED, None))
        if self.random.random() < 0.1:
            self._at(self.now + run_ms / 2, lambda: self._signal(attempt, PROGRESS, 0.5))

    def _first(self, attempt: Attempt) -> None:
        request = attempt.request
        if not self._known(request):
            return
        elapsed_ms = round(self.now - attempt.sent_ms, 3)
        names: Raw = {"tid": request.number, "sendNo": attempt.number, "worker": attempt.worker.name}
        self._event("first", request.dispatcher, elapsedMs=elapsed_ms, **names)

    def _signal(self, attempt: Attempt, kind: int, level: float | None) -> None:
        request = attempt.request
        if not self._known(request):
            return
        names: Raw = {"tid": request.number, "sendNo": attempt.number, "worker": attempt.worker.name}
        self._event("signal", request.dispatcher, level=level, kind=kind, **names)

    def _finish(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt not in worker.running:
            return
        if worker.hung:
            self._at(self.now + 200.0, lambda: self._finish(attempt))
            return
        worker.forget(attempt)
        errors = 0.8 if worker.failing_class == attempt.request.job_class else BASE_ERRORS
        code = ERROR if self.random.random() < errors else OK
        self._at(self.now + self._way_ms(attempt), lambda: self._end(attempt, code))
        self._serve(worker)

    def _cancel(self, attempt: Attempt) -> None:
        self._at(self.now + self._way_ms(attempt), lambda: self._withdraw(attempt))

    def _withdraw(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt in worker.running and not self.scenario.stops_running:
            return
        worker.forget(attempt)
        self._end(attempt, CANCELLED)
        self._serve(worker)

    def _end(self, attempt: Attempt, code: int) -> None:
        request = attempt.request
        if attempt.ended:
            return
        attempt.ended = True
        request.closed = request.closed or code == OK
        if not self._known(request):
            return
        inline = self.scenario.options["report"]["how"] == "inline" and code in (OK, ERROR, REJECTED)
        fields: Raw = {
            "tid": request.number,
            "sendNo": attempt.number,
            "worker": attempt.worker.name,
            "code": code,
            "elapsedMs": round(self.now - attempt.sent_ms, 3),
            "closed": request.closed,
            "note": None,
            "stats": self._stats(attempt.worker) if inline else None,
        }
        self._event("ended", request.dispatcher, **fields)
        if self.random.random() < STRAY_SHARE:  # a repeated message is passed over
            self._event("ended", request.dispatcher, **fields)

    # Workers.

    def _add_worker(self, started_ms: float | None) -> Worker:
        place = len(self.workers)
        kind = place % len(self.scenario.models)
        name = f"worker.{self.random.randrange(36**5):06x}{place}"
        worker = Worker(
            name=name,
            model=self.scenario.models[kind],
            kind=kind,
            zone=place % self.zones,
            cell=place // CELL_SIZE,
            started_ms=started_ms,
        )
        worker.sample()
        self.workers[name] = worker
        return worker

    def _sample(self) -> None:
        self._at(self.now + SAMPLE_MS, self._sample)
        for worker in self.workers.values():
            worker.sample()

    def _stats(self, worker: Worker) -> dict[str, float | None] | None:
        """The last sample, with noise; now and then one value, or the whole report, is missing."""
        names = self.scenario.reports
        if not names or self.random.random() < 0.05:
            return None
        stats: dict[str, float | None] = {
            name: round(worker.report[name] * self.random.uniform(0.97, 1.03), 3) for name in names
        }
        if self.random.random() < 0.05:
            stats[self.random.choice(names)] = None
        return stats

    def _trouble(self) -> None:
        gap_ms = self.scenario.trouble_every_ms * self.random.uniform(0.5, 1.5)
        self._at(self.now + gap_ms, self._trouble)
        healthy = [w for w in self.workers.values() if w.state == ACTIVE and w.reachable and not w.hung]
        if len(healthy) < 3:
            return
        worker, trouble = self.random.choice(healthy), self.random.choice(self.scenario.troubles)
        lasts_ms = TROUBLE_LASTS_MS * self.random.uniform(0.3, 1.5)
        self._at(self.now + lasts_ms, lambda: self._recover(worker, trouble))
        if trouble is Trouble.HANG:
            worker.hung = True
        elif trouble is Trouble.SLOW:
            worker.slowness = 6.0
        elif trouble is Trouble.ERRORS:
            worker.failing_class = self.random.randrange(len(self.scenario.jobs))
        elif trouble is Trouble.DRAIN:
            worker.state = LEAVING
            self._publish([worker.name])
        else:
            worker.reachable = False
            if trouble is not Trouble.UNREACHABLE:
                self._reset_jobs(worker)

    def _reset_jobs(self, worker: Worker) -> None:
        for attempt in worker.take_all():
            self._end(attempt, RESET)

    def _recover(self, worker: Worker, trouble: Trouble) -> None:
        worker.hung, worker.slowness, worker.failing_class = False, 1.0, None
        if trouble is Trouble.DRAIN:
            worker.state, worker.reachable = LEFT, False
            self._reset_jobs(worker)
            self._publish([worker.name, self._add_worker(self.now).name])
            if self.random.random() < 0.3:
                self._at(self.now + TROUBLE_LASTS_MS, lambda: self._return(worker))
            return
        worker.reachable = True
        if trouble is Trouble.CRASH:
            worker.started_ms = self.now
            self._publish([worker.name])
        self._serve(worker)

    def _return(self, worker: Worker) -> None:
        """One that had left is put back, without word of a restart."""
        worker.state, worker.reachable = ACTIVE, True
        self._publish([worker.name])

    # Discovery.

    def _publish_regularly(self) -> None:
        self._at(self.now + LIST_MS, self._publish_regularly)
        live = [worker.name for worker in self.workers.values() if worker.state != LEFT]
        if self.weights == "live":
            self._publish(live)
        for dispatcher in range(self.scenario.dispatchers):
            if not self.subscribed[dispatcher]:
                continue
            if self.random.random() < self.scenario.list_failures:
                self._break(dispatcher)
            elif self.random.random() < 0.15:
                self._list(dispatcher, "snapshot")

    def _publish(self, names: list[str]) -> None:
        for dispatcher in range(self.scenario.dispatchers):
            delay_ms = self.random.uniform(10.0, 300.0)
            self._at(self.now + delay_ms, partial(self._tell, dispatcher, names))

    def _tell(self, dispatcher: int, names: list[str]) -> None:
        if self.subscribed[dispatcher]:
            self._list(dispatcher, "diff", names)

    def _subscribe(self, dispatcher: int) -> None:
        if self.random.random() < self.scenario.list_failures:
            self._break(dispatcher)
        else:
            self.subscribed[dispatcher] = True
            self._list(dispatcher, "snapshot")

    def _break(self, dispatcher: int) -> None:
        self.subscribed[dispatcher] = False
        self._list(dispatcher, "error", [])

    def _list(self, dispatcher: int, how: str, names: list[str] | None = None) -> None:
        if names is None:
            names = [worker.name for worker in self.workers.values() if worker.state != LEFT]
        self.list_version += 1
        items = [self.workers[name].entry(self.weights) for name in names]
        self._event("peersKnown", dispatcher, how=how, version=self.list_version, items=items)
