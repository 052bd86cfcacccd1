"""Demonstrates a deployment: ``python -m bergamotsaddle_standins.demo``."""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import sys
from typing import Any

from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, FleetSpec

_TIMING = {"stop_notice": "300ms"}
_QUESTION = "Feeding plan for pens 3 and 4 at dawn, 9 degrees, low tide"


def print_line(title: str, text: Any = "") -> None:
    """Print a titled line."""
    sys.stdout.write(f"{title:<28} {text}\n")
    sys.stdout.flush()


def require(condition: bool, what: str) -> None:
    """Exit with an error message unless a condition holds."""
    if not condition:
        raise SystemExit(f"demo failed: {what}")


def show_plan(fleet: Fleet) -> Reply:
    """Request a streamed plan and print it."""
    caller = Caller(fleet.caller_address("entry-mid-a-1"), fleet.keys["farm-managers"])
    body = {"input": _QUESTION, "stream": True, "max_tokens": 12}
    reply = caller.post(f"/v1/pipelines/{PIPELINE}", body)
    require(reply.is_complete, f"the plan is incomplete: {reply}")
    print_line("feeding plan, streamed", reply.text)
    print_line("", f"whole: {reply.tokens} tokens, request {reply.body['request']}")
    return reply


def show_stock(fleet: Fleet) -> None:
    """Look up the stock and print it."""
    caller = Caller(fleet.caller_address("entry-mid-b-1"), fleet.keys["barge-crews"])
    reply = caller.post("/v1/services/stock/pellets", {"item": "pellets 6 mm"})
    require(reply.status == 200, f"stock: {reply}")
    print_line("stock lookup", reply.body)


def show_booking(fleet: Fleet) -> None:
    """Send one booking through two daemons and check that it runs once."""
    key = fleet.keys["skippers"]
    first = Caller(fleet.caller_address("entry-mid-a-1"), key)
    second = Caller(fleet.caller_address("entry-mid-c-1"), key)
    ticket = first.post("/v1/tickets/orders").body["ticket"]
    headers = {"X-Ticket": ticket}
    body = {"tonnes": 8, "pen": 4, "mark": "demo"}
    one = first.post("/v1/services/orders/book", body, headers=headers)
    two = second.post("/v1/services/orders/book", body, headers=headers)
    print_line("booking, first asked", one.body)
    print_line("booking, asked elsewhere", two.body)
    booked = sum(
        len(fleet.read_ledger(target)["marks"])
        for target, (spec, _) in fleet.target_specs.items()
        if spec.kind == "orders"
    )
    print_line("booked by the orders service", f"{booked} time")
    require(one.status == 200 and one.body == two.body, "the answers differ")
    require(booked == 1, f"booked {booked} times")


def show_decisions(fleet: Fleet, request: str) -> None:
    """Print the decisions that a daemon logged for a request."""
    for line in fleet.daemons["entry-mid-a-1"].log_entries():
        if line.get("request") == request:
            keys = ("choice", "reason", "candidates", "outcome", "ran")
            shown = {key: line[key] for key in keys if key in line}
            print_line(f"log: {line['event']}", shown)


def main() -> None:
    """Run the demonstration."""
    with Fleet(FleetSpec(timing=_TIMING)) as fleet:
        print_line(
            "ready", f"{len(fleet.daemons)} daemons, {len(fleet.target_ports)} targets"
        )
        plan = show_plan(fleet)
        show_stock(fleet)
        show_booking(fleet)
        show_decisions(fleet, plan.body["request"])
        codes = [daemon.stop() for daemon in fleet.daemons.values()]
        print_line("stopped, exit statuses", codes)
        require(codes == [0] * len(codes), "a daemon did not stop gracefully")


if __name__ == "__main__":
    main()
