"""Tests of load runs: seeded plans and the report."""

from kumquatlift.bench.ideal import RunnerCapacity
from kumquatlift.bench.load import JobOutcome, PlannedJob, Workload, make_report
from kumquatlift.client import Submission
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

WORKLOAD = Workload(("k", "l"), 200, 20.0, (1, 60), (50, 1000), seed=7)


class TestWorkload:
    """Guards against load runs that are not reproducible."""

    def test_equal_seeds_give_equal_plans(self) -> None:
        assert WORKLOAD.plan() == WORKLOAD.plan()
        assert WORKLOAD.plan() != WORKLOAD._replace(seed=8).plan()

    def test_plan_keeps_rate_and_sizes(self) -> None:
        plan = WORKLOAD.plan()
        assert 7 < plan[-1].at_s < 14
        assert {len(job.run_ms) for job in plan} <= set(range(1, 61))
        assert all(50 <= run_ms <= 4000 for job in plan for run_ms in job.run_ms)


class TestLoadReport:
    """Guards against a report that leaves out lost answers or wrong results."""

    def test_counts_answers_ratios_and_wrong_results(self) -> None:
        job = PlannedJob(0.0, "k", (1000,))
        right = {"code": 1000, "results": [{"id": "t0", "result": {"echo": {"run_ms": 1000}}}]}
        wrong = {"code": 1000, "results": [{"id": "t0", "result": {"echo": {"run_ms": 5}}}]}
        lost = Failure(ResultCode.TIMED_OUT, "given up")
        outcomes = [
            JobOutcome(job, Submission(right, 1, 0), 1.0),
            JobOutcome(job, Submission(wrong, 3, 1), 2.0),
            JobOutcome(job, Submission(lost, 2, 2), 9.0),
        ]
        totals = {"requests": 5, "completed": 2, "doubled": 1, "repeated": 3, "unread": 1}
        report = make_report(outcomes, [RunnerCapacity(2.0, 8)], totals)
        assert report.answers == {"1000 complete": 2, "5003 timed-out": 1}
        assert (report.complete, report.unanswered, report.wrong_results) == (2, 1, 1)
        assert (report.resubmissions, report.lost_answers) == (3, 3)
        assert report.ideal_ratio == {"median": 2.0, "p99": 4.0, "worst": 4.0}
        assert (report.messages_per_task, report.doubled_starts) == (2.5, 1)
        assert not report.is_sound
