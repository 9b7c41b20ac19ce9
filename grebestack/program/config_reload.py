"""Applies a reloaded configuration, as far as this is possible without a restart."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.model import Config
from grebestack.program.config.platform import check_reload
from grebestack.protocol.discovery import DiscoveryWatcher
from grebestack.protocol.settings import changed_restart_fields, merge_settings

if TYPE_CHECKING:
    from grebestack.program.audit_recording import AuditRecorder
    from grebestack.program.shared_discovery import Source
    from grebestack.program.worker_sources import WorkerSources
    from grebestack.protocol.platform import PlatformApi
    from grebestack.routing.engine import Engine
    from grebestack.transport.connection_pool import ConnectionPools

log = logging.getLogger(__name__)
# Fields that need a restart, and their names in logs and responses.
_SHOWN_NAME_BY_FIELD = {
    "name": "name",
    "listen": "listen",
    "control": "control",
    "max_sockets": "sockets",
    "max_memory_mb": "memory_mb",
    "drmaa": "drmaa",
    "accepts_requests": "platform",
    "membership": "membership",
    "cluster": "fleet",
    "audit": "audit",
    "distribution": "force",
}


class ReloadableDispatcher(Protocol):
    """What a reload uses of the dispatcher; it replaces `config` and `worker_source`."""

    config: Config
    worker_source: Source | None
    worker_sources: WorkerSources
    read_config: Callable[[], Config]
    engine: Engine
    platform_api: PlatformApi
    pools: ConnectionPools
    audit_recorder: AuditRecorder | None
    is_stopped: bool


def fields_requiring_restart(config: Config, current: Config) -> list[str]:
    """Return the shown names of the fields that differ between two configurations and need a restart."""
    shown_names = dict(_SHOWN_NAME_BY_FIELD)
    if current.drmaa is not None:
        shown_names["options"] = "options"  # stored jobs name their classes by number
    changed = [
        shown for name, shown in shown_names.items() if getattr(config, name) != getattr(current, name)
    ]
    if current.drmaa is None and config.options != current.options:
        changed += changed_restart_fields(current.options, config.options)
    return changed


class ConfigReloader:
    """Replaces the settings and the worker source of a running dispatcher.

    Open requests keep the settings that they arrived under.
    """

    def __init__(self, dispatcher: ReloadableDispatcher) -> None:
        """Reload the configuration of a dispatcher, whose `config` and `worker_source` are replaced."""
        self.dispatcher = dispatcher

    def reload(self) -> None:
        """Read the configuration again and apply it; an unusable one is logged and changes nothing."""
        try:
            config = self.dispatcher.read_config()
            check_reload(config, self.dispatcher.config)
        except ConfigError as error:
            log.error("reload_failed", extra={"kv": {"error": error}})
            return
        self.apply(config)

    def apply(self, config: Config) -> str:
        """Apply a validated configuration, either completely or not at all.

        Returns the reason if it can't be applied, else an empty string. A `reload_failed` in the log after
        `reloaded` means that all changes were undone.
        """
        before = self.dispatcher.config
        source_changed = (config.discovery, config.worker_source) != (before.discovery, before.worker_source)
        needing_restart = fields_requiring_restart(config, before)
        # With [drmaa] settings need a restart: stored jobs name their classes by number.
        settings_changed = before.drmaa is None and config.options != before.options
        if settings_changed:
            self._apply_settings(config)
        address = ":".join(map(str, config.discovery))
        kv = {"servers": address, "moved": source_changed, "waits_for_restart": ",".join(needing_restart)}
        log.info("reloaded", extra={"kv": kv})
        if not source_changed or self.dispatcher.is_stopped:
            return ""
        try:
            source = self._create_worker_source(config)
        except (ValueError, KeyError, TypeError) as error:  # a malformed list of workers
            log.error("reload_failed", extra={"kv": {"error": repr(error)}})
            if settings_changed:
                self._apply_settings(self._with_settings_of(before))
            return f"servers: {error!r}"
        self._replace_worker_source(config, source)
        return ""

    def _with_settings_of(self, config: Config) -> Config:
        return replace(
            self.dispatcher.config,
            options=config.options,
            settings=config.settings,
            key_paths=config.key_paths,
        )

    def _create_worker_source(self, config: Config) -> Source | None:
        previous = self.dispatcher.worker_source
        with_source = self._with_source_of(config)
        return self.dispatcher.worker_sources.create(
            with_source, previous if isinstance(previous, DiscoveryWatcher) else None
        )

    def _with_source_of(self, config: Config) -> Config:
        return replace(self.dispatcher.config, discovery=config.discovery, worker_source=config.worker_source)

    def _replace_worker_source(self, config: Config, source: Source | None) -> None:
        dispatcher = self.dispatcher
        if dispatcher.worker_source is not None:
            dispatcher.worker_source.retire()
        dispatcher.config, dispatcher.worker_source = self._with_source_of(config), source
        if dispatcher.audit_recorder is not None:
            dispatcher.audit_recorder.on_source_changed()
        if source is not None:
            source.start()

    def _apply_settings(self, config: Config) -> None:
        dispatcher = self.dispatcher
        settings = merge_settings(dispatcher.engine.settings, config.settings)
        dispatcher.config = replace(
            dispatcher.config, options=config.options, settings=settings, key_paths=config.key_paths
        )
        if dispatcher.audit_recorder is not None:  # first: decisions from now on use the new settings
            dispatcher.audit_recorder.on_settings_changed(config.options)
        dispatcher.engine.update_settings(settings)
        dispatcher.platform_api.update_settings(settings)
        dispatcher.pools.connect_timeout_s = settings.connect_timeout_ms / 1000.0
        names = [c.name for number, c in enumerate(settings.classes) if number not in settings.retired]
        kv = {"classes": ",".join(names), "attempts": settings.max_attempts}
        log.info("settings_changed", extra={"kv": kv})
