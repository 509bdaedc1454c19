"""One set of processes for the scenarios of a kind; what a scenario ended is started again."""

from typing import Any

from behave.model import Scenario, Status

from features.fault_world import FaultWorld
from features.world import World

_worlds: list[World] = []


def before_scenario(context: Any, scenario: Scenario) -> None:
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
    for name in _worlds[0].cluster.entries:
        print(f"--- log of {name}\n{_worlds[0].cluster.log(name)}")
    # The next scenario gets new processes, so that a failure has no effect on it.
    _worlds.pop().close()


def after_all(context: Any) -> None:
    while _worlds:
        _worlds.pop().close()
