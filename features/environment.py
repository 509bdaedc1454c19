"""Starts processes before scenarios, and ends them also after a failure."""

from typing import Any

from behave.model import Feature, Scenario, Status

from features.fault_world import FaultWorld
from features.world import World


def before_feature(context: Any, feature: Feature) -> None:
    # Scenarios that leave every process alive share one set of processes.
    context.shared = None
    if "shared" in feature.tags:
        context.shared = FaultWorld() if "proxied" in feature.tags else World()
        context.add_cleanup(context.shared.close)
        context.shared.start()


def before_scenario(context: Any, scenario: Scenario) -> None:
    context.world = context.shared or World()
    if context.shared is None:
        context.add_cleanup(context.world.close)


def after_scenario(context: Any, scenario: Scenario) -> None:
    if scenario.status == Status.failed:
        for name in context.world.cluster.entries:
            print(f"--- log of {name}\n{context.world.cluster.log(name)}")
