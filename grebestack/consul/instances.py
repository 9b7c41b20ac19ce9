"""Reads Consul's service instances: health checks, weights, addresses and allowed networks."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Literal

import msgspec
from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.protocol.settings import PlaceNumbers
from grebestack.routing.worker_table import WorkerEndpoint

log = logging.getLogger(__name__)
NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"


class Check(msgspec.Struct, rename="pascal"):
    """A health check of a node or of an instance."""

    check_id: str = msgspec.field(default="", name="CheckID")
    name: str = ""
    status: str = "critical"


class Weights(msgspec.Struct, rename="pascal"):
    """The weight of an instance while its checks pass, and while one of them warns."""

    passing: float = 1.0
    warning: float = 1.0


class TaggedAddress(msgspec.Struct, rename="pascal"):
    """The address of an instance under one tag, such as `lan` or `wan`."""

    address: str = ""
    port: int = 0


class Service(msgspec.Struct, rename="pascal"):
    """The service part of an instance."""

    id: str = msgspec.field(name="ID")
    port: int
    address: str | None = ""
    meta: dict[str, str] | None = None
    tags: list[str] | None = None
    weights: Weights | None = None
    tagged_addresses: dict[str, TaggedAddress] | None = None


class Node(msgspec.Struct, rename="pascal"):
    """The node that an instance runs on."""

    address: str = ""
    node: str = ""
    tagged_addresses: dict[str, str] | None = None


class Instance(msgspec.Struct, rename="pascal"):
    """An entry of the health API's response."""

    node: Node
    service: Service
    checks: list[Check] | None = None


class CatalogEntry(msgspec.Struct, rename="pascal"):
    """An entry of the catalogue API's response, which has no health checks."""

    service_id: str = msgspec.field(name="ServiceID")
    service_port: int
    address: str = ""
    node: str = ""
    service_address: str | None = ""
    service_meta: dict[str, str] | None = None
    service_tags: list[str] | None = None
    service_weights: Weights | None = None
    service_tagged_addresses: dict[str, TaggedAddress] | None = None
    tagged_addresses: dict[str, str] | None = None

    def as_instance(self) -> Instance:
        """Return the same instance in the health API's form, without checks, which counts as passing."""
        service = Service(
            self.service_id,
            self.service_port,
            self.service_address,
            self.service_meta,
            self.service_tags,
            self.service_weights,
            self.service_tagged_addresses,
        )
        return Instance(Node(self.address, self.node, self.tagged_addresses), service)


@dataclass(frozen=True, slots=True)
class ReaderOptions:
    """How instances are read.

    `deciding_checks` has the ids or names of the checks that count; if empty, all count. `on_warning` decides
    whether an instance with a warning keeps its weight, gets its weight for warnings, or is drained.
    `address_tag` selects one of the tagged addresses, usually `lan` or `wan`.
    """

    deciding_checks: frozenset[str] = frozenset()
    on_warning: Literal["full", "reduced", "drain"] = "full"
    address_tag: str = ""
    allowed_networks: IPSet | None = None


def parse_networks(texts: Iterable[str]) -> IPSet:
    """Return the set of networks given in CIDR notation. ValueError: one of them is malformed."""
    networks = []
    for text in texts:
        try:
            networks.append(IPNetwork(text))
        except (AddrFormatError, ValueError) as error:
            raise ValueError(f"networks: {text!r} is no network such as 10.0.0.0/8 or fd00::/8") from error
    return IPSet(networks)


class InstanceReader:
    """Converts instances to workers. Zone, kind and cell are taken from the service's metadata."""

    def __init__(self, options: Mapping[str, Any], reader_options: ReaderOptions) -> None:
        self.places, self.options = PlaceNumbers(options), reader_options
        self.logged_outside: set[str] = set()  # ids outside the allowed networks, each logged once
        self.health_decoder, self.catalogue_decoder = (
            msgspec.json.Decoder(Instance),
            msgspec.json.Decoder(CatalogEntry),
        )

    def read(self, raw: msgspec.Raw | bytes, is_health: bool) -> WorkerEndpoint | None:
        """Read one entry of the health API's response, or of the catalogue's if not `is_health`.

        None: the address is outside the allowed networks. msgspec.ValidationError: the entry is malformed.
        """
        instance = (
            self.health_decoder.decode(raw) if is_health else self.catalogue_decoder.decode(raw).as_instance()
        )
        service, node = instance.service, instance.node
        host, port = self._address(service, node)
        networks = self.options.allowed_networks
        if networks is not None and not self._is_allowed(networks, service.id, host):
            return None
        state, reason, has_warning = self._state_by_checks(instance.checks or [])
        weights, meta = service.weights or Weights(), service.meta or {}
        weight = weights.warning if has_warning and self.options.on_warning == "reduced" else weights.passing
        entry = WorkerEntry(
            worker=service.id,
            zone=self.places.zone(meta.get("zone", ""), 0),
            kind=self.places.kind(meta.get("model", "")),
            cell=int(meta["cell"]) if meta.get("cell", "").isdigit() else 0,
            state=state,
            weight=weight or 1.0,
        )
        return WorkerEndpoint(entry, (host, port), reason=reason)

    def _address(self, service: Service, node: Node) -> tuple[str, int]:
        tagged = (service.tagged_addresses or {}).get(self.options.address_tag)
        if tagged is not None and tagged.address:
            return tagged.address, tagged.port or service.port
        if service.address:
            return service.address, service.port
        return (node.tagged_addresses or {}).get(self.options.address_tag) or node.address, service.port

    def _is_allowed(self, networks: IPSet, worker_id: str, host: str) -> bool:
        try:
            is_allowed = IPAddress(host) in networks
        except (AddrFormatError, ValueError):
            is_allowed = False  # a host name, which is not resolved here
        if not is_allowed and worker_id not in self.logged_outside and len(self.logged_outside) < 10_000:
            self.logged_outside.add(worker_id)
            log.warning("server_outside", extra={"kv": {"server": worker_id, "address": host}})
        return is_allowed

    def _state_by_checks(self, checks: list[Check]) -> tuple[WorkerState, str, bool]:
        """Return the state, the reason, and whether a check warns.

        Maintenance of the node or the instance always drains, whichever checks decide.
        """
        failing, has_warning = [], False
        for check in checks:
            if check.check_id == NODE_MAINTENANCE:
                return WorkerState.DRAINING, "", False
            if check.check_id.startswith(SERVICE_MAINTENANCE):
                return WorkerState.DRAINING, "", False
            deciding = self.options.deciding_checks
            if deciding and not {check.check_id, check.name} & deciding:
                continue
            if check.status == "warning":
                has_warning = True
            elif check.status != "passing":
                failing.append(f"check {check.check_id or check.name or '?'} is {check.status}")
        if failing:
            return WorkerState.DRAINING, ", ".join(failing), has_warning
        if has_warning and self.options.on_warning == "drain":
            return WorkerState.DRAINING, "", True
        return WorkerState.READY, "", has_warning
