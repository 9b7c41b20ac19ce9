"""Merges the audit logs of many dispatchers: who acted under which version, and who was behind. Pure.

Times at different dispatchers are compared within the maximum errors of their clocks: if one is not earlier
beyond these errors, the report says that their order is unknown. Times at one dispatcher are in order.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from msgspec import structs

from grebestack.audit.reading import AuditedAction, AuditLog
from grebestack.audit.version_sets import VersionSet

COMPARED_FIELDS = ("program", "settings", "source", "revision", "bans", "epoch")


@dataclass(frozen=True, slots=True)
class VersionLag:
    """A dispatcher that adopted a version later than another one. Its fields are named as in the report."""

    dispatcher: str
    field: str
    version: str
    least_ms: float  # how much later, at least and at most, by the errors of both clocks
    most_ms: float | None  # None: it is not known to have adopted it
    acts: int  # actions recorded meanwhile under its former version


@dataclass(slots=True)
class MergedAudit:
    """What the audit logs of all dispatchers show."""

    logs: dict[str, AuditLog]  # by dispatcher
    # By field, version and dispatcher: when the dispatcher first had the version.
    versions: dict[str, dict[str, dict[str, float]]] = field(default_factory=dict)
    action_counts: dict[str, Counter[str]] = field(default_factory=dict)  # by dispatcher and kind
    # By field, version and dispatcher: how many actions the dispatcher took under the version.
    actions_under: dict[str, dict[str, Counter[str]]] = field(default_factory=dict)
    lags: list[VersionLag] = field(default_factory=list)
    doubts: dict[str, list[str]] = field(default_factory=dict)  # by dispatcher

    def actions_of_call(self, call_id: str) -> list[AuditedAction]:
        """Return all recorded actions for one job by time; across dispatchers the order may be uncertain."""
        found = [action for log in self.logs.values() for action in log.actions if action.call_id == call_id]
        return sorted(found, key=lambda action: action.at_ms)

    def is_certainly_before(self, one: AuditedAction, other: AuditedAction) -> bool:
        """Whether the first action is earlier than the second whatever the errors of the clocks."""
        if one.dispatcher == other.dispatcher:
            return one.at_ms < other.at_ms
        error_ms = (
            self.logs[one.dispatcher].max_clock_error_ms + self.logs[other.dispatcher].max_clock_error_ms
        )
        return one.at_ms + error_ms < other.at_ms


def version_text(versions: VersionSet, name: str) -> str:
    """Return one version as text. A revision is prefixed with its source, as it compares within that only."""
    if name == "revision":
        return f"{versions.source or 'none'}@{versions.revision}"
    return str(getattr(versions, name))


def _number_of(version: str) -> int | None:
    """Return the number of a version that is ordered."""
    number = version.rpartition("@")[2]
    return int(number) if number.isdigit() else None


def merge(logs: Mapping[str, AuditLog]) -> MergedAudit:
    """Merge the logs of dispatchers, given by name."""
    audit = MergedAudit(dict(logs))
    for name, log in logs.items():
        audit.action_counts[name] = Counter(action.kind for action in log.actions)
        for period in log.periods:
            for which in COMPARED_FIELDS:
                since = audit.versions.setdefault(which, {}).setdefault(
                    version_text(period.versions, which), {}
                )
                since.setdefault(name, period.from_ms)
        for action in log.actions:
            for which in COMPARED_FIELDS:
                version = version_text(action.versions, which)
                audit.actions_under.setdefault(which, {}).setdefault(version, Counter())[name] += 1
        doubts = list(log.doubts)
        for gap in log.gaps:
            if gap.why != "sampled":
                span = f"from {gap.from_ms:.0f} to {gap.to_ms:.0f} ms"
                doubts.append(f"{gap.acts} acts {span} are not written down: {gap.why}")
        if doubts:
            audit.doubts[name] = doubts
    for which in COMPARED_FIELDS:
        _find_lags(audit, which)
    return audit


def _find_lags(audit: MergedAudit, which: str) -> None:
    """Add the dispatchers that adopted a version of one field later than the first one to have it."""
    for version, since in audit.versions.get(which, {}).items():
        first = min(since, key=lambda name: since[name])
        first_ms, first_error_ms = since[first], audit.logs[first].max_clock_error_ms
        for name, log in audit.logs.items():
            if name == first or not log.periods:
                continue
            error_ms = first_error_ms + log.max_clock_error_ms
            periods_after = [p for p in log.periods if p.to_ms is None or p.to_ms > first_ms]
            if not periods_after or (name not in since and log.last_item_ms <= first_ms + error_ms):
                continue  # it is not known to have run then
            adopted_ms = since.get(name)
            if adopted_ms is None:
                adopted_ms = _first_reached_ms(log, which, version)
            if adopted_ms is not None and adopted_ms <= first_ms + error_ms:
                continue
            start_ms = max(first_ms, periods_after[0].from_ms)
            end_ms = adopted_ms if adopted_ms is not None else log.last_item_ms
            count = sum(
                start_ms + error_ms < action.at_ms < end_ms
                and not _has_reached(action.versions, which, version)
                for action in log.actions
            )
            min_ms = max(0.0, end_ms - start_ms - error_ms)
            if min_ms > 0.0 or adopted_ms is None:
                max_ms = None if adopted_ms is None else end_ms - start_ms + error_ms
                audit.lags.append(VersionLag(name, which, version, min_ms, max_ms, count))


def _has_reached(versions: VersionSet, which: str, version: str) -> bool:
    """Whether a version set has a version, or a later one if versions of this field are ordered."""
    own_version = version_text(versions, which)
    if own_version == version:
        return True
    own, other = _number_of(own_version), _number_of(version)
    if which not in ("revision", "epoch") or own is None or other is None:
        return False
    return own_version.rpartition("@")[0] == version.rpartition("@")[0] and own > other


def _first_reached_ms(log: AuditLog, which: str, version: str) -> float | None:
    """Return when a dispatcher first had a later version than one that it never had itself."""
    return next((p.from_ms for p in log.periods if _has_reached(p.versions, which, version)), None)


def report_data(audit: MergedAudit, call_id: str = "") -> dict[str, Any]:
    """Return the report for JSON, with one job's actions if `call_id` is given; null: unknown."""
    result: dict[str, Any] = {
        "dispatchers": {
            name: {
                "acts": dict(audit.action_counts[name]),
                "clock_off_ms": log.max_clock_error_ms,
                "until_ms": log.last_item_ms or None,
                "sampled_out": log.sampled_out,
                "vouched_for": name not in audit.doubts,
                "doubts": audit.doubts.get(name, []),
                "held": [
                    {"from_ms": p.from_ms, "to_ms": p.to_ms, **structs.asdict(p.versions)}
                    for p in log.periods
                ],
            }
            for name, log in audit.logs.items()
        },
        "versions": audit.versions,
        "acts_under": {f: {v: dict(c) for v, c in by.items()} for f, by in audit.actions_under.items()},
        "behind": [
            {
                "dispatcher": lag.dispatcher,
                "of": lag.field,
                "version": lag.version,
                "least_ms": lag.least_ms,
                "most_ms": lag.most_ms,
                "acts": lag.acts,
            }
            for lag in audit.lags
        ],
    }
    if call_id:
        result["call"] = [
            {
                "at_ms": action.at_ms,
                "dispatcher": action.dispatcher,
                "what": action.kind,
                "server": action.worker or None,
                **structs.asdict(action.versions),
            }
            for action in audit.actions_of_call(call_id)
        ]
    return result


