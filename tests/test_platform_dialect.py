"""Decoding and encoding of the platform's messages."""

import base64
import unittest

import msgspec
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Kind, Target, Team
from bergamotsaddle_serving.messages import (
    Dispatch,
    Piece,
    PromptPart,
    StoreEntry,
    TargetLoad,
)

DIALECT = PlatformDialect()
TARGET = Target("i-1", "svc", Address("10.0.0.1", 80), "a", 4)
HEADERS = [
    (b"host", b"Api.example:80"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"2500"),
    (b"authorization", b"Token secret"),
    (b"x-tenant", b"forged"),
    (b"x-kv-hold", b"forged"),
    (b"bergamotsaddle-ran", b"forged"),
    (b"x-token-usage", b"1460,80"),
    (b"x-prefix-hash", b"aa:800,bb:410"),
    (b"x-pieces", b"2,0,8"),
    (b"x-piece-key", b"k"),
    (b"last-event-id", b"12"),
    (b"resumes", b" r0 "),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-own", b"kept"),
]
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "Api.example",
            "prefix": "/p/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "trafficSplit": [{"service": "a", "weight": 9}],
            "attempts": 2,
            "stages": [{"service": "s", "after": [], "sizeBytes": 3000}],
            "resumable": True,
            "targetGapMs": 400,
        },
        {
            "name": "deep",
            "host": "api.example",
            "prefix": "/p/q/",
            "kind": "non_idempotent",
            "timeoutMs": 1200,
            "service": "b",
        },
    ],
    "services": [
        {
            "name": "s",
            "pieces": {
                "slots": 1,
                "batch": 4,
                "callMs": 150.0,
                "itemMs": 32.0,
                "headroomMb": 18.0,
                "handleS": 4.0,
            },
        }
    ],
    "tenants": [{"name": "t", "apiKeys": ["secret"], "priority": 1}],
    "limits": {"maxBodyBytes": 99},
}


RAW_FIELDS = {"zone": b'"a"', "slots": b"1", "coldRemainingMs": b"0", "born": b"5"}


def make_entry(**raw):
    """Return the value of a target's entry, some fields of which are given as JSON."""
    fields = b"".join(
        b',"%s":%s' % (name.encode(), value)
        for name, value in (RAW_FIELDS | raw).items()
    )
    head = b'{"service":"s","address":"10.0.0.1:80","state":"ready"'
    return head + fields + b"}"


CONFIGURATION = b'{"version":?,"routes":[],"services":[]}'


def read_head(headers=HEADERS):
    """Decode a request's head."""
    return DIALECT.read_head(b"POST", b"/p/x?y", headers)


RESULTS = b'{"items":[{"handle":"10.0.0.7:80/h"},{"reason":"gone"}]}'


