"""Flags from the environment, and joined flags."""

from __future__ import annotations

from wisteriastair.main import with_environment, with_joined_aims


def test_environment_adds_missing_flags() -> None:
    argv = ["side", "--domain", "lac"]
    environ = {
        "WISTERIASTAIR_DOMAIN": "medina",
        "WISTERIASTAIR_SLOTS": "128",
        "WISTERIASTAIR_MODELS": "m1=http://a:1,m2=http://b:2",
        "OTHER": "x",
    }
    assert with_environment(argv, environ) == [
        "side",
        "--models",
        "m1=http://a:1",
        "m2=http://b:2",
        "--slots",
        "128",
        "--domain",
        "lac",
    ]


def test_unknown_subcommand_is_left_to_the_parser() -> None:
    assert with_environment(["sing"], {"WISTERIASTAIR_SLOTS": "1"}) == ["sing"]


def test_aims_are_joined_at_any_position() -> None:
    argv = ["losses", "a.log", "--aim", "turn=3", "--every=1", "--aim=chat=2", "b.log"]
    assert with_joined_aims(argv) == [
        "losses",
        "--aim=turn=3,chat=2",
        "a.log",
        "--every=1",
        "b.log",
    ]


def test_other_commands_and_an_aim_without_a_value_are_left_to_the_parser() -> None:
    for argv in ([], ["trace", "--aim", "x"], ["losses", "a.log", "--aim"]):
        assert with_joined_aims(argv) == argv
