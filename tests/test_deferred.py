"""Modules that are executed at their first use."""

import sys
import tempfile
import unittest
from pathlib import Path

from bergamotsaddle_daemon._deferred import defer

NAME = "deferred_for_test"


class DeferTest(unittest.TestCase):
    """A module in a folder of its own."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(sys.modules.pop, NAME, None)
        self.addCleanup(sys.path.remove, folder.name)
        sys.path.insert(0, folder.name)
        Path(folder.name, f"{NAME}.py").write_text("import sys\nvalue = 3\n")

    def test_imports_execute_nothing_and_a_use_does(self):
        defer(NAME)
        __import__(NAME)
        module = sys.modules[NAME]
        self.assertNotIn("value", vars(module))
        self.assertEqual(module.value, 3)
        with self.assertRaises(AttributeError):
            _ = module.other

    def test_a_loaded_module_stays(self):
        loaded = __import__(NAME)
        defer(NAME)
        self.assertIs(sys.modules[NAME], loaded)

    def test_a_missing_module_is_told(self):
        with self.assertRaises(ModuleNotFoundError):
            defer("no_such_module_for_test")
