"""An agent and the watches on it, in simulated time with faults; a checker of what came late."""

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

LATE_MS = 50.0  # the page's slack on sockets
WIRE_MS = 2.0  # a question or a line on its way
Fault = tuple[float, str, float]  # when (ms), what, and for how long


@dataclass
class Stream:
    """A watch as the agent has it."""

    told: int = -1  # the version that went out last
    dead: bool = False  # fell silent for good
    tick: int = 0


@dataclass
class Play:
    """One dispatcher and its agent. `seen` is what the server table has, and since when."""

    settings: WatchSettings
    seed: int
    faults: Sequence[Fault]
    keeps: bool = True  # whether watches that an outage finds, or that are opened in it, go on at its end
    now: float = 0.0
    version: int = 0
    got: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 0)])  # when the agent had a version
    seen: list[tuple[float, int]] = field(default_factory=list)
    fell_silent: list[float] = field(default_factory=list)
    away: list[tuple[float, float]] = field(default_factory=list)  # when the agent could not answer
    opened: list[float] = field(default_factory=list)
    streams: dict[int, Stream] = field(default_factory=dict)
    silent_until: float = 0.0
    refuses_until: float = 0.0
    woken: int = 0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    count: int = 0

    def at(self, ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (ms, self.count, call))

    def run(self, until_ms: float, watch: EndpointWatch) -> None:
        self.watch = watch
        for when, what, long in self.faults:
            self.at(when, partial(self.fault, what, long))
        self.feed(Started())
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def feed(self, event: Event) -> None:
        for action in self.watch.handle(self.now, event):
            if isinstance(action, OpenWatch):
                self.opened.append(self.now)
                self.at(self.now + WIRE_MS, partial(self.asked, action.number))
            elif isinstance(action, CloseWatch):
                self.streams.pop(action.number, None)
            elif isinstance(action, SetTimer):
                self.woken += 1
                self.at(action.at_ms, partial(self.wake, self.woken))

    def wake(self, number: int) -> None:
        if number == self.woken:
            self.feed(TimerFired())

    # The agent.

    def asked(self, number: int) -> None:
        if self.now < self.refuses_until:
            self.feed(WatchEnded(number))
            return
        stream = self.streams[number] = Stream()
        if self.now < self.silent_until:
            stream.dead = not self.keeps
        else:
            self.say(number, stream)
        self.beat(number, stream)

    def beat(self, number: int, stream: Stream) -> None:
        """An empty line every 2 s as long as nothing changes."""

        def empty(tick: int) -> None:
            if self.streams.get(number) is stream and tick == stream.tick:
                if not stream.dead and self.now >= self.silent_until:
                    self.at(self.now + WIRE_MS, lambda: self.hear(number, stream, stream.told))
                self.beat(number, stream)

        stream.tick += 1
        self.at(self.now + 2000.0, partial(empty, stream.tick))

    def say(self, number: int, stream: Stream) -> None:
        if not stream.dead and stream.told != self.version:
            stream.told = version = self.version
            self.at(self.now + WIRE_MS, lambda: self.hear(number, stream, version))
            self.beat(number, stream)

    def hear(self, number: int, stream: Stream, version: int) -> None:
        if self.streams.get(number) is not stream:
            return
        self.feed(EventReceived(number))
        if version >= 0:
            self.seen.append((self.now, version))

    def tell(self) -> None:
        if self.now >= self.silent_until:
            for number, stream in list(self.streams.items()):
                self.say(number, stream)

    def fault(self, what: str, long: float) -> None:
        if what == "change":
            if self.now >= self.silent_until:
                self.version += 1
                self.got.append((self.now, self.version))
                self.tell()
        elif what == "outage":  # it is silent and learns nothing; what it gets at the return counts at once
            self.silent_until = max(self.silent_until, self.now + long)
            self.away.append((self.now, self.silent_until))
            if not self.keeps:
                self.hush()
            self.at(self.silent_until, lambda: self.fault("change", 0.0))
        elif what == "hush":  # the open watches are silent from now on, while new ones are answered
            self.hush()
        elif what == "refuse":  # nobody listens; what is open is reset
            self.refuses_until = max(self.refuses_until, self.now + long)
            self.away.append((self.now, self.refuses_until))
            self.reset()
        else:
            self.reset()

    def hush(self) -> None:
        self.fell_silent += [self.now] if self.streams else []
        for stream in self.streams.values():
            stream.dead = True

    def reset(self) -> None:
        streams, self.streams = self.streams, {}
        for number in streams:
            self.at(self.now + WIRE_MS, partial(self.feed, WatchEnded(number)))

    def late(self, until_ms: float, rule: WatchSettings | None = None) -> list[str]:
        """What the server table had later than the rule allows."""
        wrong, rule = [], rule or self.settings
        for at, version in self.got:
            time = rule.drain_grace_ms + LATE_MS if rule.pushed else DELIVERY_DEADLINE_MS
            allowed = at + time
            for since, until in sorted(
                [*self.away, *((s, s + DELIVERY_DEADLINE_MS - time) for s in self.fell_silent)]
            ):
                if since <= allowed:  # nobody could know meanwhile
                    allowed = max(allowed, until + time)
            if allowed >= until_ms:
                continue
            came = min((when for when, seen in self.seen if seen >= version), default=until_ms)
            if came > allowed:
                wrong.append(f"version {version} of {at:.0f} ms came at {came:.0f}, allowed to {allowed:.0f}")
        return wrong


def play(
    settings: WatchSettings,
    seed: int,
    faults: Sequence[Fault],
    keeps: bool,
    until_ms: float = 40_000.0,
    kind: type[EndpointWatch] = EndpointWatch,
) -> Play:
    """One play, whole."""
    game = Play(settings, seed, faults, keeps)
    game.run(until_ms, kind(settings, random.Random(seed).random))
    return game
