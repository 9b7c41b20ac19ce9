"""APP scripts: the built-in script, and a script resolved for the job classes of the settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from grebestack.core.settings import Block, JobClass, Settings, Tag
from grebestack.core.workers import TrackedWorker


def built_in_script(settings: Settings) -> dict[str, Tag]:
    """Return the script for settings without one.

    Each class tries the dispatcher's own zone best first, then the other zones, then the default tag, whose
    strategy is platform.
    """
    rule = "capacity_used" if "free_slots" in settings.report_fields else "max_concurrent_invocations"
    blocks = tuple(Block(invalidate=rule, place=p) for p in ("own", "other"))
    fallback = tuple(Block(strategy="platform", invalidate="overload", place=p) for p in ("own", "other"))
    return {c.name: Tag(blocks) for c in settings.classes} | {"default": Tag(fallback, followup="fail")}


class ResolvedScript:
    """A script by class index: the indices of the blocks to try, including those of the followup."""

    def __init__(self, script: Mapping[str, Tag], classes: Sequence[JobClass]) -> None:
        """Resolve a script that covers the classes."""
        default = script.get("default")
        tags = [script.get(job_class.name) or script["default"] for job_class in classes]
        default_blocks = default.blocks if default is not None else ()
        block_lists = [tag.blocks + (default_blocks if tag.followup == "default" else ()) for tag in tags]
        self.blocks = list(dict.fromkeys(block for blocks in block_lists for block in blocks))
        self.block_indices = [[self.blocks.index(block) for block in blocks] for blocks in block_lists]
        self.rejects_at_end = [tag.followup == "fail" and tag is not default for tag in tags]


def block_members(
    workers: Mapping[str, TrackedWorker], block: Block, kind: int, zone: int | None, cell: int | None
) -> list[TrackedWorker]:
    """Return the workers of a block in its order, limited to a kind (-1: any), a zone and a cell."""
    named = list(workers) if block.workers == ("*",) else block.workers
    return [
        worker
        for worker in (workers[name] for name in named if name in workers)
        if kind in (-1, worker.entry.kind)
        and zone in (None, worker.entry.zone)
        and cell in (None, worker.entry.cell)
        and block.contains(worker.entry.worker, worker.own_zone)
    ]
