"""Steps that inject faults between entry processes, and judge membership and configuration."""

from typing import Any

from behave import given, then, when

from features.world import ANSWER_BOUND_S
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from tools.cluster import wait_for


@given("no fault is left")
def restore(context: Any) -> None:
    context.world.restore()


@when("the {zone} zone is cut off")
def cut_off(context: Any, zone: str) -> None:
    cluster = context.world.cluster
    inside = [place.name for place in cluster.entries.values() if place.zone == zone]
    cluster.network.isolate(inside)


@when("the network heals")
def heal(context: Any) -> None:
    context.world.cluster.network.heal()


@when("a job is prepared in the ledger of every entry process")
def prepare(context: Any) -> None:
    world = context.world
    context.prepared = [world.prepare(entry, "once", 4, 50) for entry in world.cluster.entries]


@when("the prepared jobs are submitted through {one} and {other}")
def submit_on_both_sides(context: Any, one: str, other: str) -> None:
    entries = (one, other)
    context.sides = [
        context.world.resubmit(job, name) for job in context.prepared for name in entries
    ]


@then("one resubmission through {entry} does not claim that the job did not run")
def check_claim(context: Any, entry: str) -> None:
    answer = context.world.resubmit(context.job, entry).answer.result(ANSWER_BOUND_S)
    assert isinstance(answer, Failure) or answer["ran"] != "no", answer


@then("{entry} and {other} no longer take each other for live")
def check_lost(context: Any, entry: str, other: str) -> None:
    for viewer, seen in ((entry, other), (other, entry)):
        wait_for(
            lambda viewer=viewer, seen=seen: not context.world.members_seen(viewer)[seen],
            f"{viewer} takes {seen} for lost",
            bound_s=6,
        )


@then("within {seconds:d} s all entry processes see each other")
def check_views(context: Any, seconds: int) -> None:
    wait_for(context.world.views_agree, "all see each other", bound_s=seconds)


@then("each prepared job has the same final answer through {one} and {other}")
def check_prepared(context: Any, one: str, other: str) -> None:
    codes = []
    for job in context.prepared:
        answers = [context.world.resubmit_until_final(job, entry) for entry in (one, other)]
        assert answers[0]["code"] == answers[1]["code"], (job.id, answers)
        codes.append(answers[0]["code"])
    assert ResultCode.COMPLETE in codes, codes


@then("no task of the prepared jobs has started twice")
def check_prepared_starts(context: Any) -> None:
    for job in context.prepared:
        starts = context.world.starts(job)
        assert max(starts.values(), default=0) <= 1, (job.id, starts)


@then("no answer on either side claimed wrongly that a prepared job did not run")
def check_prepared_claims(context: Any) -> None:
    for job in context.sides:
        answer = job.answer.result(ANSWER_BOUND_S)
        if not isinstance(answer, Failure) and answer["ran"] == "no":
            assert not context.world.starts(job), answer
