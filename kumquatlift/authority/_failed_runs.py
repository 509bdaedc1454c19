"""Decides whether a failed run is the fault of its upstream or of its job."""

from kumquatlift.authority._commands import TaskKey
from kumquatlift.authority._fleet import Upstream


class FailedRuns:
    """The failed runs of one job, each of which may be the fault of its upstream.

    Load pattern: jobs that can never be done are tried on several upstreams. Were each of these
    charged, a few such jobs would take all upstreams out of use. A failure on an upstream that has
    lately done its runs is therefore charged only once the task is done elsewhere. Until then new
    tasks prefer other upstreams, which costs no capacity.
    """

    def __init__(self) -> None:
        self._undecided: dict[TaskKey, list[Upstream]] = {}
        self._upstreams: set[str] = set()

    def add(self, task: TaskKey, upstream: Upstream) -> bool:
        """Record a failed run; charge its upstream at once if that is not sound.

        Returns:
            Whether the upstream was charged.
        """
        is_charged = False
        if upstream.upstream_id not in self._upstreams:
            # Further tasks of the job that fail there tell no more than the first one.
            self._upstreams.add(upstream.upstream_id)
            is_charged = not upstream.is_sound
            upstream.record_outcome(is_done=False)
        if is_charged:
            upstream.charged_failures += 1
        else:
            self._undecided.setdefault(task, []).append(upstream)
        return is_charged

    def on_done(self, task: TaskKey) -> list[Upstream]:
        """Record that a task was done, and charge the upstreams on which it has failed.

        Returns:
            The upstreams that are charged now.
        """
        charged = self._undecided.pop(task, [])
        for upstream in charged:
            upstream.charged_failures += 1
        return charged
