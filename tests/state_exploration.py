"""An explicit-state exploration: every state that can be reached, the nearest first."""

from __future__ import annotations

import argparse
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Any, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)


class ExplorationResult(NamedTuple):
    """What an exploration came to."""

    states: int
    is_complete: bool  # whether every state within the bound was seen
    violation: str = ""
    trace: tuple[str, ...] = ()

    def report(self) -> int:
        """Print it; the exit code."""
        print("\n".join(self.trace))
        print(f"states={self.states} complete={self.is_complete} violation={self.violation!r}")
        return 1 if self.violation else 0


def explore(
    first: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    wrong: Callable[[S], str],
    most: int,
    alike: Callable[[S], S] = lambda world: world,
) -> ExplorationResult:
    """See every state, up to so many; a wrong one ends it with the shortest way there.

    Of states that `alike` makes the same one stands for all.
    """
    first = alike(first)
    came: dict[S, tuple[S, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        for what, after in steps(world):
            after = alike(after)
            if after in came:
                continue
            came[after] = (world, what)
            if why := wrong(after):
                return ExplorationResult(len(came), False, why, _trace(came, after))
            if len(came) >= most:
                return ExplorationResult(len(came), False)
            queue.append(after)
    return ExplorationResult(len(came), True)


def run_command(
    explored: Callable[[str, str, int], ExplorationResult],
    variants: Iterable[str],
    starts: Iterable[str],
    start: str,
) -> int:
    """Explore from the command line, by variant, start and how many states at most; the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--variant", default="", choices=("", *variants))
    parser.add_argument("--start", default=start, choices=tuple(starts))
    args = parser.parse_args()
    return explored(args.variant, args.start, args.states).report()


def _trace(came: dict[S, tuple[S, str] | None], world: S) -> tuple[str, ...]:
    trace = []
    while (step := came[world]) is not None:
        world, what = step
        trace.append(what)
    return tuple(reversed(trace))


def put(items: tuple[Any, ...], place: int, item: Any) -> tuple[Any, ...]:
    """The same with one item changed."""
    return (*items[:place], item, *items[place + 1 :])
