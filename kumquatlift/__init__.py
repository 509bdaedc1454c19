"""A dispatcher for sub-second tasks with its own durable state."""

from kumquatlift.clock import seconds_since_boot

__version__ = "0.1.0"
# Reading of ``seconds_since_boot`` at the start of this process. It is taken here because the
# imports of a program, which come next, take about 0.3 s.
STARTED_AT = seconds_since_boot()
