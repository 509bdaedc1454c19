"""Shows operators which queues slow each other down: state dump, metrics and log."""

from kumquatlift.authority._interference import Interference, Pair
from kumquatlift.blackboard import Section
from kumquatlift.log import get_logger

# Interval at which pairs are judged anew and published.
UPDATE_S = 1.0
# Interval of the log line with the measured ratios, and pairs in it and in the state dump.
LOG_S = 15.0
MAX_SHOWN = 20


class InterferenceReport:
    """Has the pairs of one leader judged regularly, and publishes them.

    Args:
        section: Section of the blackboard.
    """

    def __init__(self, *, section: Section) -> None:
        self._section = section
        self.interference = Interference(on_apart=_log_apart)
        self._updated_at = 0.0
        self._logged_at = 0.0
        section.put("interference", [])

    def close(self) -> None:
        """Withdraw what was published; the next leader learns anew."""
        self._section.put("interference", [])

    def tick(self, now: float) -> None:
        """Judge and publish the pairs if that is due."""
        if now - self._updated_at < UPDATE_S:
            return
        self._updated_at = now
        self.interference.update(now)
        pairs = self.interference.pairs()[:MAX_SHOWN]
        apart = self.interference.apart
        rows = [pair.to_plain(now, is_apart=pair.key in apart) for pair in pairs]
        self._section.put("interference", rows)
        if rows and now - self._logged_at >= LOG_S:
            self._logged_at = now
            texts = [
                f"{row['queue']} beside {row['beside']}: {row['ratio']} "
                f"({row['low']}-{row['high']}, {row['runs']} runs)"
                for row in rows
            ]
            get_logger().info("interference_measured", pairs="; ".join(texts))


def _log_apart(pair: Pair, is_apart: bool) -> None:
    get_logger().info(
        "queues_kept_apart" if is_apart else "queues_together_again",
        queue=pair.kind,
        beside=pair.beside,
        ratio=round(pair.ratio, 3),
        error=round(pair.error, 3),
        runs=round(pair.runs),
    )
