"""The platform's names stay in its adapter."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Headers, calls, keys and fields that only the platform uses, and none of the everyday
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
    """Sources outside the adapter."""

    def test_only_the_adapter_knows_them(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted((ROOT / "packages").rglob("*.py"))
            for match in NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_does(self):
        adapter = ROOT / "platform" / "adapter" / "bergamotsaddle_platform"
        texts = [path.read_text() for path in adapter.glob("*.py")]
        self.assertTrue(any(NAMES.search(text) for text in texts))
