"""A dispatcher for sub-second tasks with its own durable state."""

from kumquatlift.clock import seconds_since_boot

__version__ = "0.1.0"
# Start of this process on ``seconds_since_boot``, read before the imports of a program, which take
# about 0.3 s.
STARTED_AT = seconds_since_boot()
