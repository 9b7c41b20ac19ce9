"""A simulation of an agent and the watches on it, with faults, and a check for late changes."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from grebestack.endpoint_watch.state_machine import (
    CloseWatch,
    EndpointWatch,
    Event,
    EventReceived,
    OpenWatch,
    SetTimer,
    Started,
    TimerFired,
    WatchEnded,
)
from grebestack.endpoint_watch.timing import DELIVERY_DEADLINE_MS, WatchSettings

TOLERANCE_MS = 50.0  # what the protocol allows for sockets
LINK_DELAY_MS = 2.0  # of a request or a line
Fault = tuple[float, str, float]  # when (ms), which one, its duration (ms)


@dataclass
class Stream:
    """A watch at the agent."""

    sent_version: int = -1  # the last one
    silenced: bool = False  # sends nothing any more
    answers_once: bool = False  # sends one line, and nothing after it
    heartbeat_number: int = 0


@dataclass
class Simulation:
    """One dispatcher and its agent. `delivered`: which versions reached the worker table, and when."""

    settings: WatchSettings
    seed: int
    faults: Sequence[Fault]
    watches_continue: bool = True  # whether watches that are open in an outage continue after it
    answers_once: bool = False  # whether those that are opened in an outage get a single line after it
    now: float = 0.0
    version: int = 0
    published: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 0)])  # versions of the agent
    delivered: list[tuple[float, int]] = field(default_factory=list)
    fell_silent: list[float] = field(default_factory=list)
    unreachable: list[tuple[float, float]] = field(default_factory=list)  # from when until when
    opened: list[float] = field(default_factory=list)
    streams: dict[int, Stream] = field(default_factory=dict)
    silent_until: float = 0.0
    refuses_until: float = 0.0
    timer_number: int = 0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    call_count: int = 0

    def call_at(self, ms: float, call: Callable[[], None]) -> None:
        self.call_count += 1
        heapq.heappush(self.queue, (ms, self.call_count, call))

    def run(self, until_ms: float, watch: EndpointWatch) -> None:
        self.watch = watch
        for when_ms, what, duration_ms in self.faults:
            self.call_at(when_ms, partial(self.apply_fault, what, duration_ms))
        self.handle(Started())
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def handle(self, event: Event) -> None:
        for action in self.watch.handle(self.now, event):
            if isinstance(action, OpenWatch):
                self.opened.append(self.now)
                self.call_at(self.now + LINK_DELAY_MS, partial(self.open_watch, action.number))
            elif isinstance(action, CloseWatch):
                self.streams.pop(action.number, None)
            elif isinstance(action, SetTimer):
                self.timer_number += 1
                self.call_at(action.at_ms, partial(self.fire_timer, self.timer_number))

    def fire_timer(self, number: int) -> None:
        if number == self.timer_number:
            self.handle(TimerFired())

    # The agent and its faults.

    def open_watch(self, number: int) -> None:
        if self.now < self.refuses_until:
            self.handle(WatchEnded(number))
            return
        stream = self.streams[number] = Stream()
        if self.now < self.silent_until:
            stream.silenced = not self.watches_continue and not self.answers_once
            stream.answers_once = self.answers_once
        else:
            self.send_list(number, stream)
        self.schedule_heartbeat(number, stream)

    def schedule_heartbeat(self, number: int, stream: Stream) -> None:
        """Send an empty line every 2 s as long as nothing changes."""

        def send_heartbeat(heartbeat_number: int) -> None:
            if self.streams.get(number) is stream and heartbeat_number == stream.heartbeat_number:
                if not stream.silenced and self.now >= self.silent_until:
                    self.call_at(
                        self.now + LINK_DELAY_MS, lambda: self.receive(number, stream, stream.sent_version)
                    )
                self.schedule_heartbeat(number, stream)

        stream.heartbeat_number += 1
        self.call_at(self.now + 2000.0, partial(send_heartbeat, stream.heartbeat_number))

    def send_list(self, number: int, stream: Stream) -> None:
        if not stream.silenced and stream.sent_version != self.version:
            stream.sent_version = version = self.version
            self.call_at(self.now + LINK_DELAY_MS, lambda: self.receive(number, stream, version))
            self.schedule_heartbeat(number, stream)
            stream.silenced = stream.answers_once

    def receive(self, number: int, stream: Stream, version: int) -> None:
        if self.streams.get(number) is not stream:
            return
        self.handle(EventReceived(number))
        if version >= 0:
            self.delivered.append((self.now, version))

    def send_lists(self) -> None:
        if self.now >= self.silent_until:
            for number, stream in list(self.streams.items()):
                self.send_list(number, stream)

    def apply_fault(self, what: str, duration_ms: float) -> None:
        if what == "change":
            if self.now >= self.silent_until:
                self.version += 1
                self.published.append((self.now, self.version))
                self.send_lists()
        elif what == "outage":  # it sends and learns nothing; after it, a change is due in the usual time
            self.silent_until = max(self.silent_until, self.now + duration_ms)
            self.unreachable.append((self.now, self.silent_until))
            if not self.watches_continue:
                self.silence_watches()
            self.call_at(self.silent_until, lambda: self.apply_fault("change", 0.0))
        elif what == "silence":  # open watches are silent from now on, new ones work
            self.silence_watches()
        elif what == "refuse":  # connections are refused, and open ones reset
            self.refuses_until = max(self.refuses_until, self.now + duration_ms)
            self.unreachable.append((self.now, self.refuses_until))
            self.reset_watches()
        else:
            self.reset_watches()

    def silence_watches(self) -> None:
        self.fell_silent += [self.now] if self.streams else []
        for stream in self.streams.values():
            stream.silenced = True

    def reset_watches(self) -> None:
        streams, self.streams = self.streams, {}
        for number in streams:
            self.call_at(self.now + LINK_DELAY_MS, partial(self.handle, WatchEnded(number)))

    def late_changes(self, until_ms: float, rule: WatchSettings | None = None) -> list[str]:
        """Describe each change that reached the worker table later than the rule allows."""
        late, rule = [], rule or self.settings
        for at, version in self.published:
            limit_ms = rule.drain_grace_ms + TOLERANCE_MS if rule.pushed else DELIVERY_DEADLINE_MS
            allowed_ms = at + limit_ms
            for since, until in sorted(
                [*self.unreachable, *((s, s + DELIVERY_DEADLINE_MS - limit_ms) for s in self.fell_silent)]
            ):
                if since <= allowed_ms:  # it could not be delivered meanwhile
                    allowed_ms = max(allowed_ms, until + limit_ms)
            if allowed_ms >= until_ms:
                continue
            delivered_ms = min((when for when, seen in self.delivered if seen >= version), default=until_ms)
            if delivered_ms > allowed_ms:
                late.append(f"version {version} of {at:.0f} ms: {delivered_ms:.0f}, due {allowed_ms:.0f}")
        return late


def simulate(
    settings: WatchSettings,
    seed: int,
    faults: Sequence[Fault],
    watches_continue: bool,
    until_ms: float = 40_000.0,
    watch_class: type[EndpointWatch] = EndpointWatch,
    answers_once: bool = False,
) -> Simulation:
    """Run one simulation to its end."""
    simulation = Simulation(settings, seed, faults, watches_continue, answers_once)
    simulation.run(until_ms, watch_class(settings, random.Random(seed).random))
    return simulation
