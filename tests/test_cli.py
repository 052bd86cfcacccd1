"""The output and exit statuses of the operators' commands."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from cleo.testers.application_tester import ApplicationTester
from nose2.tools import params

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_cli.pages import DaemonUnreachableError, Page, Pages
from bergamotsaddle_contracts.errors import InvalidFileError
from bergamotsaddle_daemon.calls import Reply
from bergamotsaddle_daemon.settings import parse_settings
from tests._fakes import FakeFleet, run_green
from tests._http import send_request
from tests._paused import advance
from tests.test_declaration import VALID

EXAMPLES = Path(__file__).parent.parent / "examples"


def run(line: str) -> tuple[int, str, str]:
    """Run a command line and return its exit status, output and error output."""
    application = make_application()
    application.auto_exits(False)
    tester = ApplicationTester(application)
    status = tester.execute(line)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


class FilesTest(unittest.TestCase):
    """Commands that read declaration files."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    @params("trentwater", "pourwise")
    def test_examples_are_valid(self, name):
        status, output, _ = run(f"check {EXAMPLES / name / 'declaration.ini'}")
        self.assertEqual(status, 0, output)
        text = (EXAMPLES / name / "daemon.ini").read_text()
        self.assertTrue(parse_settings(text).daemon.id)

    def test_check_reports_every_fault(self):
        text = VALID.replace("state = out", "state = off").replace("1500ms", "x")
        path = self.write("bad.ini", text)
        status, _, errors = run(f"check {path}")
        self.assertEqual(status, 2)
        self.assertIn(f"{path}: [zone b] state = off: expected one of in, out", errors)
        self.assertIn(f"{path}: [pipeline plan] deadline = x", errors)
        _, output, _ = run(f"check {path} --json")
        self.assertEqual(len(msgspec.json.decode(output)["faults"]), 2)

    def test_check_of_a_missing_file(self):
        status, _, errors = run("check /nowhere/at/all.ini")
        self.assertEqual(status, 2)
        self.assertIn("/nowhere/at/all.ini", errors)

    @params(
        ("revision = 3", "revision = 4", 1, "revision"),
        ("state = out", "state = in", 2, "never come into force"),
        ("name = small", "name = small", 0, ""),
    )
    def test_diff(self, old, new, status, expected):
        one = self.write("one.ini", VALID)
        changed = VALID.replace(old, new)
        if status == 1:
            changed = changed.replace("state = out", "state = in")
            expected = "state: out -> in"
        two = self.write("two.ini", changed)
        if status == 2:
            two = self.write("two.ini", changed.replace("revision = 3", "revision = 2"))
        result = run(f"diff {one} {two}")
        self.assertEqual(result[0], status)
        self.assertIn(expected, result[1] + result[2])


class SettingsTest(unittest.TestCase):
    """Faults and policies in a daemon's settings."""

    TEXT = (EXAMPLES / "trentwater" / "daemon.ini").read_text()

    @params(
        ("zone = mid-a", "zon = mid-a", ("daemon", "zone")),
        (
            "peer_key = replace-this-by-a-secret-of-yours",
            "peer_key = x",
            ("daemon", "peer_key"),
        ),
        ("[platform]", "[timing]\nheartbeat = 5\n[platform]", ("timing", "heartbeat")),
        (
            "[platform]",
            "[policies]\nrouting = best\n[platform]",
            ("policies", "routing"),
        ),
        ("[platform]", "[limits]\nqueue = 0\n[platform]", ("limits", "queue")),
        ("[platform]", "[other]\n[platform]", ("other", "")),
        ("10.20.255.1:80", "config.example:80", ("platform", "config_address")),
    )
    def test_faults(self, old, new, place):
        with self.assertRaises(InvalidFileError) as caught:
            parse_settings(self.TEXT.replace(old, new), name="daemon.ini")
        places = [(fault.section, fault.key) for fault in caught.exception.faults]
        self.assertIn(place, places)

    @params(("routing", "round_robin"), ("limit", "declared"), ("admission", "none"))
    def test_policies(self, name, value):
        text = f"{self.TEXT}[policies]\n{name} = {value}\n"
        self.assertEqual(getattr(parse_settings(text).policies, name), value)


