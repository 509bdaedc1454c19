"""A dispatcher for sub-second tasks with its own durable state."""

__version__ = "0.1.0"
