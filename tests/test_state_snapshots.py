"""Property test: jobs give the same answers after a snapshot of the replicated state."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.authority import EndReason, JobSpec, ServingConfig, Step
from kumquatlift.authority._commands import Command, CommandKind
from kumquatlift.authority._state import State

JOBS = ("a" * 16, "b" * 16)
STEPS = st.builds(
    Step,
    tasks=st.integers(1, 3),
    is_gang=st.booleans(),
    runs_until_cancelled=st.sampled_from([False, False, False, True]),
)
SPECS = st.builds(
    JobSpec,
    payload=st.sampled_from(["", "text", "\u00e9\ud800\x00"]),
    steps=st.lists(STEPS, min_size=1, max_size=2).map(tuple),
    occurrences=st.integers(0, 2),
)
END = st.tuples(
    st.sampled_from(JOBS),
    st.integers(0, 1),
    st.integers(0, 1),
    st.integers(0, 2),
    st.integers(1, 6),
    st.sampled_from([EndReason.DONE, EndReason.DONE, *EndReason]),
    st.sampled_from(["", "saved"]),
)
COMMANDS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(JOBS), SPECS, st.integers(1, 2)),
    st.tuples(st.just("ends"), st.lists(END, min_size=1, max_size=6)),
    st.tuples(st.just("cancel"), st.sampled_from((*JOBS, "c" * 16))),
    st.tuples(st.just("snapshot")),
)
ANY = "."  # The message may be that of the JSON parser.
FINAL = ("completed", "failed", "cancelled")


def new_state() -> State:
    """Return an empty state."""
    return State(read_config=lambda _source: ServingConfig(), wall_clock=lambda: 1.0)


def command_of(step: tuple[object, ...], at_ms: int) -> Command | None:
    """Return the command that a leader proposes for a step of the test, if any."""
    match step:
        case ("submit", job, JobSpec() as spec, attempts):
            fields = {"job": job, "queue": "q", "spec": spec.to_plain(), "at_ms": at_ms}
            return Command(CommandKind.JOB, {**fields, "max_attempts": attempts, "zone": "z"})
        case ("ends", list(rows)):
            return Command(CommandKind.ENDS, {"at_ms": at_ms, "ends": rows})
        case ("cancel", job):
            return Command(CommandKind.CANCEL, {"job": job, "at_ms": at_ms})
    return None


def view(state: State) -> dict[str, object]:
    """Return everything that answers and decisions about jobs depend on."""
    return {
        job.job_id: (
            (job.state, job.is_open, job.is_started, job.ended_at_ms, job.done_of_step),
            (job.done, job.ended_run, job.failures, job.checkpoint, job.spec, job.is_logged),
            (job.queue, job.term, job.accepted_at_ms, job.max_attempts, job.zone),
        )
        for job in state.jobs.values()
    }


class TestSnapshots:
    """A replica that starts from a snapshot holds the same jobs as one that applied them all."""

    @given(st.lists(COMMANDS, max_size=25))
    def test_any_history(self, steps: list[tuple[object, ...]]) -> None:
        """Guards against jobs whose state or remaining tasks a snapshot brings back wrongly."""
        applied, restored = new_state(), new_state()
        shown: dict[str, str] = {}
        for index, step in enumerate(steps, 1):
            command = command_of(step, at_ms=index * 10)
            if command is None:
                data = restored.snapshot()
                restored = new_state()
                restored.restore(data)
                assert json.loads(restored.snapshot()) == json.loads(data)
            else:
                for state in (applied, restored):
                    state.apply(index, 1, command.to_bytes())
            assert view(restored) == view(applied)
            for job in applied.jobs.values():
                assert job.state == shown.get(job.job_id, job.state) or (
                    shown[job.job_id] not in FINAL
                )
                shown[job.job_id] = job.state
                is_done = len(job.done) == job.tasks
                assert (job.state == "completed") == (is_done and job.state != "cancelled")


class TestUnreadableState:
    """Guards against a replica that goes on with an empty state after one that can't be read."""

    @pytest.mark.parametrize(
        "data",
        [
            b"{",
            b"\xff",
            b"[]",
            b"null",
            b"{}",
            b'{"config":"","jobs":[[]],"upstreams":[]}',
            b'{"config":"","jobs":[],"upstreams":[[1]]}',
            b'{"config":"","jobs":[],"upstreams":[["u",1,"a","s","z",1,1,1,2,true]]}',
            b'{"config":"","jobs":{"a":1},"upstreams":[]}',
        ],
    )
    def test_the_state_stays_as_it_was(self, data: bytes) -> None:
        state = new_state()
        command = command_of(
            ("submit", JOBS[0], JobSpec(payload="", steps=(Step(tasks=1),)), 1), 10
        )
        assert command is not None
        state.apply(1, 1, command.to_bytes())
        before, routing = state.snapshot(), state.routing
        with pytest.raises(ValueError, match=ANY):
            state.restore(data)
        assert state.snapshot() == before
        assert state.routing is routing

    def test_every_cut_of_a_state_is_refused(self) -> None:
        state = new_state()
        command = command_of(
            ("submit", JOBS[0], JobSpec(payload="", steps=(Step(tasks=1),)), 1), 10
        )
        assert command is not None
        state.apply(1, 1, command.to_bytes())
        data = state.snapshot()
        for size in range(1, len(data)):
            with pytest.raises(ValueError, match=ANY):
                state.restore(data[:size])
        assert state.snapshot() == data
