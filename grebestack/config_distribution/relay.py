"""One relay: serves its newest version to followers, and tracks which followers are behind. Pure.

Small updates are sent at once. Full contents and large deltas are rate-limited by a token bucket, first come,
first served, so that many followers that connect at once do not overload the relay.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf
from random import Random
from typing import Any

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import Close, RelayAction, Send, StatusReceived
from grebestack.config_distribution.messages import (
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    FollowerStatus,
    Message,
    NotModified,
    Poll,
    StatusReport,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
    tag_of,
)
from grebestack.config_distribution.published_version import PublishedVersion, cost_bytes
from grebestack.config_distribution.subscription import (
    MAX_NAME_LENGTH,
    held_version_problem,
    subscribe_problem,
)
from grebestack.config_distribution.versions import Version, contents_problem, invalid_value
from grebestack.consensus.actions import LogMessage

MAX_FOLLOWERS = 2048
MAX_REASON_LENGTH = 500
UNTHROTTLED_BYTES = 4096  # updates up to this size are sent at once
MAX_STATUSES = 65_536


@dataclass(frozen=True, slots=True)
class FollowerState:
    """The state of one follower. Times are of the relay's own clock."""

    name: str
    incarnation: int
    number: int  # in force at the follower
    digest: str  # contents that a delta may be based on
    last_message_ms: float
    behind_since_ms: float | None = None  # since when the relay has had a newer version
    refused: int = 0
    why: str = ""
    sent: int = 0  # the number that was sent last
    sent_ms: float = -inf
    connected: bool = True