class HeadTest(unittest.TestCase):
    """Heads of callers' requests, and the heads that are sent to targets."""

    def test_decoded(self):
        head = read_head()
        self.assertEqual(
            (head.id, head.host, head.key), ("r1", "api.example", "secret")
        )
        self.assertEqual((head.deadline, head.last_event_id), (2.5, 12))
        self.assertEqual((head.resumed_request, head.is_resumption), ("r0", True))
        self.assertEqual(head.prompt, (PromptPart("aa", 800), PromptPart("bb", 410)))
        self.assertEqual((head.prompt_tokens, head.output_tokens), (1460, 80))
        self.assertEqual((head.pieces, head.piece_key), ((2, 0, 8), "k"))

    @parameterized.expand(
        [
            ("none", [], (None, "", False)),
            ("both", [(b"last-event-id", b"3"), (b"resumes", b"r0")], (3, "r0", True)),
            ("no_event", [(b"resumes", b"r0")], (None, "r0", True)),
            ("no_request", [(b"last-event-id", b"0")], (0, "", True)),
            ("empty", [(b"resumes", b"")], (None, "", False)),
            ("long", [(b"resumes", b"r" * 900)], (None, "r" * 900, True)),
            (
                "repeated",
                [(b"resumes", b"r0"), (b"resumes", b"r0")],
                (None, "r0", True),
            ),
        ]
    )
    def test_streams_that_are_taken_up(self, _, headers, expected):
        head = DIALECT.read_head(b"POST", b"/", [(b"x-request-id", b"r1"), *headers])
        found = (head.last_event_id, head.resumed_request, head.is_resumption)
        self.assertEqual(found, expected)

    @parameterized.expand(
        [
            ("malformed", [(b"last-event-id", b"x")]),
            ("negative", [(b"last-event-id", b"-1")]),
            ("two_events", [(b"last-event-id", b"1"), (b"last-event-id", b"2")]),
            ("two_requests", [(b"resumes", b"r0"), (b"resumes", b"r1")]),
        ]
    )
    def test_a_place_in_a_stream_that_can_not_be_read(self, _, headers):
        """Guards against streams that begin anew behind a part of them."""
        with self.assertRaises(RequestError) as raised:
            DIALECT.read_head(b"POST", b"/", [(b"x-request-id", b"r1"), *headers])
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    def test_targets_get_system_headers_and_no_key(self):
        """Guards against forged headers that only the system may set.

        A target that trusted them would charge another team, or use memory that is
        reserved for another request.
        """
        dispatch = Dispatch(TARGET, 1.25, Team("t"), 0, ("h1", "h2"), 13)
        sent = dict(DIALECT.forward(read_head(), dispatch, 0))
        self.assertNotIn(b"authorization", sent)
        self.assertNotIn(b"x-kv-hold", sent)
        self.assertNotIn(b"bergamotsaddle-ran", sent)
        self.assertNotIn(b"x-hop", sent)
        self.assertEqual(sent[b"x-tenant"], b"t")
        self.assertEqual(sent[b"x-deadline-ms"], b"1250")
        self.assertEqual(sent[b"x-target-instance"], b"i-1")
        self.assertEqual(sent[b"x-inputs"], b"h1,h2")
        self.assertEqual(sent[b"last-event-id"], b"13")
        self.assertEqual(sent[b"x-own"], b"kept")

    @parameterized.expand(
        [
            ("no_id", [h for h in HEADERS if h[0] != b"x-request-id"]),
            ("usage", [*HEADERS, (b"x-token-usage", b"many")]),
            ("pieces", [*HEADERS, (b"x-pieces", b"-1")]),
        ]
    )
    def test_invalid_heads(self, _, headers):
        with self.assertRaises(RequestError) as raised:
            read_head(headers)
        self.assertEqual(raised.exception.kind, ErrorKind.BAD_REQUEST)

    def test_response_headers(self):
        response = DIALECT.read_response(
            [
                (b"x-request-id", b"r1"),
                (b"x-response-seal", b"s"),
                (b"x-server-load", b"3,0,8"),
                (b"keep-alive", b"timeout=10"),
            ]
        )
        self.assertTrue(response.is_signed)
        self.assertFalse(response.not_run)
        self.assertEqual(
            (response.load.running, response.keep_alive_seconds), (3, 10.0)
        )

    @parameterized.expand(
        [
            ("own_machine", b"3,0,8", TargetLoad(3, 0, 8), False),
            ("usual_speed", b"3, 0, 8, 100", TargetLoad(3, 0, 8, 1.0), False),
            ("slow", b"3,1,8,250", TargetLoad(3, 1, 8, 2.5), False),
            ("no_time", b"3,0,8,0", None, True),
            ("too_few", b"3,0", None, True),
            ("too_many", b"3,0,8,100,1", None, True),
            ("negative", b"3,0,8,-100", None, True),
            ("fraction", b"3,0,8,0.5", None, True),
            ("words", b"3,0,8,slow", None, True),
            ("empty", b"", None, True),
        ]
    )
    def test_loads_of_targets(self, _, value, expected, is_unreadable):
        """Guards against loads of targets that are taken for what they are not."""
        response = DIALECT.read_response([(b"x-server-load", value)])
        self.assertEqual(response.load, expected)
        self.assertEqual(response.has_unreadable_load, is_unreadable)

    def test_a_target_that_reports_no_load(self):
        response = DIALECT.read_response([])
        found = (response.load, response.has_unreadable_load)
        self.assertEqual(found, (None, False))

    @parameterized.expand(
        [
            ("none", [], 0),
            ("number", [(b"x-length-hint", b"120")], 120),
            ("negative", [(b"x-length-hint", b"-1")], 0),
            ("no_number", [(b"x-length-hint", b"long")], 0),
        ]
    )
    def test_hints_of_lengths(self, _, headers, expected):
        """Guards against requests that are refused for a hint that can't be read."""
        head = DIALECT.read_head(b"POST", b"/", [(b"x-request-id", b"r1"), *headers])
        self.assertEqual(head.length_hint, expected)


