"""Modules whose code is executed only when something of them is used."""

import sys
from importlib.util import find_spec, module_from_spec
from typing import Any


def defer(name: str) -> None:
    """Have a module executed at the first use of one of its attributes.

    Libraries import modules that only some of their users need; executing those takes
    a starting process time in which its callers are turned away. The loader of the
    standard library does not help, since a second import already counts as a use.

    Args:
        name: Name of the module; one that is loaded already stays as it is.

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
