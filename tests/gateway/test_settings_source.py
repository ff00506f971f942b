"""Tests of a settings file that another program writes at the same time."""

import os
from pathlib import Path

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.errors import Finding, SettingsError
from crocusspindle.gateway import settings_source
from crocusspindle.gateway.settings_source import SETTLE_S, SettingsSource

VALID = "valid"
CHANGED_S = 1_000.0


def parse(path: Path) -> str:
    content = path.read_text()
    if content != VALID:
        raise SettingsError([Finding(str(path), ".", f"found {content!r}")])
    return content


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "settings"
    file.write_text("")
    return file


def test_settings_that_become_valid_are_read(path):
    """Guards against a start that fails as its settings file is half written."""
    parts = iter([VALID[:2], VALID])
    source = SettingsSource(path, parse, lambda _: path.write_text(next(parts)))
    assert source.wait_until_valid(now_ms() + 60_000.0) == VALID
    assert not source.has_changed


def test_settings_that_stay_invalid_are_reported_at_the_deadline(path):
    """Guards against a node that waits for ever and never names the finding."""
    source = SettingsSource(path, parse, lambda _: path.write_text("wrong"))
    with pytest.raises(SettingsError, match="found ''"):
        source.wait_until_valid(now_ms())


def test_a_change_within_the_resolution_of_file_times_is_seen(path):
    """Guards against a node that keeps settings that were valid but incomplete."""
    path.write_text(VALID)
    source = SettingsSource(path, parse)
    source.read()
    status = path.stat()
    path.write_text("longer")
    os.utime(path, ns=(status.st_atime_ns, status.st_mtime_ns))
    assert source.has_changed


@pytest.mark.parametrize(
    ("age_s", "wait_s"), [(0.0, SETTLE_S), (SETTLE_S, 0.0), (-60.0, 0.0)]
)
def test_a_file_that_was_just_changed_is_not_settled(path, monkeypatch, age_s, wait_s):
    """Guards against settings that are read while they are valid but incomplete."""
    os.utime(path, (CHANGED_S, CHANGED_S))
    monkeypatch.setattr(settings_source.time, "time", lambda: CHANGED_S + age_s)
    source = SettingsSource(path, parse)
    assert source.unsettled_s == pytest.approx(wait_s, abs=1e-6)
    path.unlink()
    assert source.unsettled_s == 0.0
