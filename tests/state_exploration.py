"""Explicit-state model checking: breadth-first exploration of every reachable state."""

from __future__ import annotations

import argparse
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Any, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)


class ExplorationResult(NamedTuple):
    """The result of an exploration."""

    states: int
    is_complete: bool  # whether every reachable state was visited
    violation: str = ""
    trace: tuple[str, ...] = ()

    def report(self) -> int:
        """Print the result; return the exit code."""
        print("\n".join(self.trace))
        print(f"states={self.states} complete={self.is_complete} violation={self.violation!r}")
        return 1 if self.violation else 0


def explore(
    first: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    violation_of: Callable[[S], str],
    max_states: int,
    canonical: Callable[[S], S] = lambda state: state,
) -> ExplorationResult:
    """Visit up to `max_states` states; stop at the first violation, with the shortest trace to it.

    States for which `canonical` returns the same state count as one.
    """
    first = canonical(first)
    predecessors: dict[S, tuple[S, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        for step, following in steps(state):
            following = canonical(following)
            if following in predecessors:
                continue
            predecessors[following] = (state, step)
            if violation := violation_of(following):
                return ExplorationResult(len(predecessors), False, violation, _trace(predecessors, following))
            if len(predecessors) >= max_states:
                return ExplorationResult(len(predecessors), False)
            queue.append(following)
    return ExplorationResult(len(predecessors), True)


def run_command(
    run_exploration: Callable[[str, str, int], ExplorationResult],
    variants: Iterable[str],
    starts: Iterable[str],
    start: str,
) -> int:
    """Run an exploration with the command line's variant, start and state limit; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--variant", default="", choices=("", *variants))
    parser.add_argument("--start", default=start, choices=tuple(starts))
    args = parser.parse_args()
    return run_exploration(args.variant, args.start, args.states).report()


def _trace(predecessors: dict[S, tuple[S, str] | None], state: S) -> tuple[str, ...]:
    trace = []
    while (predecessor := predecessors[state]) is not None:
        state, step = predecessor
        trace.append(step)
    return tuple(reversed(trace))


def put(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """Return a copy of a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])
