"""Names of the platform's protocol occur only in its adapter."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Headers, calls, keys and fields that are specific to the platform, without the common
# ones of HTTP.
NAMES = re.compile(
    r"x-(?:response-seal|token-usage|prefix-hash|target-instance|not-executed|"
    r"server-load|piece-key|pieces|inputs|tenant|deadline-ms)\b|stage-run|stage-free|"
    r"kv-(?:range|watch|key)|op/config|op/evacuate|trafficSplit|targetLatencyMs|"
    r"targetGapMs|timeoutMs|coldPerS|coldStartS|headroomMb|freeMb|coldRemainingMs|"
    r"kvCapacityTokens|maxConnections|apiKeys|sizeBytes|BERGAMOTSADDLE_BOOT",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    """Occurrences in the sources of packages and adapter."""

    def test_packages_contain_none(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted((ROOT / "packages").rglob("*.py"))
            for match in NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_contains_some(self):
        adapter = ROOT / "platform" / "adapter" / "bergamotsaddle_platform"
        texts = [path.read_text() for path in adapter.glob("*.py")]
        self.assertTrue(any(NAMES.search(text) for text in texts))
