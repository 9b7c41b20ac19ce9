"""Each version must encode messages and records to the bytes of the golden files, and decode those."""

from __future__ import annotations

from dataclasses import replace
from typing import get_args

import pytest

from grebestack.audit.records import Item
from grebestack.hot_restart.framing import Unpacker, pack
from grebestack.program.hot_restart_state import worker_from_wire
from grebestack.program.hot_restart_wire import request_from_wire
from grebestack.routing.worker_table import WorkerEndpoint
from tests.golden_handover import REQUEST, handover_packets, keepsake, keepsake_taken
from tests.golden_links import REPORTED_RECORD, export_request, first_bytes, received
from tests.golden_samples import (
    AUDIT_BATCHES,
    CODECS,
    MEMBER_MESSAGES,
    RELAY_MESSAGES,
    WORKER,
    encode_samples,
    load_golden,
)

MESSAGES = "messages.json"


@pytest.mark.parametrize("group", sorted(CODECS))
def test_samples_have_the_bytes_of_the_golden_file(group: str) -> None:
    assert encode_samples(CODECS[group]) == load_golden(MESSAGES)[group]


@pytest.mark.parametrize("group", sorted(CODECS))
def test_golden_bytes_are_read_and_written_again_unchanged(group: str) -> None:
    codec = CODECS[group]
    for name, digits in load_golden(MESSAGES)[group].items():
        data = bytes.fromhex(digits)
        decoded = codec.decode(data)
        assert decoded == codec.samples[name], name
        assert codec.encode(decoded) == data, name


@pytest.mark.parametrize("group", sorted(CODECS))
def test_each_type_has_a_sample(group: str) -> None:
    codec = CODECS[group]
    assert codec.types
    assert set(codec.types) == {type(sample) for sample in codec.samples.values()}


def test_each_item_of_the_audit_has_a_sample() -> None:
    assert set(get_args(Item)) == {type(item) for batch in AUDIT_BATCHES.values() for item in batch}


def test_the_golden_file_has_no_group_without_a_codec() -> None:
    assert set(load_golden(MESSAGES)) == set(CODECS)


def test_the_first_bytes_of_a_connection() -> None:
    assert first_bytes() == load_golden("links.json")


def test_golden_frames_are_read_as_they_were_sent() -> None:
    assert received(load_golden("links.json")) == {
        "member": [MEMBER_MESSAGES["hello"], REPORTED_RECORD, MEMBER_MESSAGES["prepare"]],
        "feed": [RELAY_MESSAGES["greeting"], RELAY_MESSAGES["poll"]],
    }


def test_the_request_of_an_export() -> None:
    assert export_request() == load_golden("export_request.json")


def test_the_packets_of_a_hot_restart() -> None:
    assert handover_packets() == load_golden("handover.json")


def test_the_learned_state_of_a_dispatcher() -> None:
    assert keepsake() == load_golden("keepsake.json")


def test_golden_keepsake_is_taken_whole() -> None:
    golden = load_golden("keepsake.json")
    assert keepsake_taken(golden) == golden


def test_golden_packets_are_read_and_packed_again_unchanged() -> None:
    for name, packets in load_golden("handover.json").items():
        unpacker = Unpacker()
        *former, message = [unpacker.feed(packet.encode()) for packet in packets]
        assert former == [None] * len(former), name
        assert message is not None
        assert [packet.decode() for packet in pack(message)] == packets, name


def test_golden_workers_and_requests_are_read() -> None:
    golden = load_golden("handover.json")
    welcome, job = (Unpacker().feed(golden[name][0].encode()) for name in ("welcome", "job"))
    assert welcome is not None and job is not None
    listed = replace(WORKER.entry, put_back=False)
    assert [worker_from_wire(raw) for raw in welcome["servers"]] == [WorkerEndpoint(listed, WORKER.address)]
    assert request_from_wire(job) == replace(REQUEST, keep_alive=True)
