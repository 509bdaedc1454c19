"""A dispatcher for sub-second tasks with its own durable state."""

from kumquatlift.clock import suspended_clock

__version__ = "0.1.0"
# Start of this process on ``suspended_clock``, read before the imports of a program, which take
# about 0.3 s.
STARTED_AT = suspended_clock()
