"""Hooks of behave: scenarios with the same kind of world share its processes.

Processes that a scenario has ended are started again after it. After a failed scenario, all
processes are replaced.
"""

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
        # behave captures sys.stderr, so the message goes to the original stream.
        print(f"known red, passed over: {scenario.name}", file=sys.__stderr__)
        scenario.skip("listed in KNOWN-RED.txt")
        return
    world_type = FaultWorld if "proxied" in scenario.effective_tags else World
    if _worlds and type(_worlds[0]) is not world_type:
        _worlds.pop().close()
    if not _worlds:
        # Kept in a module variable, since behave removes what a scenario adds to the context, and
        # added before its start, so that it is closed even if the start fails.
        _worlds.append(world_type())
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
    # The next scenario gets new processes, so that the failure can't affect it.
    _worlds.pop().close()


def _is_known_red(scenario: Scenario) -> bool:
    if not _KNOWN_RED.exists():
        return False
    return f"scenario: {scenario.name}" in _KNOWN_RED.read_text(encoding="utf-8").splitlines()


def after_all(context: Any) -> None:
    while _worlds:
        _worlds.pop().close()
