"""Steps that inject faults into entry processes and check membership and configuration."""

import signal
import time
from functools import partial
from typing import Any

from behave import given, then, when

from features.world import ANSWER_TIMEOUT_S
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from tools.cluster import wait_for


@given("no fault is active")
def restore(context: Any) -> None:
    context.world.restore()


@when("the {zone} zone is cut off")
def cut_zone_off(context: Any, zone: str) -> None:
    cluster = context.world.cluster
    inside = [entry.name for entry in cluster.entries.values() if entry.zone == zone]
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


@then("one resubmission through {entry} does not report that the job did not run")
def check_not_reported_as_not_run(context: Any, entry: str) -> None:
    answer = context.world.resubmit(context.job, entry).answer.result(ANSWER_TIMEOUT_S)
    assert isinstance(answer, Failure) or answer["ran"] != "no", answer


@then("{entry} and {other} no longer consider each other alive")
def check_mutually_lost(context: Any, entry: str, other: str) -> None:
    for viewer, seen in ((entry, other), (other, entry)):
        wait_for(
            lambda viewer=viewer, seen=seen: not context.world.members_seen(viewer)[seen],
            f"{viewer} considers {seen} dead",
            timeout_s=6,
        )


@then("within {seconds:d} s all entry processes see each other")
def check_views_complete(context: Any, seconds: int) -> None:
    wait_for(
        context.world.views_agree, "every entry process sees all others alive", timeout_s=seconds
    )


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


@then("no answer on either side reported falsely that a prepared job did not run")
def check_prepared_not_run_answers(context: Any) -> None:
    for job in context.sides:
        answer = job.answer.result(ANSWER_TIMEOUT_S)
        if not isinstance(answer, Failure) and answer["ran"] == "no":
            assert not context.world.starts(job), answer


@when('change "{change}" is proposed through {entry}')
def propose(context: Any, change: str, entry: str) -> None:
    # Scenarios share one register, so ids contain the time to be unique.
    context.changes = {**getattr(context, "changes", {}), change: f"{change}-{time.time_ns()}"}
    context.expected_ms = 100 + time.time_ns() % 800
    fut = context.world.in_background(
        context.world.propose, entry, context.changes[change], context.expected_ms
    )
    context.proposed = {**getattr(context, "proposed", {}), change: fut}


@then('change "{change}" is accepted')
def check_accepted(context: Any, change: str) -> None:
    answer = context.proposed[change].result(ANSWER_TIMEOUT_S)
    assert answer["code"] == ResultCode.APPLIED, answer
    context.version = answer["change"]["version"]


@then('change "{change}" is not accepted')
def check_not_accepted(context: Any, change: str) -> None:
    answer = context.proposed[change].result(ANSWER_TIMEOUT_S)
    assert answer["code"] == ResultCode.CHANGE_UNKNOWN, answer


@then("within {seconds:d} s the last accepted change is in force in every entry process")
def check_in_force_everywhere(context: Any, seconds: int) -> None:
    check_in_force(context, seconds, ", ".join(context.world.cluster.entries))


@then("within {seconds:d} s the last accepted change is in force in {entries}")
def check_in_force(context: Any, seconds: int, entries: str) -> None:
    def is_in_force() -> bool:
        return set(context.world.versions(*entries.split(", ")).values()) == {context.version}

    wait_for(is_in_force, f"version {context.version} in {entries}", timeout_s=seconds)


@then('no entry process knows change "{change}"')
def check_unknown(context: Any, change: str) -> None:
    for entry in context.world.cluster.entries:
        assert context.changes[change] not in context.world.changes(entry), entry


@then('{entry} knows change "{change}"')
def check_known(context: Any, entry: str, change: str) -> None:
    assert context.changes[change] in context.world.changes(entry), entry


@when("{count:d} changes are made through all entry processes in turn")
def make_changes(context: Any, count: int) -> None:
    entries = list(context.world.cluster.entries)
    for number in range(count):
        change, entry = f"many-{time.time_ns()}", entries[number % len(entries)]
        # A process that hasn't learned of the previous change yet answers with a version conflict.
        wait_for(partial(_is_accepted, context, entry, change, 900 + number), change, timeout_s=5)


