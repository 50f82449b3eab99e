"""Settings from the environment."""

from __future__ import annotations

from wisteriastair.main import with_environment


def test_environment_adds_what_no_flag_gives() -> None:
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
