"""Steps that stop, kill and start processes, and check the statistics of runners."""

import signal
import time
from typing import Any

from behave import then, when

from features.world import ANSWER_TIMEOUT_S, RUNNERS
from kumquatlift.upstreams.start_record import LEAVING_GRACE_S
from tools.cluster import wait_for


@when('runner {runner} is killed while it runs a task of the "{kind}" job')
def kill_busy_runner(context: Any, runner: str, kind: str) -> None:
    world, job = context.world, context.by_kind[kind]
    wait_for(lambda: world.has_started(job, runner), f"{runner} runs the job", timeout_s=5)
    world.cluster.kill(runner)


@when("the runner of the job is asked to leave")
def terminate_runner_of_job(context: Any) -> None:
    world = context.world
    context.leaving = next(name for name in RUNNERS if world.has_started(context.job, name))
    world.cluster.signal(context.leaving, signal.SIGTERM)
    wait_for(
        lambda: world.reading(context.leaving)["leaving_at_s"] is not None,
        f"{context.leaving} is leaving",
        timeout_s=5,
    )


@when("all runners in zone {zone} are killed")
def kill_runners_of_zone(context: Any, zone: str) -> None:
    for name in (name for name, runner_zone in RUNNERS.items() if runner_zone == zone):
        context.world.cluster.kill(name)


@when(
    "small jobs are submitted through every entry process "
    "until {seconds:d} s after the grace period"
)
def submit_small_jobs(context: Any, seconds: int) -> None:
    until = time.monotonic() + LEAVING_GRACE_S + seconds
    while time.monotonic() < until:
        for entry in context.world.cluster.entries:
            submission = context.world.submit_until_answered(entry)
            assert submission.code == 1000, submission


@when("{entry} is asked to shut down")
def terminate_entry(context: Any, entry: str) -> None:
    context.world.cluster.signal(entry, signal.SIGTERM)


@when("all entry processes are killed and started again")
def restart_all(context: Any) -> None:
    cluster = context.world.cluster
    for name in cluster.entries:
        cluster.kill(name)
    cluster.start_entries()
    cluster.wait_until_started()


@when("{entry} is killed")
def kill_entry(context: Any, entry: str) -> None:
    context.world.cluster.kill(entry)


@when("{entry} is frozen")
def freeze_entry(context: Any, entry: str) -> None:
    context.world.cluster.signal(entry, signal.SIGSTOP)


@when("{entry} is resumed")
def resume_entry(context: Any, entry: str) -> None:
    context.world.cluster.signal(entry, signal.SIGCONT)


@then("{entry} ends with exit code {code:d}")
def check_exit(context: Any, entry: str, code: int) -> None:
    cluster = context.world.cluster
    wait_for(
        lambda: not cluster.is_running(entry), f"{entry} has exited", timeout_s=ANSWER_TIMEOUT_S
    )
    assert cluster.exit_code(entry) == code, cluster.exit_code(entry)


@then("the leaving runner has received no request after the grace period")
def check_no_request_after_grace(context: Any) -> None:
    reading = context.world.reading(context.leaving)
    assert reading["busy"], "the runner has no task any more, so the check would be vacuous"
    assert reading["requests_after_leaving"] == 0, reading


@then("no runner has used more slots or connections than it has")
def check_limits(context: Any) -> None:
    readings = [context.world.reading(name) for name in context.world.cluster.runners]
    assert any(reading["peak_slots"] > 0 for reading in readings), "no slot use was recorded"
    assert all(reading["peak_slots"] <= 2 for reading in readings), readings
    assert all(reading["peak_connections"] <= 16 for reading in readings), readings


@then('the "{kind}" job is complete, and no task has more starts than attempts')
def check_repeatable_job(context: Any, kind: str) -> None:
    job = context.by_kind[kind]
    answer = job.answer.result(ANSWER_TIMEOUT_S)
    assert answer["code"] == 1000, answer
    attempts = {row["id"]: row["attempts"] for row in answer["results"]}
    starts = context.world.starts(job)
    # Starts of the killed runner after its last reading are missing from the counts.
    assert all(0 < starts[task] <= attempts[task] for task in attempts), (starts, attempts)
    assert max(attempts.values()) > 1, "the killed runner ran no task of the job"


@then('the "{kind}" job is complete or its answer says that tasks may have run')
def check_at_most_once_job(context: Any, kind: str) -> None:
    answer = context.by_kind[kind].answer.result(ANSWER_TIMEOUT_S)
    assert answer["code"] == 1000 or answer["ran"] in ("maybe", "yes"), answer
