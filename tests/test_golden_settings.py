"""Compares settings, configuration files, their errors and admin commands with the golden files."""

from __future__ import annotations

from collections import Counter

import pytest
from fleet_counts import TrafficTotals

from grebestack.admin.commands import Verb
from tests.golden_control import LINES, all_control
from tests.golden_samples import load_golden
from tests.golden_settings import all_errors, all_settings
from tests.golden_texts import all_texts

SETTINGS, ERRORS = "settings_values.json", "settings_errors.json"
CONTROL, TEXTS = "control.json", "texts.json"


def test_configuration_files_parse_to_the_golden_values() -> None:
    actual, golden = all_settings(), load_golden(SETTINGS)
    assert set(actual) == set(golden)
    for name in sorted(golden):
        assert actual[name] == golden[name], name


def test_error_messages_are_those_of_the_golden_file() -> None:
    actual, golden = all_errors(), load_golden(ERRORS)
    assert set(actual) == set(golden)
    for group in sorted(golden):
        assert actual[group] == golden[group], group


@pytest.mark.parametrize("part", ["parsed", "pieces", "answers", "shown", "operated", "logged"])
def test_admin_commands_and_log_lines_are_those_of_the_golden_file(part: str) -> None:
    assert all_control()[part] == load_golden(CONTROL)[part]


@pytest.mark.parametrize(
    "part", ["relay", "greeting", "follower", "version", "audit", "words", "waits", "schema"]
)
def test_texts_are_those_of_the_golden_file(part: str) -> None:
    assert all_texts()[part] == load_golden(TEXTS)[part]


def test_each_verb_has_a_line() -> None:
    assert {verb.value.encode() for verb in Verb} <= {line.split(b" ")[0] for line in LINES}


def test_golden_tally_lines_are_counted_by_the_benchmark() -> None:
    counts = TrafficTotals()
    for line in load_golden(CONTROL)["logged"]:
        counts.add_line(line)
    (second,) = counts.seconds
    expected = Counter({"sessions": 9, "ok": 3, "dials": 4})
    assert +counts.seconds[second] == expected
    assert counts.open_jobs[second] == Counter({"runner-1": 4})