class StoreTest(unittest.TestCase):
    """Entries of the platform's store."""

    def decode(self, key, value):
        """Decode an entry."""
        return DIALECT.decode(StoreEntry(key, 1, msgspec.json.encode(value)))

    def test_configuration(self):
        configuration = self.decode("op/config", CONFIG)
        self.assertEqual(configuration.version, 7)
        self.assertEqual(configuration.find_route("api.example", "/p/q/z").name, "deep")
        route = configuration.find_route("api.example", "/p/z")
        self.assertEqual((route.kind, route.objective), (Kind.STREAM, 1.0))
        self.assertIsNone(configuration.find_route("api.example", "/z"))
        batching = configuration.services_by_name["s"].batching
        self.assertEqual((batching.size, batching.memory_bytes), (4, 18e6))
        self.assertEqual(configuration.team_by_key["secret"], Team("t", 1))
        self.assertEqual(configuration.limits.body_bytes, 99)

    @parameterized.expand(
        [
            ("no_json", b"{"),
            ("no_object", b"[]"),
            ("no_routes", b'{"version": 1, "services": []}'),
            ("odd_kind", b'{"version":1,"services":[],"routes":[{"kind":"odd"}]}'),
        ]
    )
    def test_malformed_configurations(self, _, value):
        with self.assertRaises(ValueError):
            DIALECT.decode(StoreEntry("op/config", 1, value))

    @parameterized.expand(
        [
            (f"{name}_{place}", key, make(value))
            for name, value in [
                ("nested", b"[" * 2_000),
                ("nested_and_closed", b"[" * 2_000 + b"]" * 2_000),
                ("long_number", b"9" * 400),
                ("infinite", b"1e999"),
                ("huge", b"1e300"),
            ]
            for place, key, make in [
                ("value", "servers/t", lambda raw: raw),
                ("cold", "servers/t", lambda raw: make_entry(coldRemainingMs=raw)),
                ("born", "servers/t", lambda raw: make_entry(born=raw)),
                ("slots", "servers/t", lambda raw: make_entry(slots=raw)),
                ("zone", "servers/t", lambda raw: make_entry(zone=raw)),
                ("configuration", "op/config", lambda raw: raw),
                ("version", "op/config", lambda raw: CONFIGURATION.replace(b"?", raw)),
            ]
        ]
    )
    def test_values_that_no_platform_writes(self, _, key, value):
        """Guards against errors that end the application of all other entries."""
        with self.assertRaises(ValueError):
            DIALECT.decode(StoreEntry(key, 1, value))

    @parameterized.expand(
        [("line", "t\r\nx: 1"), ("space", "t 1"), ("letter", "\u20ac")]
    )
    def test_ids_that_no_header_can_carry(self, _, name):
        """Guards against requests that fail as their target can't be named."""
        with self.assertRaises(ValueError):
            DIALECT.decode(StoreEntry(f"servers/{name}", 1, make_entry()))

    def test_an_entry_of_the_platform(self):
        target = DIALECT.decode(StoreEntry("servers/t", 1, make_entry()))
        self.assertEqual((target.id, target.started_ms), ("t", 5))

    def test_pages(self):
        value = base64.b64encode(b"{}").decode()
        page = DIALECT.read_page(
            msgspec.json.encode(
                {
                    "events": [
                        {"key": "a", "value": value, "revision": 4},
                        {"key": "b", "revision": 5, "isDeleted": True},
                        {"key": "c", "value": "%%%", "revision": 6},
                    ],
                    "at": 6,
                }
            ),
            3,
        )
        self.assertEqual([e.value for e in page.entries], [b"{}", None, b""])
        self.assertEqual({e.era for e in page.entries}, {3})
        self.assertEqual(page.position, (3, 6))

    @parameterized.expand(
        [
            ("named", [(b"content-length", b"0"), (b"store-era", b"12")], 12),
            ("not_named", [(b"content-length", b"0")], 0),
        ]
    )
    def test_the_era_of_the_store(self, _, headers, expected):
        self.assertEqual(DIALECT.read_era(headers), expected)

    def test_a_malformed_era(self):
        with self.assertRaises(ValueError):
            DIALECT.read_era([(b"store-era", b"x")])

    def test_unknown_keys_are_ignored(self):
        self.assertIsNone(self.decode("other/key", {}))
        self.assertIsNone(DIALECT.target_id("op/config"))


