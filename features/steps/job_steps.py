"""Steps that submit jobs and check their answers."""

from typing import Any

from behave import then, when

from features.world import ANSWER_TIMEOUT_S, Job
from tools.cluster import wait_for


@when('a "{kind}" job of {count:d} tasks of {run_ms:d} ms is submitted through {entry}')
@when('an "{kind}" job of {count:d} tasks of {run_ms:d} ms is submitted through {entry}')
def submit(context: Any, kind: str, count: int, run_ms: int, entry: str) -> None:
    _remember(context, kind, context.world.submit(entry, kind, count, run_ms))


@when(
    'a "{kind}" job of {count:d} tasks of {run_ms:d} ms with a deadline of {seconds:d} s '
    "is submitted through {entry}"
)
def submit_with_deadline(
    context: Any, kind: str, count: int, run_ms: int, seconds: int, entry: str
) -> None:
    job = context.world.submit(entry, kind, count, run_ms, deadline_ms=seconds * 1000)
    _remember(context, kind, job)


def _remember(context: Any, kind: str, job: Job) -> None:
    context.job = job
    context.submissions = [job]
    context.by_kind = {**getattr(context, "by_kind", {}), kind: job}


@when("it is submitted again through {entry}")
def submit_again(context: Any, entry: str) -> None:
    context.submissions.append(context.world.resubmit(context.job, entry))


@when("it has started")
def wait_for_first_start(context: Any) -> None:
    wait_for(lambda: bool(context.world.starts(context.job)), "a task has started", timeout_s=5)


@when("its answer has arrived")
def wait_for_answer(context: Any) -> None:
    context.job.answer.result(ANSWER_TIMEOUT_S)


@when("its id is used for another payload through {entry}")
def submit_other_payload(context: Any, entry: str) -> None:
    fields = {**context.job.fields, "tasks": [{"id": "other", "body": {}}]}
    context.other = context.world.resubmit(Job(fields, context.job.answer), entry)


@then('its answer is {code:d} "{name}" with the result of every task in order')
@then('all its answers are {code:d} "{name}" with the result of every task in order')
def check_answers(context: Any, code: int, name: str) -> None:
    for job in context.submissions:
        answer = job.answer.result(ANSWER_TIMEOUT_S)
        _check_code(answer, code, name)
        expected = [(row["id"], {"echo": row["body"]}) for row in job.fields["tasks"]]
        assert [(row["id"], row["result"]) for row in answer["results"]] == expected


@then('the answer to the other payload is {code:d} "{name}"')
def check_other(context: Any, code: int, name: str) -> None:
    _check_code(context.other.answer.result(ANSWER_TIMEOUT_S), code, name)


@then('a resubmission through {entry} ends with {code:d} "{name}"')
def check_resubmission(context: Any, entry: str, code: int, name: str) -> None:
    _check_code(context.world.resubmit_until_final(context.job, entry), code, name)


@then("a resubmission through {entry} ends with a final answer")
def check_final(context: Any, entry: str) -> None:
    answer = context.world.resubmit_until_final(context.job, entry)
    # The job is complete if its result was replicated before the freeze; else it may have run.
    assert answer["ran"] in ("yes", "maybe"), answer


@then("a small job through {entry} is complete within {seconds:d} s")
def check_small_job(context: Any, entry: str, seconds: int) -> None:
    fut = context.world.in_background(context.world.submit_until_answered, entry)
    submission = fut.result(seconds)
    assert submission.code == 1000, submission


@then("no task has started twice")
def check_starts(context: Any) -> None:
    _check_no_second_start(context, context.job)


@then('no task of the "{kind}" job has started twice')
def check_starts_of_kind(context: Any, kind: str) -> None:
    _check_no_second_start(context, context.by_kind[kind])


def _check_no_second_start(context: Any, job: Job) -> None:
    starts = context.world.starts(job)
    assert starts, "no start was recorded, so the check would be vacuous"
    assert max(starts.values()) == 1, starts


def _check_code(answer: Any, code: int, name: str) -> None:
    assert isinstance(answer, dict), answer
    assert (answer["code"], answer["name"]) == (code, name), answer
