"""One set of processes for the scenarios of a kind; what a scenario ended is started again."""

import sys
from pathlib import Path
from typing import Any

from behave.model import Scenario, Status

from features.fault_world import FaultWorld
from features.world import World

_worlds: list[World] = []
_KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def before_scenario(context: Any, scenario: Scenario) -> None:
    if _is_known_red(scenario) and context.config.userdata.get("known_red") != "run":
        # The capture of output would hide it.
        print(f"known red, passed over: {scenario.name}", file=sys.__stderr__)
        scenario.skip("listed in KNOWN-RED.txt")
        return
    kind = FaultWorld if "proxied" in scenario.effective_tags else World
    if _worlds and type(_worlds[0]) is not kind:
        _worlds.pop().close()
    if not _worlds:
        # Kept outside the context, which drops what a scenario has set, and closed even if its
        # start fails.
        _worlds.append(kind())
        _worlds[0].start()
    context.world = _worlds[0]


def after_scenario(context: Any, scenario: Scenario) -> None:
    if scenario.status == Status.passed:
        _worlds[0].start()
        return
    if scenario.status == Status.skipped:
        return
    for name in _worlds[0].cluster.entries:
        print(f"--- log of {name}\n{_worlds[0].cluster.log(name)}")
    # The next scenario gets new processes, so that a failure has no effect on it.
    _worlds.pop().close()


def _is_known_red(scenario: Scenario) -> bool:
    if not _KNOWN_RED.exists():
        return False
    return f"scenario: {scenario.name}" in _KNOWN_RED.read_text(encoding="utf-8").splitlines()


def after_all(context: Any) -> None:
    while _worlds:
        _worlds.pop().close()