class StateTest(unittest.TestCase):
    """Commands that query daemons; their pages are read within the process."""

    def setUp(self):
        self.fleet = FakeFleet(("encode", "stock"))
        self.addCleanup(self.fleet.close)
        self.fleet.publish(1, "[pipeline plan]\nstages = encode\n")
        self.fleet.start()
        reader = mock.patch.object(Pages, "read", self.read)
        reader.start()
        self.addCleanup(reader.stop)

    def read(self, address: str, path: str) -> Page:
        name = {"127.0.0.1:1": "a1", "127.0.0.1:2": "b1"}.get(address)
        if name is None:
            raise DaemonUnreachableError(f"{address}: refused")
        started = []
        environ = {"PATH_INFO": f"/{path}"}
        app = self.fleet.daemons[name].operators
        body = b"".join(app(environ, lambda *args: started.extend(args)))
        if started[0].startswith("404"):
            return Page(address, None)
        return Page(address, msgspec.json.decode(body))

    @params("status", "zones", "targets", "teams", "costs")
    def test_tables(self, page):
        status, output, _ = run(f"{page} --at 127.0.0.1:1 --at 127.0.0.1:2")
        self.assertEqual(status, 0)
        self.assertTrue(output.strip())
        status, output, _ = run(f"{page} --at 127.0.0.1:1 --json")
        self.assertIn("127.0.0.1:1", msgspec.json.decode(output))

    @params(("status", 2), ("status --at nowhere", 2), ("status --at 127.0.0.1:9", 3))
    def test_addresses(self, line, expected):
        self.assertEqual(run(line)[0], expected)

    def test_status_shows_the_fault_of_a_refused_declaration(self):
        bad = self.fleet.declaration(2, "[team x]\nkey_digests = y")
        self.fleet.config.payload = bad.encode()
        advance(2.0)
        _, output, _ = run("status --at 127.0.0.1:1")
        self.assertIn("refused declaration: service: [team x] key_digests = y", output)

    def test_explain(self):
        daemon = self.fleet.daemons["a1"]
        for target in self.fleet.targets.values():
            target.handle = lambda call: Reply(200, b'{"output": 1}')
        result = run_green(
            lambda: send_request(daemon, "/v1/pipelines/plan", {"input": "x"})
        )
        request = result.value.json["request"]
        status, output, _ = run(f"explain {request} --at 127.0.0.1:1")
        self.assertEqual(status, 0)
        self.assertIn("least loaded of", output)
        self.assertEqual(run("explain nothing --at 127.0.0.1:1")[0], 1)

    def test_wait(self):
        self.assertEqual(run("wait 1 --at 127.0.0.1:1 --at 127.0.0.1:2")[0], 0)
        status, output, errors = run("wait 7 --limit 0s --at 127.0.0.1:1")
        self.assertEqual(status, 1)
        self.assertIn("a1 (has 1)", output)
        self.assertEqual(run("wait x --at 127.0.0.1:1")[0], 2)


class LogExplainTest(unittest.TestCase):
    """The explanation of a request from the logs of several daemons."""

    LINES = (
        '{"instance":"b1","event":"stage_call","requests":["r1","r2"],'
        '"timestamp":"2026-01-01T00:00:02Z","pieces":2,"unmade":'
        + msgspec.json.encode(["gone"] * 66 + ["late"]).decode()
        + "}\n",
        '  1.5 a1 {"instance":"a1","event":"admit","request":"r1","expected":0.5,'
        '"timestamp":"2026-01-01T00:00:01Z"}\n',
        "Traceback that names r1 {\n",
        '{"instance":"a1","event":"request","request":"r9",'
        '"timestamp":"2026-01-01T00:00:03Z"}\n',
    )

    def explain(self, *arguments):
        """Run the explain command on a log file."""
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.writelines(self.LINES)
            file.flush()
            return run(" ".join(["explain", *arguments, f"--log {file.name}"]))

    def test_lines_are_merged_in_order_of_time(self):
        status, output, _ = self.explain("r1")
        self.assertEqual(status, 0)
        self.assertLess(output.index("admit"), output.index("stage_call"))
        self.assertIn("expected=0.5", output)
        self.assertIn("unmade=[gone x66, late]", output)
        self.assertLessEqual(max(map(len, output.splitlines())), 100)
        self.assertIn("not ended", output.splitlines()[-1])

    def test_json(self):
        _, output, _ = self.explain("r1", "--json")
        self.assertEqual(
            [line["instance"] for line in msgspec.json.decode(output)], ["a1", "b1"]
        )

    def test_unknown_request_and_missing_file(self):
        self.assertEqual(self.explain("nothing")[0], 1)
        self.assertEqual(run("explain r1 --log /nonexistent/file")[0], 2)
