"""Measures the memory of an object."""

import gc
import tracemalloc
from collections.abc import Callable


def heap_bytes(build: Callable[[], object]) -> float:
    """Return the allocated bytes of the object that a function builds, with all it refers to."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size)
