"""The platform's settings file: decoding, and errors for invalid fields."""

from __future__ import annotations

from pathlib import Path

import pytest

from wisteriastair.nodeoptions import BadNodeSetting, NodeOptions
from wisteriastair.platform.settings import load_settings

VALID = """
nodeName = "front-1"
ip = "10.1.0.1"
zone = "z1"
internalPorts = [7380, 7395]
bootstrap = true
seeds = ["10.3.0.6:8144"]
somethingNew = { a = 1 }
[listen]
front = "10.1.0.1:8149"
ready = "10.1.0.1:8141"
[limits]
memoryMb = 150
[tolerate]
machines = 1
[bounds]
drainMs = 2000
graceS = 8
[platform]
address = "10.2.0.1:8142"
"""


def load(tmp_path: Path, text: str) -> NodeOptions | BadNodeSetting:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return load_settings(str(path))


def test_valid_file(tmp_path: Path) -> None:
    cfg = load(tmp_path, VALID)
    assert isinstance(cfg, NodeOptions)
    assert cfg.internal_address == "10.1.0.1:7380"
    assert cfg.memory_bytes == 150 * 1024 * 1024
    assert cfg.drain_s == 2.0
    assert cfg.change_deadline_s == 2.0
    assert cfg.contact_s == 3.0
    assert cfg.max_failures == 1
    assert cfg.seeds == ("10.3.0.6:7380",)
    assert cfg.cpu_cores == 0.0
    assert cfg.link_bytes_per_s == 0.0
    assert not cfg.has_memory_pressure


def test_limits_and_contracts(tmp_path: Path) -> None:
    """Guards against parts that are switched on where no contract asks for them."""
    limits = "memoryMb = 150\ncpuShare = 0.5\ncores = 3\nlinkMbps = 24.0"
    text = VALID.replace("memoryMb = 150", limits)
    cfg = load(tmp_path, 'contracts = ["base", "pressure"]\n' + text)
    assert isinstance(cfg, NodeOptions)
    assert cfg.cpu_cores == 1.5
    assert cfg.link_bytes_per_s == 3_000_000.0
    assert cfg.has_memory_pressure


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("memoryMb = 150", "", "limits"),
        ("memoryMb = 150", 'memoryMb = "much"', "limits.memoryMb"),
        ('zone = "z1"', "", "zone"),
        ("internalPorts = [7380, 7395]", "internalPorts = [1]", "internalPorts"),
        ('"10.2.0.1:8142"', '"nowhere"', "platform.address"),
        ("machines = 1", "machines = -1", "tolerate.machines"),
        ("memoryMb = 150", "memoryMb = 150\ncpuShare = -1", "limits.cpuShare"),
        ("bootstrap = true", 'bootstrap = true\ncontracts = "all"', "contracts"),
        ("graceS = 8", "graceS = 8\nconfigMs = 0", "bounds.configMs"),
        ("graceS = 8", "graceS = 8\ncontactMs = 0", "bounds.contactMs"),
    ],
)
def test_invalid_field_is_named(tmp_path: Path, old: str, new: str, field: str) -> None:
    bad = load(tmp_path, VALID.replace(old, new))
    assert isinstance(bad, BadNodeSetting)
    assert field in str(bad)


def test_missing_file_and_invalid_toml(tmp_path: Path) -> None:
    assert isinstance(load_settings(""), BadNodeSetting)
    assert isinstance(load_settings(str(tmp_path / "none")), BadNodeSetting)
    assert isinstance(load(tmp_path, "= ="), BadNodeSetting)