def report_lines(audit: MergedAudit, call_id: str = "") -> Sequence[str]:
    """Return the lines of the report for people, with one job's actions if `call_id` is given."""
    lines = []
    for name in sorted(audit.logs):
        log = audit.logs[name]
        counts = (
            ", ".join(f"{n} {kind}" for kind, n in sorted(audit.action_counts[name].items())) or "no acts"
        )
        sampled_out = f", {log.sampled_out} sends left out by sampling" if log.sampled_out else ""
        lines.append(f"{name}: {counts}{sampled_out}; clock within {log.max_clock_error_ms:g} ms")
        lines += [f"  NOT VOUCHED FOR: {doubt}" for doubt in audit.doubts.get(name, ())]
    for which in COMPARED_FIELDS:
        for version, since in audit.versions.get(which, {}).items():
            acts = audit.actions_under.get(which, {}).get(version, Counter())
            who = ", ".join(f"{n} from {at:.0f} ms ({acts[n]} acts)" for n, at in sorted(since.items()))
            lines.append(f"{which} {version or 'none'}: {who}")
    for lag in audit.lags:
        span = f"at least {lag.least_ms:.0f} ms; it is not known to have adopted it"
        if lag.most_ms is not None:
            span = f"{lag.least_ms:.0f} to {lag.most_ms:.0f} ms"
        what = f"{lag.field} {lag.version or 'none'}"
        lines.append(f"behind: {lag.dispatcher} on {what}, {span}, {lag.acts} acts in it")
    if call_id:
        found = audit.actions_of_call(call_id)
        lines.append(
            f"job {call_id}: {len(found)} acts are written down" if found else f"job {call_id}: not known"
        )
        for n, action in enumerate(found):
            order = "" if n == 0 or audit.is_certainly_before(found[n - 1], action) else " (order unknown)"
            under = f"settings={action.versions.settings} list={version_text(action.versions, 'revision')}"
            lines.append(
                f"  {action.at_ms:.0f} ms {action.dispatcher} {action.kind} {action.worker} {under}{order}"
            )
    return lines
