"""Specifies tickets: a request that must not be repeated, its issuer and its witness.

Processes may stop, be replaced or be paused at any step; a paused process takes no
steps while the others do. Each message may arrive late, more than once or never.
"""

from typing import NamedTuple

from model.specification import Specification, Steps


class State(NamedTuple):
    """State of one ticket.

    Attributes:
        issuer: ``ready``, ``asked``, ``recorded``, ``sent``, ``answered``,
            ``refused``, ``closed`` or ``gone``.
        start_message: Whether the issuer's StartRecord is in the network.
        acknowledged: Whether an acknowledgement is in the network.
        refused: Whether the witness's refusal is in the network.
        outcome_message: Whether the issuer's OutcomeRecord is in the network.
        handover_message: The issuer's TicketHandover in the network: ``none``,
            ``unused`` if it lets the witness run this ticket, or ``used``.
        witness: ``up`` or ``replaced``.
        record: Record of the witness: ``none``, ``started``, ``finished``, or
            ``sealed`` for a ticket that must not start any more.
        forgotten: Whether the witness's retention of this ticket has expired.
        inherited: Whether the witness has taken the ticket over.
        runs: How often the target has run the request.
        told_not_run: Whether a caller was told that the request did not run.
    """

    issuer: str = "ready"
    start_message: bool = False
    acknowledged: bool = False
    refused: bool = False
    outcome_message: bool = False
    handover_message: str = "none"
    witness: str = "up"
    record: str = "none"
    forgotten: bool = False
    inherited: bool = False
    runs: int = 0
    told_not_run: bool = False


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states; after a second run there are none."""
    if state.runs > 1:
        return
    yield from _issuer_steps(state, mistake)
    yield from _witness_steps(state, mistake)
    yield from _caller_steps(state, mistake)
    yield from _fault_steps(state)


def _issuer_steps(state: State, mistake: str) -> Steps:
    step = state._replace
    if state.issuer == "ready":
        yield "ask_witness", step(issuer="asked", start_message=True)
        if mistake == "no witness":
            yield "skip_witness", step(issuer="recorded")
        yield "close", step(issuer="closed", handover_message="unused")
    elif state.issuer not in ("closed", "gone"):
        listed = "unused" if mistake == "hands over used tickets" else "used"
        yield "stop", step(handover_message=listed)
    if state.issuer == "asked":
        if state.acknowledged:
            yield "hear_recorded", step(issuer="recorded")
        if state.refused:
            yield "hear_refused", step(issuer="refused", told_not_run=True)
        yield "witness_silent", step(issuer="refused", told_not_run=True)
    if state.issuer == "recorded":
        yield "send", step(issuer="sent", runs=state.runs + 1)
        yield "start_too_late", step(issuer="refused", told_not_run=True)
    if state.issuer == "sent":
        yield "answer", step(issuer="answered", outcome_message=True)
        if mistake == "sends again":
            yield "send_again", step(runs=state.runs + 1)
    if state.issuer == "answered" and mistake == "no table of runs":
        yield "ask_again_here", step(issuer="recorded")


def _witness_steps(state: State, mistake: str) -> Steps:
    step = state._replace
    if state.witness != "up":
        if state.start_message:
            yield "refuse_as_replaced", step(refused=True)
        return
    if state.start_message:
        open_to_start = state.record in ("none", "started") and not state.forgotten
        if open_to_start and not state.inherited:
            yield "record", step(record="started", acknowledged=True)
        else:
            yield "refuse_record", step(refused=True)
    if state.outcome_message and state.record == "started":
        yield "report", step(record="finished")
    if state.handover_message == "unused":
        yield "inherit", step(inherited=True)
    remembers = not state.forgotten or mistake == "seals a forgotten record"
    if state.handover_message == "used" and state.record == "none" and remembers:
        yield "inherit_used", step(record="sealed")
    if state.forgotten and state.record != "none":
        yield "forget", step(record="none")


def _caller_steps(state: State, mistake: str) -> Steps:
    """Yield the steps of a caller that asks the witness, through any instance."""
    step = state._replace
    if state.witness != "up":
        if mistake == "trusts a replaced witness":
            yield "give_up_at_new", step(told_not_run=True)
        return
    if state.record == "sealed":
        yield "hear_sealed", step(told_not_run=True)
    if state.handover_message != "none" and mistake == "takes over what was started":
        yield "run_started", step(runs=state.runs + 1, record="finished")
    if state.record != "none":
        return
    if state.forgotten:
        if mistake == "trusts a forgotten record":
            yield "give_up_forgotten", step(told_not_run=True)
        return
    if state.inherited:
        kept = "none" if mistake == "takes over without a record" else "finished"
        yield "run_inherited", step(runs=state.runs + 1, record=kept)
        return
    sealed = "none" if mistake == "no seal" else "sealed"
    yield "seal", step(record=sealed, told_not_run=True)


def _fault_steps(state: State) -> Steps:
    if state.issuer != "gone":
        yield "kill_issuer", state._replace(issuer="gone")
    if state.witness == "up":
        yield "replace_witness", state._replace(witness="replaced", record="none")
    if not state.forgotten:
        yield "memory_runs_out", state._replace(forgotten=True)


SPECIFICATION = Specification(
    name="tickets",
    bounds="one ticket, its issuer, its witness, callers asking without end",
    initial=State(),
    steps=steps,
    invariants={
        "at most once": lambda s: s["runs"] <= 1,
        "not run is true": lambda s: not (s["told_not_run"] and s["runs"]),
    },
    mistakes={
        "no witness": "not run is true",
        "no seal": "not run is true",
        "sends again": "at most once",
        "no table of runs": "at most once",
        "hands over used tickets": "not run is true",
        "takes over what was started": "at most once",
        "takes over without a record": "at most once",
        "trusts a replaced witness": "not run is true",
        "seals a forgotten record": "not run is true",
        "trusts a forgotten record": "not run is true",
    },
)
