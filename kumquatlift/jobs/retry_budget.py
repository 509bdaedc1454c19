"""Limit on retries: they may only be a share of recent successes."""

BURST = 10.0
"""Retries that are allowed before any success, so that a new process can retry at all."""


class RetryBudget:
    """Token bucket filled by successes.

    Args:
        share: Tokens that one success adds; 0 allows no retry at all.
        burst: Capacity of the bucket, in tokens.
    """

    def __init__(self, *, share: float, burst: float = BURST) -> None:
        self._share = share
        self._burst = burst if share > 0 else 0.0
        self._tokens = self._burst

    @property
    def tokens(self) -> float:
        """Number of retries that are currently allowed."""
        return self._tokens

    def succeeded(self, count: int = 1) -> None:
        """Add tokens for successful requests."""
        self._tokens = min(self._burst, self._tokens + count * self._share)

    def take(self) -> bool:
        """Take a token for one retry.

        Returns:
            Whether the retry is allowed.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
