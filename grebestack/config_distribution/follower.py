"""One follower: has in force what voters have decided, as relays tell it. Pure.

It is connected to one relay, asks again at a slow pace, and goes to another relay where one is silent or
has known nothing of a majority for long. A version is put in force only whole and checked, after it is on
the disk: a crash between the two leaves a disk that is ahead of what was in force, never behind it. At a
start the disk's version waits a moment for a relay's word, so that an old disk is not seen where a relay can
be heard.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from math import inf
from random import Random

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Apply,
    Close,
    Connect,
    FollowerAction,
    MajorityConfirmed,
    PublishVersion,
    Send,
    Store,
)
from grebestack.config_distribution.messages import (
    NEVER_CONFIRMED_MS,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    Message,
    NotModified,
    Poll,
    StatusReport,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
    tag_of,
)
from grebestack.config_distribution.versions import (
    NO_VERSION,
    Version,
    apply_delta,
    contents_problem,
    invalid_value,
    version_problem,
)
from grebestack.consensus.actions import Told

VersionContents = tuple[Version, bytes]
PAUSED, DIALLING, GREETING, LINKED = "paused", "dialling", "greeting", "linked"
STORING, APPLYING = "storing", "applying"
MAX_REASON_LENGTH = 500  # characters
MAX_DELTA_BASES = 3  # contents that were told to a relay as held


def region_of(place: str) -> str:
    """The region of "region/zone"."""
    return place.partition("/")[0]


def relay_order(name: str, place: str, places: Mapping[str, str]) -> tuple[str, ...]:
    """Relays as a follower goes to them.

    By rendezvous hashing (Thaler and Ravishankar 1998) within its own region; the second one stands in
    another zone than the first; then the rest of the region, then other regions.
    """

    def weight(relay: str) -> bytes:
        return hashlib.sha256(f"{name}\0{relay}".encode()).digest()

    near = sorted((r for r in places if region_of(places[r]) == region_of(place)), key=weight)
    far = sorted(places.keys() - set(near), key=weight)
    if near:
        near = near[:1] + sorted(near[1:], key=lambda relay: places[relay] == places[near[0]])
    return (*near, *far)


def stale_relay_stay_ms(former: int) -> tuple[float, float]:
    """Between which ms a follower stays with a stale relay, after so many times in a row."""
    factor = 2.0 ** max(0, former + 1 - timeouts.STALE_RELAY_STAYS_BEFORE_BACKOFF)
    least, most = timeouts.STALE_RELAY_STAY_MS
    top_least, top_most = timeouts.MAX_STALE_RELAY_STAY_MS
    return min(least * factor, top_least), min(most * factor, top_most)


class Follower:
    """Events in, actions out. One link at a time, numbered by `Connect`; events of earlier links are ignored.

    `places`: of each relay its "region/zone". `relays` says whether this follower is itself a relay (it polls
    at a quicker pace and gives `PublishVersion` and `MajorityConfirmed`). Times are monotonic milliseconds.
    """

    def __init__(
        self,
        name: str,
        fleet: str,
        place: str,
        life: int,
        places: Mapping[str, str],
        random: Random,
        relays: bool = False,
    ) -> None:
        self.name, self.fleet, self.place, self.life = name, fleet, place, life
        self.random, self.relays = random, relays
        self.order = relay_order(name, place, places)
        self.version: Version = NO_VERSION  # in force
        self.contents = b""
        self.disk: tuple[
            VersionContents, ...
        ] = ()  # at a start, until something is in force; the newest first
        self.start_ms = 0.0  # until when the disk waits for a relay's word
        self.pending: VersionContents | None = None  # being stored or applied
        self.step = ""
        self.wanted: VersionContents | None = None  # checked, and waits for `pending`
        self.bases: dict[str, bytes] = {}  # contents that the relay may base a difference on
        self.refused, self.refused_why = 0, ""
        self.floor = 0  # acknowledged in a former life, as a relay knows
        self.link, self.relay, self.state = 0, "", PAUSED
        self.deadline_ms = inf  # of what is awaited on the link
        self.poll_ms = inf
        self.again_ms = 0.0  # when to dial
        self.tries = 0
        self.tried: frozenset[str] = frozenset()  # since a relay was good
        self.again_round = False  # all have been tried once and none was good
        self.settled_ms = 0.0  # until when a stale relay is borne
        self.settlings = 0  # in a row
        self.home_ms = inf
        self.newer = 0  # the relay has it and it has not come
        self.told: dict[str, int] = {}  # of each relay the highest number that it has told
        self.confirmed_ms: float | None = None  # when a majority knew nothing newer
        self.heard_ms: float | None = None
        self.began_ms = 0.0
        self.noted: frozenset[str] = frozenset()  # told once

    # Events of the process.

    def start(self, now_ms: float, disk: Sequence[VersionContents] = ()) -> list[FollowerAction]:
        """Started, with what the disk holds (unsorted, each whole; one that does not fit is passed over)."""
        actions: list[FollowerAction] = []
        sound_ones = []
        for version, contents in disk:
            if why := contents_problem(version, contents):
                actions.append(Told("configuration_disk", {"number": version.number, "why": why}))
            else:
                sound_ones.append((version, contents))
        self.disk = tuple(sorted(sound_ones, key=lambda held: -held[0].number))
        if self.relays and self.disk:
            actions.append(PublishVersion(*self.disk[0]))
        self.began_ms = now_ms
        self.start_ms = now_ms + timeouts.STARTUP_GRACE_MS
        self.again_ms = now_ms + self.random.uniform(*timeouts.RECONNECT_BACKOFF_MS)
        return actions + self.tick(now_ms)

    def stored(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """A version is on the disk for good, or could not be written and why."""
        if self.pending is None or self.step != STORING or self.pending[0].number != number:
            return []
        actions: list[FollowerAction] = []
        if why:  # it serves under it all the same
            actions.append(Told("configuration_not_stored", {"number": number, "why": why}))
        self.step = APPLYING
        return [*actions, Apply(*self.pending)]

    def taken(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """A version that was to be applied is in force, or was refused and why."""
        if self.pending is None or self.step != APPLYING or self.pending[0].number != number:
            return []
        (version, contents), self.pending, self.step = self.pending, None, ""
        actions: list[FollowerAction] = []
        if why:
            self.refused, self.refused_why = number, why[:MAX_REASON_LENGTH]
            actions.append(Told("configuration_refused", {"number": number, "why": why}))
            if number >= self.newer:
                self.newer = 0
        else:
            self.version, self.contents, self.disk = version, contents, ()
            self.floor = max(self.floor, number)
            if number >= self.newer:
                self.newer = 0
            if self.refused <= number:
                self.refused, self.refused_why = 0, ""
            kv = {"number": number, "digest": version.digest, "by": version.by, "relay": self.relay}
            actions.append(Told("configuration_in_force", kv))
        if self.state == LINKED:
            actions += self._poll(now_ms)
        return actions + self._begin(now_ms)

    def tallied(self, now_ms: float, tally: StatusReport) -> list[FollowerAction]:
        """This process is a relay: its word on its followers, or one that came from below, goes upstream."""
        return [Send(self.link, tally)] if self.state == LINKED else []

    # Events of the link.

    def connected(self, now_ms: float, link: int) -> list[FollowerAction]:
        """The connection that was dialled is up."""
        if link != self.link or self.state != DIALLING:
            return []
        self.state, self.deadline_ms = GREETING, now_ms + timeouts.SUBSCRIBE_TIMEOUT_MS
        number, digest = self.version.number, self._base()
        return [
            Send(
                link,
                Subscribe(PROTOCOL_VERSION, self.fleet, self.name, self.life, self.place, number, digest),
            )
        ]

    def lost(self, now_ms: float, link: int, why: str) -> list[FollowerAction]:
        """The connection could not be made, has ended, or carried what is no message (`why` says so)."""
        if link != self.link or self.state == PAUSED:
            return []
        return self._leave(now_ms, why, closed=True)

    def heard(self, now_ms: float, link: int, message: Message) -> list[FollowerAction]:
        """A message has come."""
        if link != self.link or self.state in (PAUSED, DIALLING):
            return []
        self.heard_ms = now_ms
        if isinstance(message, SubscribeRejected) and self.state == GREETING:
            return self._leave(now_ms, f"not taken: {message.why}")
        if isinstance(message, SubscribeAccepted) and self.state == GREETING:
            return self._welcome(now_ms, message)
        if self.state == LINKED and isinstance(message, NotModified):
            return self._word(now_ms, message.number, message.confirmed_ms)
        if self.state == LINKED and isinstance(message, ConfigUpdate):
            return self._news(now_ms, message)
        allowed = "welcome or full" if self.state == GREETING else "news or still"
        return self._spoilt(now_ms, invalid_value("message", tag_of(message), allowed))

    def _welcome(self, now_ms: float, message: SubscribeAccepted) -> list[FollowerAction]:
        for field, value, allowed in (
            ("form", message.form, PROTOCOL_VERSION),
            ("fleet", message.fleet, self.fleet),
            ("relay", message.relay, self.relay),
        ):
            if value != allowed:
                return self._spoilt(now_ms, invalid_value(field, value, repr(allowed)))
        self.floor = max(self.floor, message.floor)
        self.state, self.deadline_ms, self.newer = LINKED, now_ms + timeouts.RESPONSE_TIMEOUT_MS, 0
        self.home_ms = (
            inf
            if self.relay == self.order[0]
            else now_ms + self.random.uniform(*timeouts.PREFERRED_RELAY_RETRY_MS)
        )
        return [Told("configuration_linked", {"relay": self.relay}, detail=True)]

    def _word(self, now_ms: float, number: int, confirmed_ms: int) -> list[FollowerAction]:
        """The relay says which number it has, and when that was known to be the newest."""
        actions: list[FollowerAction] = []
        if number < 0 or confirmed_ms < 0:
            field, value = ("number", number) if number < 0 else ("confirmed_ms", confirmed_ms)
            return self._spoilt(now_ms, invalid_value(field, value, "0 and more"))
        self.deadline_ms = inf
        confirmed_ms = min(confirmed_ms, NEVER_CONFIRMED_MS)
        if number < (former := self.told.get(self.relay, 0)):
            self.poll_ms = now_ms + self._pace()
            why = invalid_value("number", number, f"{former} and more, as it said before")
            noted = self._note(f"less/{self.relay}", why)
            return [*noted, *self._judge(now_ms, NEVER_CONFIRMED_MS, "it says less than before")]
        self.told[self.relay] = number
        self.newer = number if number > max(self._top(), self.refused) else 0
        at_ms = now_ms - confirmed_ms
        known = confirmed_ms < NEVER_CONFIRMED_MS and number >= self.version.number
        if known and (self.confirmed_ms is None or at_ms > self.confirmed_ms):
            self.confirmed_ms = at_ms
            if self.relays and not self.newer:
                actions.append(MajorityConfirmed(self.confirmed_ms))
        self.poll_ms = now_ms + self._pace()
        if self.disk and self.disk[0][0].number >= number:
            actions += self._from_disk()
        return actions + self._judge(now_ms, confirmed_ms)

    def _judge(self, now_ms: float, confirmed_ms: int, why: str = "") -> list[FollowerAction]:
        """Whether the relay is good enough to stay with; `why` it is not, if that is another reason."""
        if confirmed_ms <= timeouts.STALE_RELAY_MS:
            self.tried, self.tries, self.settled_ms, self.again_round = frozenset(), 0, 0.0, False
            self.settlings = 0
            return []
        if now_ms < self.settled_ms:
            self.poll_ms = min(self.poll_ms, self.settled_ms)
            return []
        if self.settled_ms:  # it has been borne for long: another look round
            self.tried, self.tries, self.settled_ms, self.again_round = frozenset(), 0, 0.0, False
        if self.tried | {self.relay} >= set(self.order) and not self.again_round:
            self.tried, self.again_round = frozenset(), True  # one that failed may have been well
        if self.tried | {self.relay} >= set(self.order):
            self.settled_ms = now_ms + self.random.uniform(*stale_relay_stay_ms(self.settlings))
            self.settlings = min(self.settlings + 1, 10)
            self.poll_ms = min(self.poll_ms, self.settled_ms)
            return []
        never = "it has never known a majority"
        long = f"it has known nothing of a majority for {confirmed_ms / 1000.0:.0f} s"
        return self._leave(now_ms, why or (never if confirmed_ms >= NEVER_CONFIRMED_MS else long))

    def _news(self, now_ms: float, news: ConfigUpdate) -> list[FollowerAction]:
        version = news.version
        if why := version_problem(version):
            return self._spoilt(now_ms, why)
        number, former = version.number, self.told.get(self.relay, 0)
        top = self._top()
        if number == self.version.number and version.digest != self.version.digest:
            why = invalid_value("digest", version.digest, f"{self.version.digest} in version {number}")
            return self._spoilt(now_ms, why)
        on_disk = bool(self.disk) and self.disk[0][0] == version
        if number <= top or number == self.refused or number < max(self.floor, former) or on_disk:
            actions = []
            if number < self.floor and number > top:
                why = invalid_value(
                    "number", number, f"{self.floor} and more, which this follower had acknowledged"
                )
                actions = self._note(f"floor/{self.relay}", why)
            return actions + self._word(now_ms, number, news.confirmed_ms)
        if news.contents is not None:
            if why := contents_problem(version, news.contents):
                return self._spoilt(now_ms, why)
            contents = news.contents
        elif news.delta is not None:
            try:
                contents = apply_delta(self._held(news.delta.base), news.delta, version)
            except ValueError as error:
                said = self._word(now_ms, number, news.confirmed_ms)
                if self.state == LINKED:
                    self.deadline_ms = now_ms + timeouts.RESPONSE_TIMEOUT_MS
                    said.append(Send(self.link, FetchFullContents(number)))
                return [*self._wrong(str(error)), *said]
        else:
            return self._spoilt(now_ms, invalid_value("contents", None, "whole or by difference"))
        self.wanted = version, contents
        offer: list[FollowerAction] = [PublishVersion(version, contents)] if self.relays else []
        begun = self._begin(now_ms)
        return [*offer, *begun, *self._word(now_ms, number, news.confirmed_ms)]

    # Contents.

    def _top(self) -> int:
        """The highest number that is in force or on its way to be."""
        return max([self.version.number, *(held[0].number for held in (self.pending, self.wanted) if held)])

    def _held(self, digest: str) -> bytes:
        """Contents by digest, of those that a difference may be based on; else those in force."""
        return self.bases.get(digest, self.contents)

    def _base(self) -> str:
        """The digest of what a difference is best based on; it is told to the relay, and kept for a while."""
        version, contents = self.disk[0] if self.disk else (self.version, self.contents)
        if version.digest:
            self.bases.pop(version.digest, None)
            self.bases[version.digest] = contents
            while len(self.bases) > MAX_DELTA_BASES:
                del self.bases[next(iter(self.bases))]
        return version.digest

    def _begin(self, now_ms: float) -> list[FollowerAction]:
        """Bring what waits into force, one at a time."""
        if self.pending is not None:
            return []
        if self.wanted is None:
            return self._from_disk() if self.disk and self.refused else []
        self.pending, self.wanted, self.step = self.wanted, None, STORING
        former = [version.number for version, _ in self.disk] or [self.version.number]
        return [Store(*self.pending, former[0], tuple(former[1:]))]

    def _from_disk(self) -> list[FollowerAction]:
        """What the disk holds, at a start, unless a later one was acknowledged or is on its way."""
        if not self.disk or self.pending is not None or self.wanted is not None:
            return []
        number = self.disk[0][0].number
        if number < self.floor:
            why = invalid_value("number", number, f"{self.floor} and more, which was acknowledged before")
            return self._note("old disk", why)
        self.pending, self.disk, self.step = self.disk[0], self.disk[1:], APPLYING
        return [Apply(*self.pending)]

    # The link.

    def _pace(self) -> float:
        return self.random.uniform(
            *(timeouts.FAST_POLL_INTERVAL_MS if self.newer or self.relays else timeouts.POLL_INTERVAL_MS)
        )

    def _poll(self, now_ms: float) -> list[FollowerAction]:
        self.deadline_ms, self.poll_ms = min(self.deadline_ms, now_ms + timeouts.RESPONSE_TIMEOUT_MS), inf
        return [Send(self.link, Poll(self.version.number, self._base(), self.refused, self.refused_why))]

    def _next(self) -> str:
        """The first relay that has not been tried since one was good; after a round from the first again."""
        left = [relay for relay in self.order if relay not in self.tried]
        if not left:
            self.tried, left = frozenset(), list(self.order)
        return left[0]

    def _dial(self) -> list[FollowerAction]:
        self.relay, self.state = self._next(), DIALLING
        self.link += 1
        return [Connect(self.link, self.relay)]

    def _leave(self, now_ms: float, why: str, closed: bool = False) -> list[FollowerAction]:
        """The relay is no good: another one after a pause."""
        kv = {"relay": self.relay, "why": why}
        told = Told("configuration_link_ended", kv, detail=self.state != LINKED)
        actions: list[FollowerAction] = [told] if closed else [told, Close(self.link, why)]
        self.tried |= {self.relay}
        most = min(
            timeouts.RECONNECT_BACKOFF_MS[1] * 2.0 ** min(self.tries, 10), timeouts.MAX_RECONNECT_BACKOFF_MS
        )
        self.again_ms = now_ms + self.random.uniform(timeouts.RECONNECT_BACKOFF_MS[0], most)
        self.tries += 1
        self.state, self.deadline_ms, self.poll_ms, self.home_ms = PAUSED, inf, inf, inf
        self.newer = 0
        return actions

    def _spoilt(self, now_ms: float, why: str) -> list[FollowerAction]:
        return [*self._wrong(why), *self._leave(now_ms, why)]

    def _wrong(self, why: str) -> list[FollowerAction]:
        return [Told("configuration_wrong", {"relay": self.relay, "why": why})]

    def _note(self, key: str, why: str) -> list[FollowerAction]:
        """As `_wrong`, once for each thing."""
        if key in self.noted:
            return []
        self.noted |= {key}
        return self._wrong(why)

    # Time.

    def tick(self, now_ms: float) -> list[FollowerAction]:
        """Time has passed: what is due."""
        actions: list[FollowerAction] = []
        if self.disk and now_ms >= self.start_ms:
            actions += self._from_disk()
        if now_ms >= self.deadline_ms:
            if (
                now_ms - self.deadline_ms > timeouts.STALL_THRESHOLD_MS
            ):  # it stood still: the answer may be here, unread
                self.deadline_ms = now_ms + timeouts.STALL_THRESHOLD_MS
            else:
                return actions + self._leave(
                    now_ms,
                    {
                        DIALLING: f"no connection within {timeouts.CONNECT_TIMEOUT_MS / 1000.0:g} s",
                        GREETING: f"no welcome within {timeouts.SUBSCRIBE_TIMEOUT_MS / 1000.0:g} s",
                    }.get(self.state, f"no answer within {timeouts.RESPONSE_TIMEOUT_MS / 1000.0:g} s"),
                )
        if self.state == PAUSED and now_ms >= self.again_ms and self.order:
            self.deadline_ms = now_ms + timeouts.CONNECT_TIMEOUT_MS
            actions += self._dial()
        elif self.state == LINKED and now_ms >= self.home_ms and not self.newer and not self.settled_ms:
            actions += self._leave(now_ms, "back to its first relay")
            self.again_ms, self.tries, self.tried = now_ms, 0, frozenset()
        elif self.state == LINKED and now_ms >= self.poll_ms:
            actions += self._poll(now_ms)
        return actions

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        due = min(self.deadline_ms, self.poll_ms, self.home_ms)
        if self.state == PAUSED and self.order:
            due = min(due, self.again_ms)
        if self.disk and self.pending is None and now_ms < self.start_ms:
            due = min(due, self.start_ms)
        return max(due, now_ms + 1.0)

    def shown(self, now_ms: float) -> str:
        """Its version, by which relay, and for how long it has heard nothing, in one line."""
        heard = self.began_ms if self.heard_ms is None else self.heard_ms
        parts = [f"version {self.version.number}" if self.version.number else "no version"]
        if self.version.number:
            parts.append(f"digest {self.version.digest[:12]} by {self.version.by}")
        parts.append(f"relay {self.relay}" if self.state == LINKED else "no relay")
        parts.append(f"heard nothing for {(now_ms - heard) / 1000.0:.1f} s")
        if self.confirmed_ms is None:
            parts.append("no majority known")
        else:
            parts.append(f"a majority known {(now_ms - self.confirmed_ms) / 1000.0:.1f} s ago")
        if self.newer:
            parts.append(f"version {self.newer} is on its way")
        if self.refused:
            parts.append(f"version {self.refused} refused: {self.refused_why}")
        return ", ".join(parts)
