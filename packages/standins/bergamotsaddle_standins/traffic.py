"""Callers at work: plans, bookings and lookups through whichever daemon is ready."""

import random
from typing import Any, NamedTuple

import eventlet
import urllib3
from eventlet.greenthread import GreenThread

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, get
from bergamotsaddle_standins.targets import make_token

_PROBE_PAUSE = 0.1
_PAUSE = 0.05
_MAX_ASKS = 12
_CALLER_LIMIT = 8.0
_TOKENS = 12


class Record(NamedTuple):
    """How one request or booking ended for its caller.

    Attributes:
        kind: ``plan``, ``booking`` or ``stock``.
        outcome: ``whole``, ``refused``, ``cut``, ``unknown`` or ``failed``, the last
            for a connection that broke or an answer that is not the caller's.
        request: Id of the request, if the caller got one.
        ran: What the caller was told.
        at: Seconds on the hub's clock at the end.
    """

    kind: str
    outcome: str
    request: str
    ran: str
    at: float


class Booking(NamedTuple):
    """One ticket's request of a booking.

    Attributes:
        booking: Number of the booking.
        mark: Mark that the orders service notes.
        told: ``booked``, ``not_run`` or ``unknown``.
    """

    booking: int
    mark: str
    told: str


class Traffic:
    """Callers that go on until told to stop.

    Args:
        fleet: Where they ask.
        seed: Seed of their choices.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._ready: list[str] = list(fleet.daemons)
        self._stopped = False
        self._threads: list[GreenThread] = []
        self._bookings_made = 0
        self.records: list[Record] = []
        self.bookings: list[Booking] = []

    def start(self, *, plans: int = 6, bookings: int = 4, stock: int = 2) -> None:
        """Start some callers of each kind and the balancer's probe."""
        self._threads.append(eventlet.spawn(self._probe))
        for work, count in (
            (self._plan, plans),
            (self._book, bookings),
            (self._stock, stock),
        ):
            for _ in range(count):
                self._threads.append(eventlet.spawn(self._repeat, work))

    def stop(self) -> None:
        """Let every caller finish what it is at."""
        self._stopped = True
        for thread in self._threads:
            thread.wait()

    def count(self, kind: str, outcome: str) -> int:
        """Number of requests of a kind that ended in a way."""
        return sum((r.kind, r.outcome) == (kind, outcome) for r in self.records)

    def _repeat(self, work: Any) -> None:
        while not self._stopped:
            work()
            eventlet.sleep(self._random.uniform(0, 2 * _PAUSE))

    def _probe(self) -> None:
        while not self._stopped:
            threads = {
                name: eventlet.spawn(self._is_ready, name)
                for name in list(self._fleet.daemons)
            }
            self._ready = [name for name, t in threads.items() if t.wait()]
            eventlet.sleep(_PROBE_PAUSE)

    def _is_ready(self, name: str) -> bool:
        try:
            with eventlet.Timeout(0.3):
                return bool(get(self._fleet.callers(name), "/ready")["ready"])
        except (urllib3.exceptions.HTTPError, OSError, KeyError, eventlet.Timeout):
            return False

    def _caller(self, team: str) -> Caller:
        ready = [name for name in self._ready if name in self._fleet.daemons]
        name = self._random.choice(ready or list(self._fleet.daemons))
        address = self._fleet.daemons[name].ports.get("callers", "127.0.0.1:1")
        return Caller(address, self._fleet.keys[team], limit=_CALLER_LIMIT)

    def _plan(self) -> None:
        body = {
            "input": f"plan {self._random.random()}",
            "stream": True,
            "max_tokens": _TOKENS,
        }
        reply = self._caller("barge-crews").ask(f"/v1/pipelines/{PIPELINE}", body)
        self._note("plan", reply, self._is_own_plan(reply, body["input"]))

    def _is_own_plan(self, reply: Reply, question: str) -> bool:
        """Tell whether tokens are those that any engine makes for this question."""
        if not reply.whole:
            return False
        prompt = f'{question}\n["rerank of {question}"]'
        expected = "".join(make_token(prompt, index) for index in range(_TOKENS))
        return reply.text == expected

    def _stock(self) -> None:
        item = f"item {self._random.random()}"
        reply = self._caller("skippers").ask("/v1/services/stock/x", {"item": item})
        own = reply.status == 200 and reply.body.get("item") == item
        self._note("stock", reply, own)

    def _note(self, kind: str, reply: Reply, is_own: bool) -> None:
        body = reply.body if isinstance(reply.body, dict) else {}
        if is_own:
            outcome = "whole"
        elif reply.status == 200 and "kind" in body:
            outcome = "cut"
        elif "kind" in body:
            outcome = "refused"
        else:
            outcome = "failed"
        request, ran = body.get("request", ""), body.get("ran", "")
        self.records.append(Record(kind, outcome, request, ran, now()))

    def _book(self) -> None:
        """Book one load, with a new ticket after each true "not run"."""
        self._bookings_made += 1
        number = self._bookings_made
        for attempt in range(_MAX_ASKS):
            reply = self._caller("skippers").ask("/v1/tickets/orders")
            if reply.status != 200:
                eventlet.sleep(_PAUSE)
                continue
            mark = f"{number}.{attempt}"
            told = self._run(reply.body["ticket"], mark)
            self.bookings.append(Booking(number, mark, told))
            outcome = {"booked": "whole", "unknown": "unknown"}.get(told, "refused")
            if told != "not_run":
                break
        else:
            outcome = "refused"
        self.records.append(Record("booking", outcome, "", "", now()))

    def _run(self, ticket: str, mark: str) -> str:
        """Ask with one ticket, through different daemons, until told for good."""
        told = "unknown"
        for _ in range(_MAX_ASKS):
            reply = self._caller("skippers").ask(
                "/v1/services/orders/book",
                {"mark": mark},
                headers={"X-Ticket": ticket, "X-Deadline": "3s"},
            )
            body = reply.body if isinstance(reply.body, dict) else {}
            if reply.status == 200:
                return "booked"
            if body.get("kind") == "not_run":
                return "not_run"
            eventlet.sleep(_PAUSE)
        return told


