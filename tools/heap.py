"""Memory that an object keeps allocated."""

import gc
import tracemalloc
from collections.abc import Callable


def heap_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that an object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size)
