"""One follower: receives decided versions from a relay and puts them in force. Pure.

It polls one relay and changes to another when that relay is silent or stale (not confirmed by a majority of
voters for some time). A version is stored before it is put in force, so that after a crash the disk is not
behind. If storing fails, the version is put in force nevertheless.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from math import inf
from random import Random
from typing import Any

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Close,
    Connect,
    FollowerAction,
    MajorityConfirmed,
    PublishVersion,
    Send,
)
from grebestack.config_distribution.follower_versions import APPLYING, FollowerVersions, VersionContents
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
from grebestack.config_distribution.relay_selection import relay_order, stale_relay_stay_ms
from grebestack.config_distribution.versions import (
    DeltaError,
    apply_delta,
    contents_problem,
    invalid_value,
    version_problem,
)
from grebestack.consensus.actions import LogMessage

# Waiting to reconnect; connecting; waiting for the response to `Subscribe`; subscribed.
PAUSED, CONNECTING, SUBSCRIBING, ACTIVE = "paused", "dialling", "greeting", "linked"
MAX_REASON_LENGTH = 500  # characters

_TIMEOUT_REASONS = {
    CONNECTING: f"no connection within {timeouts.CONNECT_TIMEOUT_MS / 1000.0:g} s",
    SUBSCRIBING: f"no response to Subscribe within {timeouts.SUBSCRIBE_TIMEOUT_MS / 1000.0:g} s",
    ACTIVE: f"no response within {timeouts.RESPONSE_TIMEOUT_MS / 1000.0:g} s",
}


class Follower(FollowerVersions):
    """Events in, actions out; times are monotonic ms. One link at a time: events of former links are ignored.

    Parameters
    ----------
    place
        Its "region/zone".
    incarnation
        Process incarnation: a later start has a higher number.
    places
        "region/zone" of each relay.
    is_relay
        The follower is a relay itself: it polls faster and returns `PublishVersion` and `MajorityConfirmed`.
    """

    def __init__(
        self,
        name: str,
        cluster: str,
        place: str,
        incarnation: int,
        places: Mapping[str, str],
        random: Random,
        is_relay: bool = False,
    ) -> None:
        """Create it unconnected; `start` loads the versions of the disk."""
        self.name, self.cluster, self.place, self.incarnation = name, cluster, place, incarnation
        super().__init__(is_relay)
        self.random = random
        self.order = relay_order(name, place, places)
        self.link, self.state = 0, PAUSED
        self.deadline_ms = inf  # of the response that the link waits for
        self.poll_ms = inf
        self.reconnect_ms = 0.0  # when to connect
        self.failures = 0
        self.tried: frozenset[str] = frozenset()  # relays tried since one was last found up to date
        self.second_round = False  # all relays were tried once, and all were stale
        self.stay_until_ms = 0.0  # stays with a stale relay until then; 0: not with a stale one
        self.stale_stays = 0  # consecutive stays with stale relays
        self.preferred_retry_ms = inf
        self.announced = 0  # newer number that the relay has announced, 0 for none
        self.relay_numbers: dict[str, int] = {}  # the highest number reported by each relay
        self.confirmed_ms: float | None = None  # when a majority last confirmed the version
        self.last_message_ms: float | None = None
        self.started_ms = 0.0

    # Events of the process.

    def start(self, now_ms: float, disk: Sequence[VersionContents] = ()) -> list[FollowerAction]:
        """Start with the versions on the disk, in any order; invalid ones are logged and ignored."""
        actions = self._load_disk(disk)
        self.started_ms = now_ms
        self.start_ms = now_ms + timeouts.STARTUP_GRACE_MS
        self.reconnect_ms = now_ms + self.random.uniform(*timeouts.RECONNECT_BACKOFF_MS)
        return actions + self.tick(now_ms)

    def on_applied(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """`Apply` has ended; `why` the version was refused, or empty."""
        if self.pending is None or self.step != APPLYING or self.pending[0].number != number:
            return []
        (version, contents), self.pending, self.step = self.pending, None, ""
        actions: list[FollowerAction] = []
        if why:
            self.refused, self.refused_why = number, why[:MAX_REASON_LENGTH]
            actions.append(LogMessage("configuration_refused", {"number": number, "why": why}))
            if number >= self.announced:
                self.announced = 0
        else:
            self.version, self.contents, self.disk = version, contents, ()
            self.min_number = max(self.min_number, number)
            if number >= self.announced:
                self.announced = 0
            if self.refused <= number:
                self.refused, self.refused_why = 0, ""
            kv = {"number": number, "digest": version.digest, "by": version.proposed_by, "relay": self.relay}
            actions.append(LogMessage("configuration_in_force", kv))
        if self.state == ACTIVE:
            actions += self._send_poll(now_ms)
        return actions + self._begin_next(now_ms)

    def on_status_report(self, now_ms: float, report: StatusReport) -> list[FollowerAction]:
        """Forward a status report upstream: of this process's relay, or of one that follows it."""
        return [Send(self.link, report)] if self.state == ACTIVE else []

    # Events of the link.

    def on_connected(self, now_ms: float, link: int) -> list[FollowerAction]:
        """The connection is established: subscribe."""
        if link != self.link or self.state != CONNECTING:
            return []
        self.state, self.deadline_ms = SUBSCRIBING, now_ms + timeouts.SUBSCRIBE_TIMEOUT_MS
        number, digest = self.version.number, self._remember_base()
        return [
            Send(
                link,
                Subscribe(
                    PROTOCOL_VERSION, self.cluster, self.name, self.incarnation, self.place, number, digest
                ),
            )
        ]

    def on_disconnected(self, now_ms: float, link: int, why: str) -> list[FollowerAction]:
        """The connection failed, ended, or carried an invalid message; `why` says which."""
        if link != self.link or self.state == PAUSED:
            return []
        return self._leave_relay(now_ms, why, closed=True)

    def on_message(self, now_ms: float, link: int, message: Message) -> list[FollowerAction]:
        """Handle a message from the relay."""
        if link != self.link or self.state in (PAUSED, CONNECTING):
            return []
        self.last_message_ms = now_ms
        handler = _HANDLERS.get((self.state, type(message)))
        if handler is not None:
            return handler(self, now_ms, message)
        allowed = "welcome or full" if self.state == SUBSCRIBING else "news or still"
        return self._reject_message(now_ms, invalid_value("message", tag_of(message), allowed))

    def _on_rejected(self, now_ms: float, message: SubscribeRejected) -> list[FollowerAction]:
        return self._leave_relay(now_ms, f"not taken: {message.why}")

    def _on_not_modified(self, now_ms: float, message: NotModified) -> list[FollowerAction]:
        return self._on_relay_number(now_ms, message.number, message.confirmed_age_ms)

    def _on_accepted(self, now_ms: float, message: SubscribeAccepted) -> list[FollowerAction]:
        for field, value, allowed in (
            ("form", message.protocol_version, PROTOCOL_VERSION),
            ("fleet", message.cluster, self.cluster),
            ("relay", message.relay, self.relay),
        ):
            if value != allowed:
                return self._reject_message(now_ms, invalid_value(field, value, repr(allowed)))
        self.min_number = max(self.min_number, message.acknowledged_number)
        self.state, self.deadline_ms, self.announced = ACTIVE, now_ms + timeouts.RESPONSE_TIMEOUT_MS, 0
        self.preferred_retry_ms = (
            inf
            if self.relay == self.order[0]
            else now_ms + self.random.uniform(*timeouts.PREFERRED_RELAY_RETRY_MS)
        )
        return [LogMessage("configuration_linked", {"relay": self.relay}, is_debug=True)]

    def _on_relay_number(self, now_ms: float, number: int, confirmed_ms: int) -> list[FollowerAction]:
        """Handle the relay's newest number and the age, in ms, of its last confirmation by a majority."""
        actions: list[FollowerAction] = []
        if number < 0 or confirmed_ms < 0:
            field, value = ("number", number) if number < 0 else ("confirmed_ms", confirmed_ms)
            return self._reject_message(now_ms, invalid_value(field, value, "0 and more"))
        self.deadline_ms = inf
        confirmed_ms = min(confirmed_ms, NEVER_CONFIRMED_MS)
        if number < (former := self.relay_numbers.get(self.relay, 0)):
            self.poll_ms = now_ms + self._poll_delay_ms()
            why = invalid_value("number", number, f"{former} and more, as reported before")
            logged = self._log_invalid_once(f"less/{self.relay}", why)
            return [*logged, *self._assess_relay(now_ms, NEVER_CONFIRMED_MS, "its number went back")]
        self.relay_numbers[self.relay] = number
        self.announced = number if number > max(self._highest_number(), self.refused) else 0
        at_ms = now_ms - confirmed_ms
        is_confirmed = confirmed_ms < NEVER_CONFIRMED_MS and number >= self.version.number
        if is_confirmed and (self.confirmed_ms is None or at_ms > self.confirmed_ms):
            self.confirmed_ms = at_ms
            if self.is_relay and not self.announced:
                actions.append(MajorityConfirmed(self.confirmed_ms))
        self.poll_ms = now_ms + self._poll_delay_ms()
        if self.disk and self.disk[0][0].number >= number:
            actions += self._apply_from_disk()
        return actions + self._assess_relay(now_ms, confirmed_ms)

    def _assess_relay(self, now_ms: float, confirmed_ms: int, why: str = "") -> list[FollowerAction]:
        """Stay with the relay, or leave it if stale; `why` overrides the reason given by `confirmed_ms`."""
        if confirmed_ms <= timeouts.STALE_RELAY_MS:
            self.tried, self.failures, self.stay_until_ms, self.second_round = frozenset(), 0, 0.0, False
            self.stale_stays = 0
            return []
        if now_ms < self.stay_until_ms:
            self.poll_ms = min(self.poll_ms, self.stay_until_ms)
            return []
        if self.stay_until_ms:  # the stay has ended: try all relays again
            self.tried, self.failures, self.stay_until_ms, self.second_round = frozenset(), 0, 0.0, False
        if self.tried | {self.relay} >= set(self.order) and not self.second_round:
            self.tried, self.second_round = frozenset(), True  # a failed relay may have recovered
        if self.tried | {self.relay} >= set(self.order):
            self.stay_until_ms = now_ms + self.random.uniform(*stale_relay_stay_ms(self.stale_stays))
            self.stale_stays = min(self.stale_stays + 1, 10)
            self.poll_ms = min(self.poll_ms, self.stay_until_ms)
            return []
        unconfirmed_reason = "it has never been confirmed by a majority"
        stale_reason = f"it has not been confirmed by a majority for {confirmed_ms / 1000.0:.0f} s"
        return self._leave_relay(
            now_ms, why or (unconfirmed_reason if confirmed_ms >= NEVER_CONFIRMED_MS else stale_reason)
        )

    def _on_update(self, now_ms: float, update: ConfigUpdate) -> list[FollowerAction]:
        version = update.version
        if why := version_problem(version):
            return self._reject_message(now_ms, why)
        number, former = version.number, self.relay_numbers.get(self.relay, 0)
        highest = self._highest_number()
        if number == self.version.number and version.digest != self.version.digest:
            why = invalid_value("digest", version.digest, f"{self.version.digest} in version {number}")
            return self._reject_message(now_ms, why)
        on_disk = bool(self.disk) and self.disk[0][0] == version
        if number <= highest or number == self.refused or number < max(self.min_number, former) or on_disk:
            logged = []
            if number < self.min_number and number > highest:
                why = invalid_value(
                    "number", number, f"{self.min_number} and more, which this follower had acknowledged"
                )
                logged = self._log_invalid_once(f"floor/{self.relay}", why)
            return logged + self._on_relay_number(now_ms, number, update.confirmed_age_ms)
        if update.contents is not None:
            if why := contents_problem(version, update.contents):
                return self._reject_message(now_ms, why)
            contents = update.contents
        elif update.delta is not None:
            try:
                contents = apply_delta(self._base_contents(update.delta.base), update.delta, version)
            except DeltaError as error:
                actions = self._on_relay_number(now_ms, number, update.confirmed_age_ms)
                if self.state == ACTIVE:
                    self.deadline_ms = now_ms + timeouts.RESPONSE_TIMEOUT_MS
                    actions.append(Send(self.link, FetchFullContents(number)))
                return [*self._log_invalid(str(error)), *actions]
        else:
            return self._reject_message(now_ms, invalid_value("contents", None, "in full or as a delta"))
        self.next_version = version, contents
        published: list[FollowerAction] = [PublishVersion(version, contents)] if self.is_relay else []
        stored = self._begin_next(now_ms)
        return [*published, *stored, *self._on_relay_number(now_ms, number, update.confirmed_age_ms)]

    # The link.

    def _poll_delay_ms(self) -> float:
        return self.random.uniform(
            *(
                timeouts.FAST_POLL_INTERVAL_MS
                if self.announced or self.is_relay
                else timeouts.POLL_INTERVAL_MS
            )
        )

    def _send_poll(self, now_ms: float) -> list[FollowerAction]:
        self.deadline_ms, self.poll_ms = min(self.deadline_ms, now_ms + timeouts.RESPONSE_TIMEOUT_MS), inf
        return [
            Send(self.link, Poll(self.version.number, self._remember_base(), self.refused, self.refused_why))
        ]

    def _next_relay(self) -> str:
        """Return the first untried relay; when all were tried, start over with the first."""
        untried = [relay for relay in self.order if relay not in self.tried]
        if not untried:
            self.tried, untried = frozenset(), list(self.order)
        return untried[0]

    def _connect(self) -> list[FollowerAction]:
        self.relay, self.state = self._next_relay(), CONNECTING
        self.link += 1
        return [Connect(self.link, self.relay)]

    def _leave_relay(self, now_ms: float, why: str, closed: bool = False) -> list[FollowerAction]:
        """Leave the relay; connect to another after a backoff."""
        kv = {"relay": self.relay, "why": why}
        event = LogMessage("configuration_link_ended", kv, is_debug=self.state != ACTIVE)
        actions: list[FollowerAction] = [event] if closed else [event, Close(self.link, why)]
        self.tried |= {self.relay}
        max_backoff_ms = min(
            timeouts.RECONNECT_BACKOFF_MS[1] * 2.0 ** min(self.failures, 10),
            timeouts.MAX_RECONNECT_BACKOFF_MS,
        )
        self.reconnect_ms = now_ms + self.random.uniform(timeouts.RECONNECT_BACKOFF_MS[0], max_backoff_ms)
        self.failures += 1
        self.state, self.deadline_ms, self.poll_ms, self.preferred_retry_ms = PAUSED, inf, inf, inf
        self.announced = 0
        return actions

    def _reject_message(self, now_ms: float, why: str) -> list[FollowerAction]:
        return [*self._log_invalid(why), *self._leave_relay(now_ms, why)]

    # Time.

    def tick(self, now_ms: float) -> list[FollowerAction]:
        """Perform what is due."""
        actions: list[FollowerAction] = []
        if self.disk and now_ms >= self.start_ms:
            actions += self._apply_from_disk()
        if now_ms >= self.deadline_ms:
            # A tick this late means that the process was suspended: the response may be unread.
            if now_ms - self.deadline_ms > timeouts.STALL_THRESHOLD_MS:
                self.deadline_ms = now_ms + timeouts.STALL_THRESHOLD_MS
            else:
                return actions + self._leave_relay(now_ms, _TIMEOUT_REASONS[self.state])
        if self.state == PAUSED and now_ms >= self.reconnect_ms and self.order:
            self.deadline_ms = now_ms + timeouts.CONNECT_TIMEOUT_MS
            actions += self._connect()
        elif (
            self.state == ACTIVE
            and now_ms >= self.preferred_retry_ms
            and not self.announced
            and not self.stay_until_ms
        ):
            actions += self._leave_relay(now_ms, "reconnecting to its preferred relay")
            self.reconnect_ms, self.failures, self.tried = now_ms, 0, frozenset()
        elif self.state == ACTIVE and now_ms >= self.poll_ms:
            actions += self._send_poll(now_ms)
        return actions

    def due_ms(self, now_ms: float) -> float:
        """Return the latest time for the next call of `tick`."""
        due = min(self.deadline_ms, self.poll_ms, self.preferred_retry_ms)
        if self.state == PAUSED and self.order:
            due = min(due, self.reconnect_ms)
        if self.disk and self.pending is None and now_ms < self.start_ms:
            due = min(due, self.start_ms)
        return max(due, now_ms + 1.0)

    def status_line(self, now_ms: float) -> str:
        """Describe the follower to operators in one line."""
        since_ms = self.started_ms if self.last_message_ms is None else self.last_message_ms
        parts = [f"version {self.version.number}" if self.version.number else "no version"]
        if self.version.number:
            parts.append(f"digest {self.version.digest[:12]} by {self.version.proposed_by}")
        parts.append(f"relay {self.relay}" if self.state == ACTIVE else "no relay")
        parts.append(f"no message for {(now_ms - since_ms) / 1000.0:.1f} s")
        if self.confirmed_ms is None:
            parts.append("not confirmed by a majority")
        else:
            parts.append(f"confirmed by a majority {(now_ms - self.confirmed_ms) / 1000.0:.1f} s ago")
        if self.announced:
            parts.append(f"version {self.announced} announced")
        if self.refused:
            parts.append(f"version {self.refused} refused: {self.refused_why}")
        return ", ".join(parts)


Handler = Callable[[Follower, float, Any], list[FollowerAction]]
_HANDLERS: dict[tuple[str, type[Message]], Handler] = {
    (SUBSCRIBING, SubscribeRejected): lambda follower, now_ms, msg: follower._on_rejected(now_ms, msg),
    (SUBSCRIBING, SubscribeAccepted): lambda follower, now_ms, msg: follower._on_accepted(now_ms, msg),
    (ACTIVE, NotModified): lambda follower, now_ms, msg: follower._on_not_modified(now_ms, msg),
    (ACTIVE, ConfigUpdate): lambda follower, now_ms, msg: follower._on_update(now_ms, msg),
}