class Audit(NamedTuple):
    """What callers were told, held against what targets did.

    Attributes:
        requests: Requests and bookings that ended.
        whole: Answered whole.
        refused: Refused or of unknown outcome.
        cut: Answers that said they were cut off, and connections that broke.
        doubled: Bookings that ran more than once.
        lost: Bookings that were confirmed and did not run.
        false_not_run: Requests told "not run" that reached a target.
    """

    requests: int
    whole: int
    refused: int
    cut: int
    doubled: int
    lost: int
    false_not_run: int


def audit(fleet: Fleet, traffic: Traffic) -> Audit:
    """Compare what callers were told with the targets' own ledgers."""
    ledgers = [fleet.ledger(target) for target in fleet.target_ports]
    marks = [mark for ledger in ledgers for mark in ledger["marks"]]
    ran = {request for ledger in ledgers for request in ledger["runs_by_request"]}
    runs_by_booking: dict[str, int] = {}
    for mark in marks:
        booking = mark.partition(".")[0]
        runs_by_booking[booking] = runs_by_booking.get(booking, 0) + 1
    records = traffic.records
    false = sum(b.told == "not_run" and b.mark in marks for b in traffic.bookings)
    false += sum(r.ran == "no" and r.request in ran for r in records if r.request)
    outcomes = [record.outcome for record in records]
    return Audit(
        requests=len(records),
        whole=outcomes.count("whole"),
        refused=outcomes.count("refused") + outcomes.count("unknown"),
        cut=outcomes.count("cut") + outcomes.count("failed"),
        doubled=sum(count > 1 for count in runs_by_booking.values()),
        lost=sum(b.told == "booked" and b.mark not in marks for b in traffic.bookings),
        false_not_run=false,
    )
