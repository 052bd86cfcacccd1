"""Rules for valid files that can't mean what they say, and effects of changes."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.application_tester import ApplicationTester
from parameterized import parameterized

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_contracts import declaration_rules
from bergamotsaddle_contracts.change_effects import DECLARATION_EFFECTS
from bergamotsaddle_contracts.declaration import DeclaredTarget, digest_key
from bergamotsaddle_contracts.declaration import Team as DeclaredTeam
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.diff import ADDED, REMOVED, diff_declarations
from bergamotsaddle_contracts.findings import Severity
from bergamotsaddle_platform import check
from bergamotsaddle_serving import configuration_rules
from bergamotsaddle_serving.catalog import (
    Batching,
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Service,
    Share,
    Stage,
    Team,
)
from bergamotsaddle_serving.configuration_diff import EFFECTS, diff_configurations

CLEAN = f"""
[declaration]
name = small
revision = 3
[zone a]
[zone b]
[zone c]
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
[target g1]
address = 127.0.0.1:9002
zone = c
kind = generate
models = m
[model m]
[pipeline plan]
stages = encode, generate
model = m
"""
# What is found, its section and key, and how the clean declaration is changed.
DECLARATIONS = [
    ("stage_out_of_service", "pipeline plan", "stages", "[zone a]", "state = out"),
    ("service_out_of_service", "target o1", "zone", "[zone b]", "state = out"),
    (
        "empty_pipeline",
        "pipeline none",
        "stages",
        "[zone b]",
        "[pipeline none]\nstages=",
    ),
    ("unused_model", "target g1", "models", "kind = generate", "holds = 2", "= m, n"),
    ("copies_over_targets", "model m", "copies", "[model m]", "copies = 2"),
    ("holds_over_models", "target g1", "holds", "kind = generate", "holds = 2"),
    ("shared_address", "target o1", "address", "[zone b]", "", "9001=9000"),
]

BATCHING = Batching(
    slots=1,
    size=4,
    call_seconds=0.15,
    piece_seconds=0.05,
    memory_bytes=1e6,
    ttl_seconds=4.0,
)
ROUTE = Route(
    "chat",
    "h",
    "/chat/",
    Kind.STREAM,
    8.0,
    2.0,
    2,
    1,
    (Share("engine", 1.0), Share("new", 3.0)),
    (Stage("encode", (), 8_000), Stage("encode", (0,), 8_000)),
    is_resumable=True,
)
SERVICES = (
    Service("engine", 8, engine_slots=8),
    Service("new", 8, engine_slots=8),
    Service("encode", 8, batching=BATCHING),
)
TEAMS = ((Team("crews", 1), ("key",)),)
LIMITS = CallerLimits()


def make_configuration(
    route=ROUTE, *, routes=(), services=SERVICES, teams=TEAMS, limits=LIMITS, version=3
):
    """Return a configuration."""
    return Configuration(version, [route, *routes], list(services), list(teams), limits)


def batching(**values):
    """Return the services with other values for pieces."""
    return (*SERVICES[:2], Service("encode", 8, batching=BATCHING._replace(**values)))


def route(**values):
    """Return the only route with other values."""
    return make_configuration(ROUTE._replace(**values))


def shares(*weights):
    """Return the shares of the route with other weights."""
    names = ("engine", "new")
    return tuple(Share(*share) for share in zip(names, weights, strict=True))


CHAT = "route chat"
# What is found, its section and key, and a configuration.
CONFIGURATIONS = [
    (
        "unknown_service",
        CHAT,
        "shares",
        route(shares=(*ROUTE.shares, Share("gone", 1.0))),
    ),
    (
        "unknown_stage_service",
        CHAT,
        "stages",
        route(stages=(*ROUTE.stages, Stage("engine", (), 1))),
    ),
    (
        "unreachable_stage",
        CHAT,
        "stages",
        route(stages=(Stage("encode", (0,), 8_000),)),
    ),
    (
        "result_over_memory",
        CHAT,
        "stages",
        route(stages=(Stage("encode", (), 2_000_000),)),
    ),
    (
        "stages_over_timeout",
        CHAT,
        "timeout",
        route(timeout=0.3, objective=0.3, event_gap=0.2),
    ),
    ("impossible_shares", CHAT, "shares", route(shares=shares(0.0, 0.0))),
    (
        "shadowed_route",
        "route copy",
        "prefix",
        make_configuration(routes=[ROUTE._replace(name="copy")]),
    ),
    (
        "team_without_key",
        "team guests",
        "keys",
        make_configuration(teams=[*TEAMS, (Team("guests"), ())]),
    ),
    (
        "unused_service",
        "service spare",
        "",
        make_configuration(services=[*SERVICES, Service("spare", 8)]),
    ),
    ("objective_over_timeout", CHAT, "objective", route(objective=9.0)),
    ("stages_over_objective", CHAT, "objective", route(objective=0.3)),
    ("pause_over_timeout", CHAT, "event_gap", route(event_gap=9.0)),
    ("useless_attempts", CHAT, "attempts", route(is_resumable=False)),
    ("shares_over_whole", CHAT, "shares", route(shares=shares(0.6, 0.6))),
    (
        "call_over_memory",
        CHAT,
        "stages",
        route(stages=(Stage("encode", (), 300_000),)),
    ),
    (
        "results_expire_early",
        "service encode",
        "ttl_seconds",
        make_configuration(services=batching(ttl_seconds=0.1)),
    ),
    (
        "idle_below_head",
        "limits",
        "idle_seconds",
        make_configuration(limits=LIMITS._replace(idle_seconds=1.0)),
    ),
]


def change(text, old, addition, replacement=""):
    """Return a declaration with a line behind another one and a part replaced."""
    assert old in text
    text = text.replace(old, f"{old}\n{addition}")
    if replacement.startswith("="):
        return text.replace("models = m", f"models {replacement}")
    before, _, after = replacement.partition("=")
    return text.replace(before, after) if before else text


class DeclarationRulesTest(unittest.TestCase):
    """What is found in declarations."""

    def test_a_clean_one(self):
        declaration = parse_declaration(CLEAN)
        self.assertEqual(declaration_rules.RULES.check(declaration), [])

    @parameterized.expand(DECLARATIONS)
    def test_finding(self, rule, section, key, *changed):
        declaration = parse_declaration(change(CLEAN, *changed))
        found = declaration_rules.RULES.check(declaration)
        places = [(f.rule, f.section, f.key) for f in found]
        self.assertEqual(places, [(rule, section, key)])

    def test_each_rule_has_an_entry(self):
        named = {entry[0] for entry in DECLARATIONS}
        self.assertEqual(named, set(declaration_rules.RULES.rule_by_name))


class ConfigurationRulesTest(unittest.TestCase):
    """What is found in configurations."""

    def test_a_clean_one(self):
        found = configuration_rules.RULES.check(make_configuration())
        self.assertEqual(found, [])

    @parameterized.expand(CONFIGURATIONS)
    def test_finding(self, rule, section, key, configuration):
        found = configuration_rules.RULES.check(configuration)
        places = [(f.rule, f.section, f.key) for f in found]
        self.assertEqual(places, [(rule, section, key)])

    def test_each_rule_has_an_entry(self):
        named = {entry[0] for entry in CONFIGURATIONS}
        self.assertEqual(named, set(configuration_rules.RULES.rule_by_name))

    def test_a_deeper_prefix_is_no_shadow(self):
        deeper = ROUTE._replace(name="deeper", prefix="/chat/deep/")
        configuration = make_configuration(routes=[deeper])
        self.assertEqual(configuration_rules.RULES.check(configuration), [])


class EffectsTest(unittest.TestCase):
    """Differences from what is in force, and what they do to requests under way."""

    @parameterized.expand(
        [
            ("[zone a]", "[zone a]\nstate = out", "zone", "running calls end there"),
            ("kind = encode", "kind = encode\nlimit = 4", "target", "by the new limit"),
            ("[zone b]", "[zone b]\n[zone d]", "zone", "none;"),
            (digest_key("crew key"), digest_key("new"), "team", "a key that is left"),
        ]
    )
    def test_declarations(self, old, new, part, effect):
        changed = parse_declaration(CLEAN.replace(old, new))
        changes = diff_declarations(parse_declaration(CLEAN), changed)
        (found,) = DECLARATION_EFFECTS.explain(changes)
        self.assertEqual(found.part, part)
        self.assertIn(effect, found.effect)

    @parameterized.expand(
        [
            ("timeout", route(timeout=9.0), "timeout: 8.0 -> 9.0", "earlier value"),
            (
                "added",
                make_configuration(routes=[ROUTE._replace(name="x")]),
                "added",
                "",
            ),
            ("removed", make_configuration(services=SERVICES[:2]), "removed", "stage"),
            (
                "exchanged_keys",
                make_configuration(teams=[(TEAMS[0][0], ("new",))]),
                "keys: 1 of 1 exchanged",
                "a key that is left",
            ),
            (
                "further_keys",
                make_configuration(teams=[(TEAMS[0][0], ("key", "new"))]),
                "keys: 1 -> 2",
                "a key that is left",
            ),
            (
                "limits",
                make_configuration(limits=LIMITS._replace(body_bytes=9)),
                "body_bytes: 4194304 -> 9",
                "none;",
            ),
        ]
    )
    def test_configurations(self, _, configuration, what, effect):
        changes = diff_configurations(make_configuration(), configuration)
        (found,) = EFFECTS.explain(changes)
        self.assertEqual(found.what, what)
        self.assertIn(effect, found.effect)

    @parameterized.expand(
        [
            (DECLARATION_EFFECTS, {"target": DeclaredTarget, "team": DeclaredTeam}),
            (EFFECTS, {"route": Route, "service": Service}),
        ]
    )
    def test_effects_are_of_keys_that_exist(self, effects, type_by_part):
        """Guards against an effect that is never shown since a key was renamed."""
        for part, key in effects.effect_by_key:
            if part in type_by_part and key not in (ADDED, REMOVED):
                self.assertIn(key, type_by_part[part]._fields)

    def test_keys_are_not_shown(self):
        """Guards against keys of teams in what operators print."""
        changed = make_configuration(teams=[(TEAMS[0][0], ("other-secret",))])
        changes = diff_configurations(make_configuration(), changed)
        self.assertNotIn("other-secret", str(changes))


STORED = {
    "version": 3,
    "routes": [
        {
            "name": "lookup",
            "host": "h",
            "prefix": "/lookup/",
            "kind": "idempotent",
            "timeoutMs": 1000,
            "service": "lookup",
        }
    ],
    "services": [{"name": "lookup"}],
}
UNUSED = {"services": [{"name": "lookup"}, {"name": "spare"}]}
UNKNOWN = {"services": [{"name": "spare"}]}
RENAMED = {"routes": [STORED["routes"][0] | {"timeoutMs": 2000}]}
UNNAMED = {"routes": [{"name": "x"}]}
ODD_KIND = {"routes": [STORED["routes"][0] | {"kind": "odd"}]}


class CommandsTest(unittest.TestCase):
    """Exit statuses and output of the commands for both kinds of files."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, text):
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def run_line(self, application, line):
        """Return the exit status, output and error output of a command line."""
        application.auto_exits(False)
        tester = ApplicationTester(application)
        status = tester.execute(line)
        return status, tester.io.fetch_output(), tester.io.fetch_error()

    @parameterized.expand(
        [
            ("clean", CLEAN, "", 0, "valid, revision 3"),
            ("warning", change(CLEAN, "[model m]", "copies = 2"), "", 1, "copies"),
            ("error", change(CLEAN, "[zone a]", "state = out"), "", 2, "stages: error"),
            ("equal", CLEAN, CLEAN, 0, "valid"),
            (
                "differs",
                CLEAN.replace("revision = 3", "revision = 4") + "[zone d]\n",
                CLEAN,
                1,
                "none; requests that come later",
            ),
            (
                "outdated",
                CLEAN.replace("revision = 3", "revision = 2") + "[zone d]\n",
                CLEAN,
                2,
                "never come into force",
            ),
            ("faulty", CLEAN, "[odd]", 2, "expected [zone|"),
        ]
    )
    def test_declaration(self, _, text, in_force, status, expected):
        line = f"check {self.write('new.ini', text)}"
        if in_force:
            line += f" --against {self.write('old.ini', in_force)}"
        result = self.run_line(make_application(), line)
        self.assertEqual(result[0], status, result)
        self.assertIn(expected, result[1] + result[2])

    @parameterized.expand(
        [
            ("clean", {}, False, 0, "valid, version 3"),
            ("warning", UNUSED, False, 1, "[service spare]: warning: no route"),
            ("error", UNKNOWN, False, 2, "[route lookup] shares: error: service"),
            ("equal", {}, True, 0, "valid"),
            ("differs", RENAMED | {"version": 4}, True, 1, "timeout: 1.0 -> 2.0"),
            ("outdated", RENAMED, True, 2, "never come into force"),
            ("missing", UNNAMED, False, 2, "[routes 0] timeoutMs = : missing"),
            ("odd", ODD_KIND, False, 2, "[routes 0] kind = odd: unknown value"),
            ("no_list", {"routes": 3}, False, 2, "[routes]: expected a list"),
        ]
    )
    def test_configuration(self, _, changed, has_known, status, expected):
        text = msgspec.json.encode(STORED | changed).decode()
        line = f"check {self.write('new.json', text)}"
        if has_known:
            known = msgspec.json.encode(STORED).decode()
            line += f" --against {self.write('old.json', known)}"
        result = self.run_line(check.make_application(), line)
        self.assertEqual(result[0], status, result)
        self.assertIn(expected, result[1] + result[2])

    @parameterized.expand([("not json", 2), ("[]", 2)])
    def test_what_is_no_configuration(self, text, status):
        line = f"check {self.write('new.json', text)}"
        self.assertEqual(self.run_line(check.make_application(), line)[0], status)

    def test_json(self):
        text = change(CLEAN, "[model m]", "copies = 2")
        path = self.write("new.ini", text.replace("revision = 3", "revision = 4"))
        old = self.write("old.ini", CLEAN)
        line = f"check {path} --json --against {old}"
        status, output, _ = self.run_line(make_application(), line)
        found = msgspec.json.decode(output)
        self.assertEqual((status, found["valid"], found["outdated"]), (1, True, ""))
        self.assertEqual(found["findings"][0]["severity"], Severity.WARNING)
        self.assertEqual(found["changes"][0]["what"], "copies: 1 -> 2")


if __name__ == "__main__":
    unittest.main()
