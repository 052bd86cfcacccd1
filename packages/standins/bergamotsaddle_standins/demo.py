"""Shows the whole path on loopback: ``python -m bergamotsaddle_standins.demo``."""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import sys
from typing import Any

from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, FleetSpec

_TIMING = {"stop_notice": "300ms"}
_QUESTION = "Feeding plan for pens 3 and 4 at dawn, 9 degrees, low tide"


def say(title: str, text: Any = "") -> None:
    """Print one line."""
    sys.stdout.write(f"{title:<28} {text}\n")
    sys.stdout.flush()


def expect(condition: bool, what: str) -> None:
    """End the demonstration if something is not as it must be."""
    if not condition:
        raise SystemExit(f"demo failed: {what}")


def show_plan(fleet: Fleet) -> Reply:
    """Ask for a streamed plan."""
    caller = Caller(fleet.callers("entry-mid-a-1"), fleet.keys["farm-managers"])
    body = {"input": _QUESTION, "stream": True, "max_tokens": 12}
    reply = caller.ask(f"/v1/pipelines/{PIPELINE}", body)
    expect(reply.whole, f"the plan is not whole: {reply}")
    say("feeding plan, streamed", reply.text)
    say("", f"whole: {reply.tokens} tokens, request {reply.body['request']}")
    return reply


def show_stock(fleet: Fleet) -> None:
    """Ask for the stock."""
    caller = Caller(fleet.callers("entry-mid-b-1"), fleet.keys["barge-crews"])
    reply = caller.ask("/v1/services/stock/pellets", {"item": "pellets 6 mm"})
    expect(reply.status == 200, f"stock: {reply}")
    say("stock lookup", reply.body)


def show_booking(fleet: Fleet) -> None:
    """Book once although asked twice, through two daemons."""
    key = fleet.keys["skippers"]
    first = Caller(fleet.callers("entry-mid-a-1"), key)
    second = Caller(fleet.callers("entry-mid-c-1"), key)
    ticket = first.ask("/v1/tickets/orders").body["ticket"]
    headers = {"X-Ticket": ticket}
    body = {"tonnes": 8, "pen": 4, "mark": "demo"}
    one = first.ask("/v1/services/orders/book", body, headers=headers)
    two = second.ask("/v1/services/orders/book", body, headers=headers)
    say("booking, first asked", one.body)
    say("booking, asked elsewhere", two.body)
    booked = sum(
        len(fleet.ledger(target)["marks"])
        for target, (spec, _) in fleet.target_specs.items()
        if spec.kind == "orders"
    )
    say("booked by the orders service", f"{booked} time")
    expect(one.status == 200 and one.body == two.body, "the answers differ")
    expect(booked == 1, f"booked {booked} times")


def show_decisions(fleet: Fleet, request: str) -> None:
    """Print the decisions logged for one request."""
    for line in fleet.daemons["entry-mid-a-1"].lines():
        if line.get("request") == request:
            keys = ("choice", "reason", "candidates", "outcome", "ran")
            shown = {key: line[key] for key in keys if key in line}
            say(f"log: {line['event']}", shown)


def main() -> None:
    """Run the demonstration."""
    with Fleet(FleetSpec(timing=_TIMING)) as fleet:
        say("ready", f"{len(fleet.daemons)} daemons, {len(fleet.target_ports)} targets")
        plan = show_plan(fleet)
        show_stock(fleet)
        show_booking(fleet)
        show_decisions(fleet, plan.body["request"])
        codes = [daemon.stop() for daemon in fleet.daemons.values()]
        say("stopped, exit statuses", codes)
        expect(codes == [0] * len(codes), "a daemon did not stop gracefully")


if __name__ == "__main__":
    main()
