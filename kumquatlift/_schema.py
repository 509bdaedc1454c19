"""Loads Cap'n Proto schema files of the package when they are first needed."""

import threading
from pathlib import Path
from typing import Any

_FOLDER = Path(__file__).parent
_lock = threading.Lock()
_loaded: dict[str, Any] = {}


def load_schema(name: str) -> Any:
    """Return the module of ``<name>.capnp``; pycapnp is imported by the first call.

    Args:
        name: Path in the package, such as ``jobs/ledger``.
    """
    module = _loaded.get(name)
    if module is not None:
        return module
    # The schema parser of pycapnp is one global object and refuses to load a file twice.
    with _lock:
        if name not in _loaded:
            import capnp

            capnp.remove_import_hook()
            _loaded[name] = capnp.load(str(_FOLDER / f"{name}.capnp"))
        return _loaded[name]
