"""A closed-loop simulation of clients, workers and discovery around the adapter.

It sends batches of events to the adapter, carries out the returned actions and records the lines of both
directions. All random numbers come from the scenario's seed.
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
from tests.golden.scenarios import Fault, Raw, Scenario

OK, ERROR, REJECTED, TIMEOUT = 0, 255, 254, 253
CONNECT_FAILED, RESET, CANCELLED, NOT_SENT = 252, 251, 250, 249
STARTED, PROGRESS = 1, 2

SAME_ZONE_MS, OTHER_ZONE_MS = 0.3, 5.0
SAMPLE_INTERVAL_MS = 400.0
LIST_INTERVAL_MS = 900.0  # between two publications of the full list or of the weights
FAULT_DURATION_MS = 2500.0
FINAL_WAIT_MS = 12000.0  # after the last arrival, for the open requests
PROBE_INTERVAL_MS = 300.0
LOAD_PERIOD_MS = 8000.0
DEFAULT_RETRY_AFTER_MS = 100.0
MAX_REQUESTS = 3
RETRY_SHARE, BASE_ERROR_RATE, REPEATED_END_SHARE = 0.6, 0.01, 0.01
DEADLINE_GRACE_MS = 20.0
CELL_SIZE = 4


@dataclass
class Recording:
    """The lines of input and output."""

    inputs: list[str] = field(default_factory=list)
    outputs: list[str] = field(default_factory=list)
    events: int = 0


class Simulation:
    """One scenario, run once."""

    def __init__(self, scenario: Scenario, answer: Callable[[str], list[str]]) -> None:
        self.scenario, self.answer = scenario, answer
        self.random = Random(scenario.seed)
        self.now_ms = 0.0
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
        """Run until the scenario's number of events was sent and the open requests have had time to end."""
        self._begin_all()
        while self.tasks:
            if not self.arrivals_end and self.recording.events >= self.scenario.events:
                self.arrivals_end = True
                self._at(self.now_ms + FINAL_WAIT_MS, self.tasks.clear)
            self._run_next_batch()
        for dispatcher in range(self.scenario.dispatchers):
            self._event("halt", dispatcher)
        self._exchange()
        return self.recording

    # Time and batches.

    def _at(self, at_ms: float, task: Callable[[], None]) -> None:
        self.task_count += 1
        heapq.heappush(self.tasks, (at_ms, self.task_count, task))

    def _run_next_batch(self) -> None:
        """Advance to the next due task and exchange one batch."""
        ticks = math.ceil(max(self.tasks[0][0], self.now_ms + self.tick_ms) / self.tick_ms)
        self.now_ms = ticks * self.tick_ms
        while self.tasks and self.tasks[0][0] <= self.now_ms:
            heapq.heappop(self.tasks)[2]()
        if self.batch:
            self._exchange()

    def _event(self, message: str, dispatcher: int, **fields: object) -> None:
        self.batch.append({"msg": message, "dispatcher": dispatcher, **fields})

    def _exchange(self) -> None:
        batch, self.batch = self.batch, []
        self.recording.events += len(batch)
        lines: list[Raw] = [{"msg": "beginBatch", "atTimeMs": self.now_ms}, *batch, {"msg": "overToYou"}]
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
            raise RuntimeError(f"the adapter failed: {action['what']}")
        dispatcher: int = action["dispatcher"]
        if message == "schedule":
            self._set_timer(dispatcher, action["fireAtMs"], action["name"])
        elif message == "watch":
            self._at(self.now_ms + 30.0, lambda: self._subscribe(dispatcher))
        elif message == "send":
            self._send(self.requests[dispatcher, action["tid"]], self.workers[action["worker"]])
        elif message == "undoSend":
            self._cancel(self.requests[dispatcher, action["tid"]].attempts[action["sendNo"]])
        elif message in ("decline", "error"):
            self._on_rejected(self.requests[dispatcher, action["tid"]], action.get("comeBackMs"))
        else:
            raise RuntimeError(f"the simulation does not know the action {message!r}")

    # Instances, timers and probes.

    def _begin_all(self) -> None:
        for dispatcher in range(self.scenario.dispatchers):
            self._begin(dispatcher)
            self._at(100.0, partial(self._arrival, dispatcher))
            self._at(PROBE_INTERVAL_MS, partial(self._probe, dispatcher))
        self._at(SAMPLE_INTERVAL_MS, self._sample)
        self._at(LIST_INTERVAL_MS, self._publish_regularly)
        self._at(self.scenario.fault_interval_ms, self._start_fault)
        if self.scenario.restarts_dispatcher:
            self._at(6000.0, lambda: self._restart_dispatcher(0))
        self._exchange()

    def _begin(self, dispatcher: int) -> None:
        options = self.scenario.options
        own_options = {"me": options.get("me", 0) + dispatcher, "zone": self._zone(dispatcher)}
        seed = 1000 * self.scenario.seed + 10 * dispatcher + self.generations[dispatcher]
        self._event("begin", dispatcher, randomSeed=seed, options=options | own_options)
        if options["discovery"] == "pushed":
            self.subscribed[dispatcher] = True
            self._send_list(dispatcher, "disk", list(self.workers)[1:])  # outdated
            self._at(self.now_ms + 50.0, lambda: self._send_list(dispatcher, "snapshot"))

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

    def _probe(self, dispatcher: int) -> None:
        self._at(
            self.now_ms + self.random.uniform(0.5, 1.5) * PROBE_INTERVAL_MS, lambda: self._probe(dispatcher)
        )
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
        self._at(self.now_ms + gap_ms, lambda: self._arrival(dispatcher))
        shares = [job.share for job in self.scenario.jobs]
        job_class = self.random.choices(range(len(shares)), shares)[0]
        self._submit(dispatcher, job_class, request_count=1)

    def _mean_gap_ms(self) -> float:
        """Return the mean time between two arrivals at one dispatcher."""
        scenario = self.scenario
        capacity = sum(w.model.slots / w.model.slowness for w in self.workers.values() if w.state == ACTIVE)
        shares = sum(job.share for job in scenario.jobs)
        work_ms = sum(j.share * j.run_ms * sum(j.slots) / len(j.slots) for j in scenario.jobs) / shares
        wave = 1.0 + scenario.load_amplitude * math.sin(2.0 * math.pi * self.now_ms / LOAD_PERIOD_MS)
        return scenario.dispatchers * work_ms / (capacity * scenario.load * wave)

    def _submit(self, dispatcher: int, job_class: int, request_count: int) -> None:
        scenario, job = self.scenario, self.scenario.jobs[job_class]
        service = scenario.options["services"][job_class]
        run_ms = round(job.run_ms * self.random.lognormvariate(-0.1, 0.5), 2)
        number, self.next_request = self.next_request, self.next_request + 1
        deadline_ms = self.now_ms + round(service["hardLimitMs"] * self.random.choice((0.5, 1.0)), 2)
        message: Raw = {
            "tid": number,
            "update": service["effect"] != "free",
            "type": job_class,
            "mem": job.memory or None,
            "entity": self._key(),
            "clientGroup": self.random.randrange(scenario.tenants) if scenario.tenants else None,
            "notAfterMs": deadline_ms,
            "returned": False,
            "repeat": request_count > 1,
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
            request_count=request_count,
        )
        self.requests[dispatcher, number] = request
        self._event("submit", dispatcher, **message)
        self._at(deadline_ms, lambda: self._deadline(request))
        if self.random.random() < scenario.drop_share:
            drop_ms = self.now_ms + self.random.random() * 2.0 * service["aimMs"]
            self._at(drop_ms, lambda: self._drop(request))

    def _key(self) -> int | None:
        if not self.scenario.keys or self.random.random() < 0.1:
            return None
        return int(self.scenario.keys * self.random.random() ** 3)

    def _hint(self, run_ms: float) -> float | None:
        if not self.scenario.hints or self.random.random() < 0.1:
            return None
        return round(run_ms * self.random.uniform(0.3, 1.5), 2)

    def _is_instance_running(self, request: Request) -> bool:
        """Whether the instance that received the request is still running."""
        return request.generation == self.generations[request.dispatcher]

    def _deadline(self, request: Request) -> None:
        for attempt in request.attempts:
            self._end(attempt, TIMEOUT)
        self._at(self.now_ms + DEADLINE_GRACE_MS, lambda: self._drop(request))

    def _drop(self, request: Request) -> None:
        if not request.closed:
            request.closed = True
            self._event("dropped", request.dispatcher, tid=request.number)

    def _on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        request.closed = True
        retries = (
            request.request_count < MAX_REQUESTS
            and self.random.random() < RETRY_SHARE
            and not self.arrivals_end
        )
        if retries:
            dispatcher, job_class, request_count = (
                request.dispatcher,
                request.job_class,
                request.request_count + 1,
            )
            wait_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
            self._at(self.now_ms + wait_ms, lambda: self._submit(dispatcher, job_class, request_count))

    # Attempts.

    def _travel_ms(self, attempt: Attempt) -> float:
        same_zone = self._zone(attempt.request.dispatcher) == attempt.worker.zone
        mean_ms = SAME_ZONE_MS if same_zone else OTHER_ZONE_MS
        return mean_ms * self.random.uniform(0.8, 1.4)

    def _send(self, request: Request, worker: Worker) -> None:
        attempt = Attempt(request, len(request.attempts), worker, self.now_ms)
        request.attempts.append(attempt)
        if request.closed or len(request.attempts) > self.scenario.options["limits"]["mostTries"]:
            self._at(self.now_ms, lambda: self._end(attempt, NOT_SENT))
        else:
            self._at(self.now_ms + self._travel_ms(attempt), lambda: self._on_reached(attempt))

    def _on_reached(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt.ended:
            return
        if attempt.request.closed and self.random.random() < 0.5:
            self._end(attempt, NOT_SENT)
        elif not worker.reachable:
            timeout_ms = self.scenario.options["limits"]["connectTimeoutMs"]
            self._at(self.now_ms + timeout_ms, lambda: self._end(attempt, CONNECT_FAILED))
        elif not worker.accepts():
            self._at(self.now_ms + self._travel_ms(attempt), lambda: self._end(attempt, REJECTED))
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
        self._at(self.now_ms + run_ms, lambda: self._finish(attempt))
        travel_ms = self._travel_ms(attempt)
        if self.scenario.options["services"][request.job_class].get("streamed"):
            self._at(self.now_ms + travel_ms, lambda: self._first(attempt))
        elif self.scenario.options.get("extra", {}).get("tellsStart"):
            self._at(self.now_ms + travel_ms, lambda: self._signal(attempt, STARTED, None))
        if self.random.random() < 0.1:
            self._at(self.now_ms + run_ms / 2, lambda: self._signal(attempt, PROGRESS, 0.5))

    def _first(self, attempt: Attempt) -> None:
        request = attempt.request
        if not self._is_instance_running(request):
            return
        elapsed_ms = round(self.now_ms - attempt.sent_ms, 3)
        names: Raw = {"tid": request.number, "sendNo": attempt.number, "worker": attempt.worker.name}
        self._event("first", request.dispatcher, elapsedMs=elapsed_ms, **names)

    def _signal(self, attempt: Attempt, kind: int, level: float | None) -> None:
        request = attempt.request
        if not self._is_instance_running(request):
            return
        names: Raw = {"tid": request.number, "sendNo": attempt.number, "worker": attempt.worker.name}
        self._event("signal", request.dispatcher, level=level, kind=kind, **names)

    def _finish(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt not in worker.running:
            return
        if worker.hung:
            self._at(self.now_ms + 200.0, lambda: self._finish(attempt))
            return
        worker.remove(attempt)
        error_rate = 0.8 if worker.failing_class == attempt.request.job_class else BASE_ERROR_RATE
        code = ERROR if self.random.random() < error_rate else OK
        self._at(self.now_ms + self._travel_ms(attempt), lambda: self._end(attempt, code))
        self._serve(worker)

    def _cancel(self, attempt: Attempt) -> None:
        self._at(self.now_ms + self._travel_ms(attempt), lambda: self._on_cancelled(attempt))

    def _on_cancelled(self, attempt: Attempt) -> None:
        worker = attempt.worker
        if attempt in worker.running and not self.scenario.cancels_running_jobs:
            return
        worker.remove(attempt)
        self._end(attempt, CANCELLED)
        self._serve(worker)

    def _end(self, attempt: Attempt, code: int) -> None:
        request = attempt.request
        if attempt.ended:
            return
        attempt.ended = True
        request.closed = request.closed or code == OK
        if not self._is_instance_running(request):
            return
        inline = self.scenario.options["report"]["how"] == "inline" and code in (OK, ERROR, REJECTED)
        fields: Raw = {
            "tid": request.number,
            "sendNo": attempt.number,
            "worker": attempt.worker.name,
            "code": code,
            "elapsedMs": round(self.now_ms - attempt.sent_ms, 3),
            "closed": request.closed,
            "note": None,
            "stats": self._stats(attempt.worker) if inline else None,
        }
        self._event("ended", request.dispatcher, **fields)
        if self.random.random() < REPEATED_END_SHARE:  # the adapter ignores a repeated message
            self._event("ended", request.dispatcher, **fields)

    # Workers.

    def _add_worker(self, started_ms: float | None) -> Worker:
        index = len(self.workers)
        kind = index % len(self.scenario.models)
        name = f"worker.{self.random.randrange(36**5):06x}{index}"
        worker = Worker(
            name=name,
            model=self.scenario.models[kind],
            kind=kind,
            zone=index % self.zones,
            cell=index // CELL_SIZE,
            started_ms=started_ms,
        )
        worker.sample()
        self.workers[name] = worker
        return worker

    def _sample(self) -> None:
        self._at(self.now_ms + SAMPLE_INTERVAL_MS, self._sample)
        for worker in self.workers.values():
            worker.sample()

    def _stats(self, worker: Worker) -> dict[str, float | None] | None:
        """Return the last sample with noise; sometimes one value, or the whole report, is missing."""
        names = self.scenario.reports
        if not names or self.random.random() < 0.05:
            return None
        stats: dict[str, float | None] = {
            name: round(worker.report[name] * self.random.uniform(0.97, 1.03), 3) for name in names
        }
        if self.random.random() < 0.05:
            stats[self.random.choice(names)] = None
        return stats

    def _start_fault(self) -> None:
        gap_ms = self.scenario.fault_interval_ms * self.random.uniform(0.5, 1.5)
        self._at(self.now_ms + gap_ms, self._start_fault)
        healthy = [w for w in self.workers.values() if w.state == ACTIVE and w.reachable and not w.hung]
        if len(healthy) < 3:
            return
        worker, fault = self.random.choice(healthy), self.random.choice(self.scenario.faults)
        duration_ms = FAULT_DURATION_MS * self.random.uniform(0.3, 1.5)
        self._at(self.now_ms + duration_ms, lambda: self._recover(worker, fault))
        if fault is Fault.HANG:
            worker.hung = True
        elif fault is Fault.SLOW:
            worker.slowness = 6.0
        elif fault is Fault.ERRORS:
            worker.failing_class = self.random.randrange(len(self.scenario.jobs))
        elif fault is Fault.DRAIN:
            worker.state = LEAVING
            self._publish([worker.name])
        else:
            worker.reachable = False
            if fault is not Fault.UNREACHABLE:
                self._reset_jobs(worker)

    def _reset_jobs(self, worker: Worker) -> None:
        for attempt in worker.remove_all():
            self._end(attempt, RESET)

    def _recover(self, worker: Worker, fault: Fault) -> None:
        worker.hung, worker.slowness, worker.failing_class = False, 1.0, None
        if fault is Fault.DRAIN:
            worker.state, worker.reachable = LEFT, False
            self._reset_jobs(worker)
            self._publish([worker.name, self._add_worker(self.now_ms).name])
            if self.random.random() < 0.3:
                self._at(self.now_ms + FAULT_DURATION_MS, lambda: self._reinstate(worker))
            return
        worker.reachable = True
        if fault is Fault.CRASH:
            worker.started_ms = self.now_ms
            self._publish([worker.name])
        self._serve(worker)

    def _reinstate(self, worker: Worker) -> None:
        """Put a worker that had left back into use, without a report of a restart."""
        worker.state, worker.reachable = ACTIVE, True
        self._publish([worker.name])

    # Discovery.

    def _publish_regularly(self) -> None:
        self._at(self.now_ms + LIST_INTERVAL_MS, self._publish_regularly)
        listed = [worker.name for worker in self.workers.values() if worker.state != LEFT]
        if self.weights == "live":
            self._publish(listed)
        for dispatcher in range(self.scenario.dispatchers):
            if not self.subscribed[dispatcher]:
                continue
            if self.random.random() < self.scenario.list_failure_share:
                self._end_subscription(dispatcher)
            elif self.random.random() < 0.15:
                self._send_list(dispatcher, "snapshot")

    def _publish(self, names: list[str]) -> None:
        for dispatcher in range(self.scenario.dispatchers):
            delay_ms = self.random.uniform(10.0, 300.0)
            self._at(self.now_ms + delay_ms, partial(self._send_changes, dispatcher, names))

    def _send_changes(self, dispatcher: int, names: list[str]) -> None:
        if self.subscribed[dispatcher]:
            self._send_list(dispatcher, "diff", names)

    def _subscribe(self, dispatcher: int) -> None:
        if self.random.random() < self.scenario.list_failure_share:
            self._end_subscription(dispatcher)
        else:
            self.subscribed[dispatcher] = True
            self._send_list(dispatcher, "snapshot")

    def _end_subscription(self, dispatcher: int) -> None:
        self.subscribed[dispatcher] = False
        self._send_list(dispatcher, "error", [])

    def _send_list(self, dispatcher: int, how: str, names: list[str] | None = None) -> None:
        if names is None:
            names = [worker.name for worker in self.workers.values() if worker.state != LEFT]
        self.list_version += 1
        items = [self.workers[name].entry(self.weights) for name in names]
        self._event("peersKnown", dispatcher, how=how, version=self.list_version, items=items)
