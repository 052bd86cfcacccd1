"""Callers that request plans, bookings and lookups from any ready daemon."""

import random
from typing import Any, NamedTuple

import eventlet
import urllib3
from eventlet.greenthread import GreenThread

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, get
from bergamotsaddle_standins.targets import make_token

_PROBE_INTERVAL_S = 0.1
_MEAN_PAUSE_S = 0.05
_MAX_ATTEMPTS = 12
_CALLER_TIMEOUT_S = 8.0
_TOKENS = 12


class Record(NamedTuple):
    """Outcome of one request or booking as its caller saw it.

    Attributes:
        kind: ``plan``, ``booking`` or ``stock``.
        outcome: ``whole``, ``refused``, ``cut``, ``unknown`` or ``failed``, the last
            for a broken connection or a response that belongs to another request.
        request: Id of the request, empty if the caller received none.
        ran: Whether the request ran, as reported to the caller.
        at: Time of the outcome on the hub's clock.
    """

    kind: str
    outcome: str
    request: str
    ran: str
    at: float


class Booking(NamedTuple):
    """A booking submitted with one ticket.

    Attributes:
        booking: Number of the booking.
        mark: Mark that the orders service records.
        reported: Outcome reported to the caller: ``booked``, ``not_run`` or
            ``unknown``.
    """

    booking: int
    mark: str
    reported: str


class Traffic:
    """Callers that send requests until stopped.

    Args:
        fleet: Deployment that gets the requests.
        seed: Seed of the random choices.
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
        """Start callers of each kind and the readiness probe of their load balancer."""
        self._threads.append(eventlet.spawn(self._probe_readiness))
        for work, count in (
            (self._request_plan, plans),
            (self._book, bookings),
            (self._look_up_stock, stock),
        ):
            for _ in range(count):
                self._threads.append(eventlet.spawn(self._repeat, work))

    def stop(self) -> None:
        """Let every caller finish its current request and wait for it."""
        self._stopped = True
        for thread in self._threads:
            thread.wait()

    def count(self, kind: str, outcome: str) -> int:
        """Return the number of requests of a kind with an outcome."""
        return sum((r.kind, r.outcome) == (kind, outcome) for r in self.records)

    def _repeat(self, work: Any) -> None:
        while not self._stopped:
            work()
            eventlet.sleep(self._random.uniform(0, 2 * _MEAN_PAUSE_S))

    def _probe_readiness(self) -> None:
        while not self._stopped:
            threads = {
                name: eventlet.spawn(self._is_ready, name)
                for name in list(self._fleet.daemons)
            }
            self._ready = [name for name, t in threads.items() if t.wait()]
            eventlet.sleep(_PROBE_INTERVAL_S)

    def _is_ready(self, name: str) -> bool:
        try:
            with eventlet.Timeout(0.3):
                return bool(get(self._fleet.caller_address(name), "/ready")["ready"])
        except (urllib3.exceptions.HTTPError, OSError, KeyError, eventlet.Timeout):
            return False

    def _make_caller(self, team: str) -> Caller:
        ready = [name for name in self._ready if name in self._fleet.daemons]
        name = self._random.choice(ready or list(self._fleet.daemons))
        address = self._fleet.daemons[name].ports.get("callers", "127.0.0.1:1")
        return Caller(address, self._fleet.keys[team], limit=_CALLER_TIMEOUT_S)

    def _request_plan(self) -> None:
        body = {
            "input": f"plan {self._random.random()}",
            "stream": True,
            "max_tokens": _TOKENS,
        }
        reply = self._make_caller("barge-crews").post(f"/v1/pipelines/{PIPELINE}", body)
        self._record_reply("plan", reply, self._is_own_plan(reply, body["input"]))

    def _is_own_plan(self, reply: Reply, question: str) -> bool:
        """Return whether the tokens are those that engines generate for a question."""
        if not reply.is_complete:
            return False
        prompt = f'{question}\n["rerank of {question}"]'
        expected = "".join(make_token(prompt, index) for index in range(_TOKENS))
        return reply.text == expected

    def _look_up_stock(self) -> None:
        item = f"item {self._random.random()}"
        reply = self._make_caller("skippers").post(
            "/v1/services/stock/x", {"item": item}
        )
        own = reply.status == 200 and reply.body.get("item") == item
        self._record_reply("stock", reply, own)

    def _record_reply(self, kind: str, reply: Reply, is_own: bool) -> None:
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
        """Book one load, with a new ticket after each report of "not run"."""
        self._bookings_made += 1
        number = self._bookings_made
        for attempt in range(_MAX_ATTEMPTS):
            reply = self._make_caller("skippers").post("/v1/tickets/orders")
            if reply.status != 200:
                eventlet.sleep(_MEAN_PAUSE_S)
                continue
            mark = f"{number}.{attempt}"
            reported = self._submit_booking(reply.body["ticket"], mark)
            self.bookings.append(Booking(number, mark, reported))
            outcome = {"booked": "whole", "unknown": "unknown"}.get(reported, "refused")
            if reported != "not_run":
                break
        else:
            outcome = "refused"
        self.records.append(Record("booking", outcome, "", "", now()))

    def _submit_booking(self, ticket: str, mark: str) -> str:
        """Submit one ticket through different daemons until its outcome is final."""
        reported = "unknown"
        for _ in range(_MAX_ATTEMPTS):
            reply = self._make_caller("skippers").post(
                "/v1/services/orders/book",
                {"mark": mark},
                headers={"X-Ticket": ticket, "X-Deadline": "3s"},
            )
            body = reply.body if isinstance(reply.body, dict) else {}
            if reply.status == 200:
                return "booked"
            if body.get("kind") == "not_run":
                return "not_run"
            eventlet.sleep(_MEAN_PAUSE_S)
        return reported


class Audit(NamedTuple):
    """Comparison of what callers were told with what targets did.

    Attributes:
        requests: Finished requests and bookings.
        complete: Requests with a complete response.
        refused: Requests that were refused or have an unknown outcome.
        cut: Responses that were marked as cut off, and broken connections.
        doubled: Bookings that ran more than once.
        lost: Bookings that were confirmed and did not run.
        false_not_run: Requests that reached a target but were reported as not run.
    """

    requests: int
    complete: int
    refused: int
    cut: int
    doubled: int
    lost: int
    false_not_run: int


def audit(fleet: Fleet, traffic: Traffic) -> Audit:
    """Compare the outcomes reported to callers with the ledgers of the targets."""
    ledgers = [fleet.read_ledger(target) for target in fleet.target_ports]
    marks = [mark for ledger in ledgers for mark in ledger["marks"]]
    ran = {request for ledger in ledgers for request in ledger["runs_by_request"]}
    runs_by_booking: dict[str, int] = {}
    for mark in marks:
        booking = mark.partition(".")[0]
        runs_by_booking[booking] = runs_by_booking.get(booking, 0) + 1
    records = traffic.records
    false_not_run = sum(
        b.reported == "not_run" and b.mark in marks for b in traffic.bookings
    )
    false_not_run += sum(
        r.ran == "no" and r.request in ran for r in records if r.request
    )
    outcomes = [record.outcome for record in records]
    return Audit(
        requests=len(records),
        complete=outcomes.count("whole"),
        refused=outcomes.count("refused") + outcomes.count("unknown"),
        cut=outcomes.count("cut") + outcomes.count("failed"),
        doubled=sum(count > 1 for count in runs_by_booking.values()),
        lost=sum(
            b.reported == "booked" and b.mark not in marks for b in traffic.bookings
        ),
        false_not_run=false_not_run,
    )
