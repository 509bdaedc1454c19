"""Loads the Cap'n Proto schema files of the package on first use."""

import threading
from pathlib import Path
from typing import Any

_FOLDER = Path(__file__).parent
_lock = threading.Lock()
_loaded: dict[str, Any] = {}


def load_schema(name: str) -> Any:
    """Return the module of ``<name>.capnp``; the first call imports pycapnp.

    Args:
        name: Path of the file in the package without its suffix, such as ``jobs/ledger``.
    """
    module = _loaded.get(name)
    if module is not None:
        return module
    # pycapnp has one global schema parser, which raises an error when a file is loaded twice.
    with _lock:
        if name not in _loaded:
            import capnp

            capnp.remove_import_hook()
            _loaded[name] = capnp.load(str(_FOLDER / f"{name}.capnp"))
        return _loaded[name]
