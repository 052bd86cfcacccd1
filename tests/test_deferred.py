"""Modules that are executed at the first access to an attribute."""

import sys
import tempfile
import unittest
from pathlib import Path

from bergamotsaddle_daemon._deferred import defer

NAME = "deferred_for_test"


class DeferTest(unittest.TestCase):
    """A module in a temporary directory."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.addCleanup(sys.modules.pop, NAME, None)
        self.addCleanup(sys.path.remove, directory.name)
        sys.path.insert(0, directory.name)
        Path(directory.name, f"{NAME}.py").write_text("import sys\nvalue = 3\n")

    def test_an_import_executes_nothing_and_an_access_does(self):
        defer(NAME)
        __import__(NAME)
        module = sys.modules[NAME]
        self.assertNotIn("value", vars(module))
        self.assertEqual(module.value, 3)
        with self.assertRaises(AttributeError):
            _ = module.other

    def test_a_loaded_module_is_kept(self):
        loaded = __import__(NAME)
        defer(NAME)
        self.assertIs(sys.modules[NAME], loaded)

    def test_a_missing_module_raises(self):
        with self.assertRaises(ModuleNotFoundError):
            defer("no_such_module_for_test")
