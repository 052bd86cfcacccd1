"""Defers the execution of modules until one of their attributes is used."""

import sys
from importlib.util import find_spec, module_from_spec
from typing import Any


def defer(name: str) -> None:
    """Defer the execution of a module until the first use of one of its attributes.

    Libraries import modules that only some of their users need. Executing these would
    delay the start of a process, which rejects callers until it is ready. The lazy
    loader of the standard library does not help, since a second import already counts
    as a use.

    Args:
        name: Name of the module; a loaded module stays unchanged.

    Raises:
        ModuleNotFoundError: If there is no such module.
    """
    if name in sys.modules:
        return
    spec = find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    module = module_from_spec(spec)

    def load(attribute: str) -> Any:
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        del module.__getattr__
        spec.loader.exec_module(module)
        return getattr(module, attribute)

    module.__getattr__ = load
    sys.modules[name] = module