def _is_accepted(context: Any, entry: str, change: str, expected_ms: int) -> bool:
    answer = context.world.propose(entry, change, expected_ms)
    if answer["code"] == ResultCode.VERSION_CONFLICT:
        return False
    assert answer["code"] == ResultCode.APPLIED, answer
    context.version, context.last_change = answer["change"]["version"], change
    return True


@then("every entry process knows the last change")
def check_last_change(context: Any) -> None:
    for entry in context.world.cluster.entries:
        assert context.world.changes(entry)[0] == context.last_change, entry


@when("all open connections between entry processes stop forwarding")
def freeze_connections(context: Any) -> None:
    context.world.cluster.network.command("freeze")


@when("nothing from {source} reaches {target}")
def cut_direction(context: Any, source: str, target: str) -> None:
    context.world.cluster.network.cut([source], [target])


@when("{percent:d}% of datagrams between entry processes are lost")
def lose_datagrams(context: Any, percent: int) -> None:
    context.world.cluster.network.command(f"drop {percent / 100}")


@then("all entry processes see each other for {seconds:d} s")
def check_views_stay_complete(context: Any, seconds: int) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for entry in context.world.cluster.entries:
            view = context.world.members_seen(entry)
            assert len(view) == 3 and all(view.values()), (entry, view)
        time.sleep(0.1)


@when("{entry} loses its disk and is started again")
def replace_disk(context: Any, entry: str) -> None:
    lose_disk(context, entry)
    context.world.cluster.start_entries(entry)
    context.world.cluster.wait_until_started()


@when("{entry} loses its disk")
def lose_disk(context: Any, entry: str) -> None:
    context.world.cluster.lose_disk(entry)


@then("within {seconds:d} s voter {entry} has recovered")
def check_recovered(context: Any, seconds: int, entry: str) -> None:
    def has_recovered() -> bool:
        state = context.world.dump(entry)["config"]
        return state["is_voter"] and not state["is_recovering"]

    wait_for(has_recovered, f"{entry} has recovered", timeout_s=seconds)


@when("jobs run through every entry process")
def run_jobs(context: Any) -> None:
    world = context.world
    jobs = [world.submit(entry, "brief", 12, 300) for entry in world.cluster.entries]
    wait_for(lambda: all(world.starts(job) for job in jobs), "every job runs", timeout_s=10)
    context.ran = [*getattr(context, "ran", []), *jobs]


@when("the owner of the slots in the {zone} zone is frozen until it is considered dead")
def freeze_owner(context: Any, zone: str) -> None:
    world = context.world
    names = [entry.name for entry in world.cluster.entries.values() if entry.zone == zone]
    context.frozen = next(name for name in names if _owns(world.dump(name), zone))
    world.cluster.signal(context.frozen, signal.SIGSTOP)
    context.add_cleanup(world.cluster.signal, context.frozen, signal.SIGCONT)
    wait_for(
        lambda: not world.members_seen("east-1")[context.frozen],
        "it is considered dead",
        timeout_s=6,
    )


def _owns(dump: dict[str, Any], zone: str) -> bool:
    return any(key.endswith(zone) for key in dump["slots"]["services"])


@when("the frozen entry process is resumed")
def resume_owner(context: Any) -> None:
    context.world.cluster.signal(context.frozen, signal.SIGCONT)
    wait_for(context.world.views_agree, "every entry process sees all others alive", timeout_s=5)


@then("the jobs that ran are answered, and no task has started twice")
def check_jobs(context: Any) -> None:
    for job in context.ran:
        answer = context.world.resubmit_until_final(job, "east-1")
        # The frozen process may have lost its own jobs; all others must be complete.
        is_frozen = job.id.startswith(f"{context.frozen}~")
        assert answer["code"] == 1000 or (is_frozen and answer["ran"] == "maybe"), answer
        assert max(context.world.starts(job).values()) == 1, job.id