class Relay(PublishedVersion):
    """Events in, actions out. The caller numbers the links and uses each number only once.

    Times are monotonic milliseconds.

    Parameters
    ----------
    incarnation
        Process incarnation: a later start has a higher number.
    max_followers
        Limit of connected followers.
    acknowledged_number
        Returns the highest number that a follower has acknowledged to any relay, 0 for none.
    """

    def __init__(
        self,
        name: str,
        cluster: str,
        incarnation: int,
        random: Random,
        max_followers: int = MAX_FOLLOWERS,
        acknowledged_number: Callable[[str], int] = lambda name: 0,
    ) -> None:
        """Create it without followers."""
        super().__init__()
        self.name, self.cluster, self.incarnation, self.max_followers = (
            name,
            cluster,
            incarnation,
            max_followers,
        )
        self.random, self.acknowledged_number = random, acknowledged_number
        self.followers: dict[int, FollowerState] = {}
        self.link_by_name: dict[str, int] = {}
        self.disconnected: dict[str, FollowerState] = {}  # by name, the last disconnected at the end
        self.waiting_links: dict[int, None] = {}  # in the order of arrival
        self.tokens = float(timeouts.FULL_CONTENTS_BYTES_PER_S)  # bytes
        self.tokens_ms = 0.0  # when `tokens` was updated
        self.changed_names: set[str] = set()  # since the last report
        self.reported_number = -1
        self.sequence = 0
        self.report_ms, self.full_report_ms, self.next_scan_ms = 0.0, 0.0, 0.0
        self.logged_faults: frozenset[str] = frozenset()

    # Updates.

    def publish(self, now_ms: float, version: Version, contents: bytes) -> list[RelayAction]:
        """Publish a decided version to the followers if it is newer."""
        if why := contents_problem(version, contents):
            return [LogMessage("configuration_wrong", {"relay": self.name, "why": why})]
        if version.number <= self.version.number:
            return []
        self._replace_version(version, contents)
        actions: list[RelayAction] = []
        for link, follower in list(self.followers.items()):
            if follower.number < version.number:
                if follower.behind_since_ms is None:
                    self.followers[link] = replace(follower, behind_since_ms=now_ms)
                actions += self._push(now_ms, link)
        return actions

    def _not_modified(self, now_ms: float, link: int) -> Send:
        return Send(link, NotModified(self.version.number, self._confirmed_age_ms(now_ms)))

    def _push(self, now_ms: float, link: int) -> list[RelayAction]:
        """Send the newest version, now or rate-limited, unless the follower has or refused it."""
        follower = self.followers[link]
        if follower.refused == self.version.number or follower.number >= self.version.number:
            return []
        update = self._update_from(now_ms, follower.digest)
        if cost_bytes(update) > UNTHROTTLED_BYTES:
            self.waiting_links.setdefault(link)
            return self._serve_waiting(now_ms)
        return [self._send_update(now_ms, link, update)]

    def _send_update(self, now_ms: float, link: int, update: ConfigUpdate) -> Send:
        self.followers[link] = replace(self.followers[link], sent=self.version.number, sent_ms=now_ms)
        return Send(link, update)

    def _serve_waiting(self, now_ms: float) -> list[RelayAction]:
        """Send updates to waiting followers while tokens are left."""
        available = self.tokens + (now_ms - self.tokens_ms) * timeouts.FULL_CONTENTS_BYTES_PER_S / 1000.0
        self.tokens, self.tokens_ms = (
            min(available, timeouts.FULL_CONTENTS_BYTES_PER_S * timeouts.FULL_CONTENTS_BURST_MS / 1000.0),
            now_ms,
        )
        actions: list[RelayAction] = []
        while self.waiting_links and self.tokens > 0.0:
            link = next(iter(self.waiting_links))
            del self.waiting_links[link]
            follower = self.followers.get(link)
            if (
                follower is None
                or follower.number >= self.version.number
                or follower.refused == self.version.number
            ):
                continue
            update = self._update_from(now_ms, follower.digest)
            self.tokens -= cost_bytes(update)
            actions.append(self._send_update(now_ms, link, update))
        return actions

    # Followers.

    def on_message(self, now_ms: float, link: int, message: Message) -> list[RelayAction]:
        """Handle a message; the first one of a link must be `Subscribe`."""
        follower = self.followers.get(link)
        if follower is None:
            if isinstance(message, Subscribe):
                return self._on_subscribe(now_ms, link, message)
            why = invalid_value("message", tag_of(message), "greeting first")
            return self._reject(link, "", why)
        self.followers[link] = follower = replace(follower, last_message_ms=now_ms)
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            return handler(self, now_ms, link, follower, message)
        why = invalid_value("message", tag_of(message), "poll, fetch or tally")
        return self._disconnect(now_ms, link, why)

    def _on_fetch(
        self, now_ms: float, link: int, follower: FollowerState, message: FetchFullContents
    ) -> list[RelayAction]:
        self.followers[link] = replace(follower, digest="")
        return self._respond(now_ms, link)

    def _on_status_report(
        self, now_ms: float, link: int, follower: FollowerState, message: StatusReport
    ) -> list[RelayAction]:
        if len(message.statuses) > MAX_STATUSES:
            why = invalid_value("standings", len(message.statuses), f"up to {MAX_STATUSES}")
            return self._disconnect(now_ms, link, why)
        return [StatusReceived(message)]

    def _on_subscribe(self, now_ms: float, link: int, request: Subscribe) -> list[RelayAction]:
        name = request.name
        if why := subscribe_problem(request, self.cluster):
            return self._reject(link, name, why)
        other = self.link_by_name.get(name)
        prior = self.followers[other] if other is not None else self.disconnected.get(name)
        is_recent = prior is not None and now_ms - prior.last_message_ms < timeouts.FOLLOWER_OVERDUE_MS
        if prior is not None and is_recent and prior.incarnation > request.incarnation:
            why = invalid_value(
                "life",
                request.incarnation,
                f"{prior.incarnation} and more: a later start of {name} connected",
            )
            logged = self._log_invalid_once(f"twice/{name}/{request.incarnation}", name, why)
            return [*logged, Send(link, SubscribeRejected(why)), Close(link, why)]
        actions: list[RelayAction] = []
        if other is not None:
            self._remove(now_ms, other)
            actions.append(Close(other, f"{name} has connected again"))
        if len(self.followers) >= self.max_followers:
            why = f"{len(self.followers)} followers; allowed: {self.max_followers}"
            actions += self._log_invalid_once("full", name, why)
            return [*actions, Send(link, SubscribeRejected(why)), Close(link, why)]
        self.disconnected.pop(name, None)
        behind = now_ms if request.number < self.version.number else None
        self.followers[link] = FollowerState(
            name, request.incarnation, request.number, request.digest, now_ms, behind
        )
        self.link_by_name[name] = link
        self.changed_names.add(name)
        acknowledged = max(self.acknowledged_number(name), prior.number if prior is not None else 0)
        accepted = SubscribeAccepted(
            PROTOCOL_VERSION, self.cluster, self.name, self.max_followers, acknowledged
        )
        return [*actions, Send(link, accepted), *self._respond(now_ms, link)]

    def _on_poll(self, now_ms: float, link: int, follower: FollowerState, poll: Poll) -> list[RelayAction]:
        if why := held_version_problem(poll.number, poll.digest):
            return self._disconnect(now_ms, link, why)
        actions: list[RelayAction] = []
        if poll.number < follower.number:
            why = invalid_value(
                "number", poll.number, f"{follower.number} and more, as {follower.name} reported before"
            )
            actions += self._log_invalid_once(f"less/{follower.name}", follower.name, why)
        if (poll.number, poll.refused, poll.why) != (follower.number, follower.refused, follower.why):
            self.changed_names.add(follower.name)
            if poll.refused and poll.refused != follower.refused:
                kv = {"follower": follower.name, "number": poll.refused, "why": poll.why}
                actions.append(LogMessage("configuration_follower_refuses", kv))
        behind = None if poll.number >= self.version.number else follower.behind_since_ms
        if behind is None and poll.number < self.version.number:
            behind = now_ms
        self.followers[link] = replace(
            follower,
            number=poll.number,
            digest=poll.digest,
            refused=poll.refused,
            why=poll.why[:MAX_REASON_LENGTH],
            behind_since_ms=behind,
        )
        if follower.sent == self.version.number and now_ms - follower.sent_ms < timeouts.RESEND_INTERVAL_MS:
            return [*actions, self._not_modified(now_ms, link)]  # the push may still be in transit
        return actions + self._respond(now_ms, link)

    def _respond(self, now_ms: float, link: int) -> list[RelayAction]:
        """Send the newest version if the follower lacks it and it is not rate-limited, else `NotModified`."""
        pushed = self._push(now_ms, link)
        if any(isinstance(action, Send) and action.link == link for action in pushed):
            return pushed
        return [*pushed, self._not_modified(now_ms, link)]

    def on_disconnected(self, now_ms: float, link: int, why: str) -> list[RelayAction]:
        """The link has ended, or carried an invalid message; `why` says which."""
        follower = self._remove(now_ms, link)
        if follower is None:
            return []
        return [
            LogMessage("configuration_follower_lost", {"follower": follower.name, "why": why}, is_debug=True)
        ]

    def _remove(self, now_ms: float, link: int) -> FollowerState | None:
        follower = self.followers.pop(link, None)
        if follower is not None:
            self.link_by_name.pop(follower.name, None)
            self.disconnected.pop(follower.name, None)
            self.disconnected[follower.name] = replace(follower, connected=False)
            self.changed_names.add(follower.name)
            while len(self.disconnected) > self.max_followers:
                del self.disconnected[next(iter(self.disconnected))]
        return follower

    def _disconnect(self, now_ms: float, link: int, why: str) -> list[RelayAction]:
        follower = self._remove(now_ms, link)
        return self._reject(link, follower.name if follower is not None else "", why)

    def _reject(self, link: int, name: str, why: str) -> list[RelayAction]:
        return [
            LogMessage("configuration_wrong", {"follower": name[:MAX_NAME_LENGTH], "why": why}),
            Close(link, why),
        ]

    def _log_invalid_once(self, key: str, name: str, why: str) -> list[RelayAction]:
        if key in self.logged_faults:
            return []
        self.logged_faults = (
            self.logged_faults if len(self.logged_faults) < MAX_STATUSES else frozenset()
        ) | {key}
        return [LogMessage("configuration_wrong", {"follower": name, "why": why})]

    # Time.

    def _status(self, now_ms: float, follower: FollowerState) -> FollowerStatus:
        behind = 0 if follower.behind_since_ms is None else max(1, int(now_ms - follower.behind_since_ms))
        message_age_ms = max(0, int(now_ms - follower.last_message_ms))
        return FollowerStatus(
            follower.name,
            follower.incarnation,
            follower.number,
            message_age_ms,
            follower.connected,
            behind,
            follower.refused,
            follower.why,
        )

    def _report(self, now_ms: float) -> list[RelayAction]:
        is_full = now_ms >= self.full_report_ms
        if not is_full and (now_ms < self.report_ms or not self._has_unreported()):
            return []
        followers = [*self.followers.values(), *self.disconnected.values()]
        statuses = tuple(
            self._status(now_ms, f) for f in followers if is_full or f.name in self.changed_names
        )
        self.sequence += 1
        self.changed_names, self.reported_number = set(), self.version.number
        self.report_ms = now_ms + self.random.uniform(*timeouts.STATUS_REPORT_INTERVAL_MS)
        if is_full:
            self.full_report_ms = now_ms + self.random.uniform(*timeouts.FULL_STATUS_REPORT_INTERVAL_MS)
        return [
            StatusReceived(
                StatusReport(
                    self.name, self.incarnation, self.sequence, is_full, self.version.number, statuses
                )
            )
        ]

    def _has_unreported(self) -> bool:
        return bool(self.changed_names) or self.reported_number != self.version.number

    def tick(self, now_ms: float) -> list[RelayAction]:
        """Perform what is due."""
        actions = self._serve_waiting(now_ms) if self.waiting_links else []
        if now_ms >= self.next_scan_ms:
            actions += self._scan(now_ms)
        return actions + self._report(now_ms)

    def _scan(self, now_ms: float) -> list[RelayAction]:
        """Disconnect overdue followers, and forget those disconnected long ago."""
        actions: list[RelayAction] = []
        late_ms, self.next_scan_ms = now_ms - self.next_scan_ms, now_ms + timeouts.OVERDUE_SCAN_INTERVAL_MS
        if late_ms > timeouts.OVERDUE_SCAN_INTERVAL_MS:  # the process was suspended: messages may be unread
            return []
        why = f"no message for {timeouts.FOLLOWER_OVERDUE_MS / 1000.0:g} s"
        for link, follower in list(self.followers.items()):
            if now_ms - follower.last_message_ms >= timeouts.FOLLOWER_OVERDUE_MS:
                self._remove(now_ms, link)
                event = LogMessage("configuration_follower_lost", {"follower": follower.name, "why": why})
                actions += [event, Close(link, why)]
        for name, follower in list(self.disconnected.items()):
            if now_ms - follower.last_message_ms >= timeouts.FORGET_FOLLOWER_MS:
                del self.disconnected[name]
        return actions

    def due_ms(self, now_ms: float) -> float:
        """Return the latest time for the next call of `tick`."""
        due = min(self.full_report_ms, self.next_scan_ms)
        if self._has_unreported():
            due = min(due, self.report_ms)
        if self.waiting_links:
            due = min(
                due, now_ms + max(1.0, -self.tokens * 1000.0 / timeouts.FULL_CONTENTS_BYTES_PER_S + 1.0)
            )
        return max(due, now_ms + 1.0)

    def status_line(self, now_ms: float) -> str:
        """Describe the relay and its followers that are behind, or that refused the version, in one line."""
        behind = sorted(
            follower.name for follower in self.followers.values() if follower.behind_since_ms is not None
        )
        text = f"relay {self.name} at version {self.version.number}, {len(self.followers)} followers"
        if behind:
            text += f", behind: {', '.join(behind[:10])}{' ...' if len(behind) > 10 else ''}"
        return text


Handler = Callable[[Relay, float, int, FollowerState, Any], list[RelayAction]]
_HANDLERS: dict[type[Message], Handler] = {
    Poll: Relay._on_poll,
    FetchFullContents: Relay._on_fetch,
    StatusReport: Relay._on_status_report,
}