class PiecesTest(unittest.TestCase):
    """Calls to stage targets."""

    def test_pieces_have_a_key_or_inputs(self):
        call = DIALECT.run_pieces(
            [
                Piece("r1", 0, 2, "k", (), 0.9),
                Piece("r2", 2, 0, "k", ("10.0.0.9:80/h",), 0.5),
            ],
            TARGET,
        )
        first, second = msgspec.json.decode(call.body)["items"]
        self.assertEqual((first["key"], first["remainingMs"]), ("k", 900))
        self.assertNotIn("key", second)
        self.assertEqual(second["inputs"], ["10.0.0.9:80/h"])

    def test_results(self):
        result, failure = DIALECT.read_results(RESULTS)
        self.assertEqual(DIALECT.result_address(result.handle), Address("10.0.0.7", 80))
        self.assertEqual((failure.handle, failure.reason), ("", "gone"))

    @parameterized.expand([(b"[]",), (b'{"items":[1]}',), (b"x",), (b"{}",)])
    def test_malformed_results(self, body):
        with self.assertRaises(ValueError):
            DIALECT.read_results(body)

    @parameterized.expand(
        [
            ("results", DIALECT.read_results, RESULTS),
            ("free_memory", DIALECT.read_free_memory, b'{"freeMb":15}'),
            ("page", lambda body: DIALECT.read_page(body, 1), b'{"items":[],"at":15}'),
        ]
    )
    def test_a_part_of_a_response_is_malformed(self, _, read, body):
        """Guards against a response without a length that was cut and looks whole."""
        read(body)
        for size in range(len(body)):
            with self.assertRaises(ValueError, msg=size):
                read(body[:size])

    @parameterized.expand(
        [
            ("reason", b'{"items":[{"reason":[]}]}'),
            ("handle", b'{"items":[{"handle":"x/y"}]}'),
            ("port", b'{"items":[{"handle":"10.0.0.7:99999/h"}]}'),
        ]
    )
    def test_results_that_no_sound_target_gives(self, _, body):
        """Guards against workers that end with what a faulty target sends."""
        (result,) = DIALECT.read_results(body)
        self.assertEqual((result.handle, result.reason), ("", "error"))

    @parameterized.expand(
        [
            (f"{name}_{number}", read, body)
            for name, read in [
                ("results", DIALECT.read_results),
                ("memory", DIALECT.read_free_memory),
                ("page", lambda body: DIALECT.read_page(body, 1)),
            ]
            for number, body in enumerate(
                [b"[" * 2_000, b'{"freeMb":%s}' % (b"9" * 400)]
            )
        ]
    )
    def test_bodies_that_no_sound_sender_sends(self, _, read, body):
        """Guards against green threads that end with what another one sends."""
        with self.assertRaises(ValueError):
            read(body)

    def test_free_memory(self):
        """Guards against empty targets that are avoided for 0.3 s after a refusal.

        A target with half a megabyte of free memory always reports 0 full megabytes.
        Reading that as no memory would keep an empty target idle.
        """
        self.assertEqual(DIALECT.read_free_memory(b'{"freeMb":0}'), 1e6)
        self.assertEqual(DIALECT.read_free_memory(b'{"freeMb":1.5}'), 1.5e6)
        with self.assertRaises(ValueError):
            DIALECT.read_free_memory(b'{"freeMb":true}')
