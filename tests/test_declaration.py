"""Declarations: their valid contents, and how faults are reported."""

import unittest

from nose2.tools import params

from bergamotsaddle_contracts.declaration import digest_key, digest_text
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.diff import diff_declarations
from bergamotsaddle_contracts.errors import InvalidFileError

VALID = f"""
[declaration]
name = small
revision = 3
[zone a]
[zone b]
state = out
[team crews]
key_digests = {digest_key("crew key")}
[target e1]
address = 127.0.0.1:9000
zone = a
kind = encode
[target o1]
address = 127.0.0.1:9001
zone = b
kind = orders
repeatable = no
[pipeline plan]
stages = encode
deadline = 1500ms
"""


def faults_of(text: str) -> list[tuple[str, str]]:
    """Return the section and key of each fault."""
    try:
        parse_declaration(text, name="file.ini")
    except InvalidFileError as error:
        return [(fault.section, fault.key) for fault in error.faults]
    return []


class DeclarationTest(unittest.TestCase):
    """Valid and invalid declarations."""

    def test_valid(self):
        declaration = parse_declaration(VALID)
        self.assertEqual(declaration.revision, 3)
        self.assertEqual(declaration.zones["b"].state, "out")
        self.assertEqual(declaration.pipelines["plan"].deadline, 1.5)
        self.assertFalse(declaration.is_repeatable("orders"))
        self.assertEqual(declaration.digest, digest_text(VALID))

    @params(
        ("[zone a]", "gibberish\n[zone a]", ("", "line 5")),
        ("revision = 3", "revision = x", ("declaration", "revision")),
        ("state = out", "state = off", ("zone b", "state")),
        ("127.0.0.1:9000", "host:9000", ("target e1", "address")),
        ("127.0.0.1:9000", "127.0.0.1:99999", ("target e1", "address")),
        ("zone = a", "zone = c", ("target e1", "zone")),
        ("kind = encode", "kindd = encode", ("target e1", "kind")),
        ("deadline = 1500ms", "deadline = 1500", ("pipeline plan", "deadline")),
        ("stages = encode", "stages = orders", ("pipeline plan", "stages")),
        ("stages = encode", "stages = rerank", ("pipeline plan", "stages")),
        ("[zone b]", "[zones b]", ("zones b", "")),
        ("[zone b]", "[zone a]", ("zone a", "")),
        (digest_key("crew key"), "abc", ("team crews", "key_digests")),
        (
            "kind = encode",
            "cold_limit = 99\nkind = encode",
            ("target e1", "cold_limit"),
        ),
        ("kind = encode", "fencing = maybe\nkind = encode", ("target e1", "fencing")),
    )
    def test_faults_name_section_and_key(self, old, new, place):
        self.assertIn(old, VALID)
        self.assertIn(place, faults_of(VALID.replace(old, new)))

    def test_every_fault_is_reported_at_once(self):
        text = VALID.replace("state = out", "state = off")
        text = text.replace("deadline = 1500ms", "deadline = soon")
        text = text.replace("repeatable = no", "repeatable = never")
        places = faults_of(text)
        self.assertEqual(len(places), 3)

    def test_not_an_ini_file(self):
        self.assertTrue(faults_of("nothing of the kind"))

    def test_diff_names_what_changes(self):
        old = parse_declaration(VALID)
        text = VALID.replace("state = out", "state = in").replace(
            "[pipeline plan]", "[pipeline plan2]"
        )
        changes = {
            change[:2]: change.what
            for change in diff_declarations(old, parse_declaration(text))
        }
        self.assertEqual(
            changes,
            {
                ("zone", "b"): "state: out -> in",
                ("pipeline", "plan"): "removed",
                ("pipeline", "plan2"): "added",
            },
        )


class ChangeTest(unittest.TestCase):
    """Parsing with a previous declaration gives the same as parsing without one."""

    @params(
        ("revision = 3", "revision = 4"),
        ("state = out", "state = in"),
        ("deadline = 1500ms", "deadline = 2s"),
        ("[target o1]", "[target o2]"),
        ("[zone b]\nstate = out", "[zone b]\n; a comment\nstate = out"),
        ("[pipeline plan]", "[model m]\n[pipeline plan]"),
        ("stages = encode", "stages = encode\n  , encode"),
    )
    def test_same_as_without_previous(self, old, new):
        before = parse_declaration(VALID)
        text = VALID.replace(old, new)
        try:
            expected = parse_declaration(text)
        except InvalidFileError as error:
            with self.assertRaises(InvalidFileError) as caught:
                parse_declaration(text, previous=before)
            self.assertEqual(caught.exception.faults, error.faults)
            return
        self.assertEqual(parse_declaration(text, previous=before), expected)

    def test_fault_in_an_unchanged_section(self):
        # A zone is removed, and the unchanged section of a target still names it.
        before = parse_declaration(VALID)
        text = VALID.replace("[zone a]\n", "")
        with self.assertRaises(InvalidFileError) as caught:
            parse_declaration(text, previous=before)
        self.assertEqual(caught.exception.faults[0].section, "target e1")
