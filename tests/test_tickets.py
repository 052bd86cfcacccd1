"""Tests for tickets: requests run at most once, and "not run" is always true."""

import unittest

from nose2.tools import params

from bergamotsaddle_contracts.errors import ErrorKind, RequestError, TargetError
from bergamotsaddle_contracts.messages import (
    FINISHED,
    NOT_RUN,
    UNKNOWN,
    OutcomeQuery,
    OutcomeRecord,
    ServiceRequest,
    StartRecord,
)
from bergamotsaddle_daemon.calls import Reply
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, freeze


def booking(number: int = 1, remaining: float = 4.0) -> ServiceRequest:
    """Return a booking request."""
    body = f'{{"load":{number}}}'.encode()
    return ServiceRequest("r1", "crews", "orders", "book", body, remaining)


class TicketCase(unittest.TestCase):
    """One ticket issued by a1, with b1 and c1 as its witness and another instance."""

    def setUp(self):
        self.fleet = FakeFleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.issuer = self.fleet.daemons["a1"]
        _, self.ticket = self.issuer.tickets.issue("crews", "orders")
        names = {"a1", "b1", "c1"} - {"a1", self.ticket.witness}
        self.other = self.fleet.daemons[names.pop()]
        self.witness = self.fleet.daemons[self.ticket.witness]

    def runs(self) -> int:
        return len(self.fleet.calls("orders"))

    def run_ticket(self, daemon, request=None):
        """Run the ticket at a daemon, let time pass and return the outcome."""
        pending = run_green(
            lambda: daemon.tickets.run(self.ticket, request or booking())
        )
        advance(6.0)
        return pending.value


class TicketTest(TicketCase):
    """Outcomes when instances are killed, cut off or paused."""

    def test_witness_is_in_another_zone(self):
        self.assertNotEqual(self.witness.settings.daemon.zone, "a")

    @params("issuer", "other", "witness")
    def test_a_repeated_request_runs_once(self, second):
        # A skipper's phone loses the response and retries; the load balancer sends the
        # retry to another instance. A second run would load the barge twice.
        self.assertEqual(self.run_ticket(self.issuer).state, FINISHED)
        self.assertEqual(self.run_ticket(getattr(self, second)).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_concurrent_requests_at_all_instances_run_once(self):
        # An impatient caller sends the request to three instances at the same time.
        for target in self.fleet.targets.values():
            target.seconds = 1.0
        pending = [
            run_green(lambda d=daemon: d.tickets.run(self.ticket, booking()))
            for daemon in self.fleet.daemons.values()
        ]
        advance(6.0)
        self.assertEqual([a.value.state for a in pending], [FINISHED] * 3)
        self.assertEqual(self.runs(), 1)

    def test_another_body_is_rejected(self):
        self.run_ticket(self.issuer)
        self.assertEqual(self.run_ticket(self.other, booking(2)).state, "reused")
        self.assertEqual(self.runs(), 1)

    def test_issuer_dies_before_the_ticket_is_used(self):
        # The issuer is killed before the ticket is used. The caller gets a final
        # "not run" from another instance and may book again.
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_issuer_dies_after_the_response(self):
        # The response was lost on its way to the caller, then the issuer was killed.
        # The witness still has the outcome.
        self.run_ticket(self.issuer)
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_issuer_dies_while_running(self):
        # No instance can know whether the order ran, so none may report "not run".
        for target in self.fleet.targets.values():
            target.seconds = 60.0
        run_green(lambda: self.issuer.tickets.run(self.ticket, booking()))
        advance(0.5)
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, UNKNOWN)

    def test_issuer_and_witness_gone(self):
        self.fleet.kill("a1")
        self.fleet.kill(self.witness.settings.daemon.id)
        self.assertEqual(self.run_ticket(self.other).state, UNKNOWN)

    def test_a_replaced_witness_has_no_record(self):
        # The witness was replaced. Its successor has no record, which must not be
        # interpreted as "not started".
        name = self.witness.settings.daemon.id
        self.run_ticket(self.issuer)
        self.fleet.kill("a1")
        self.fleet.kill(name)
        self.fleet.add_daemon(name, self.witness.settings.daemon.zone).spawn()
        self.fleet.publish_list()
        advance(3.0)
        self.assertEqual(self.run_ticket(self.other).state, UNKNOWN)

    def test_a_cut_off_issuer_returns_after_not_run_was_reported(self):
        # The issuer is cut off while it queries its witness. The caller times out and
        # gets "not run" from another instance. When the issuer is reachable again its
        # start must be rejected.
        others = ["b1", "c1"]
        self.fleet.network.partition(["a1"], others)
        advance(3.0)
        self.assertEqual(self.run_ticket(self.other).state, NOT_RUN)
        self.fleet.network.heal()
        advance(3.0)
        self.assertEqual(self.run_ticket(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_pause_between_record_and_send(self):
        # The process is paused after its witness recorded the start and resumes long
        # after the ticket expired. Sending then could run beside a second booking.
        connections = self.issuer.callers._services._connections
        connections.before_guard = lambda: freeze(60.0)
        self.assertEqual(self.run_ticket(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)
        self.assertEqual(self.run_ticket(self.other).state, NOT_RUN)

    def test_without_an_acknowledgement_nothing_runs(self):
        # The witness recorded the start but its response was lost. Sending anyway would
        # be right in this case, and wrong when the record was lost too.
        self.fleet.network.unanswered_types.add(StartRecord)
        self.assertEqual(self.run_ticket(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_lost_response_of_the_target(self):
        # The orders service received the order and the connection broke. The request is
        # not sent again, and no instance reports that it did not run.
        def lose_response(call):
            raise TargetError("exchange: reset", sent=True)

        for target in self.fleet.targets.values():
            target.handle = lose_response
        self.assertEqual(self.run_ticket(self.issuer).state, UNKNOWN)
        self.assertEqual(self.run_ticket(self.other).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_unreachable_targets_are_skipped(self):
        for zone in ("a", "b"):
            self.fleet.targets[f"orders-{zone}"].refuses_connections = True
        self.assertEqual(self.run_ticket(self.issuer).state, FINISHED)
        self.assertEqual(len(self.fleet.targets["orders-c"].calls), 1)

    def test_no_target_can_be_reached(self):
        for zone in "abc":
            self.fleet.targets[f"orders-{zone}"].refuses_connections = True
        self.assertEqual(self.run_ticket(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_a_declared_not_run_status_is_not_run(self):
        fleet = FakeFleet(target_lines="not_run_statuses = 503")
        self.addCleanup(fleet.close)
        fleet.start()
        for target in fleet.targets.values():
            target.handle = lambda call: Reply(503, b"{}")
        daemon = fleet.daemons["a1"]
        _, ticket = daemon.tickets.issue("crews", "orders")
        pending = run_green(lambda: daemon.tickets.run(ticket, booking()))
        advance(6.0)
        self.assertEqual(pending.value.state, NOT_RUN)

    def test_expired_ticket(self):
        advance(31.0)
        outcome = self.run_ticket(self.issuer)
        self.assertEqual(outcome.state, NOT_RUN)
        self.assertIn("expired", outcome.detail)
        self.assertEqual(self.runs(), 0)

    def test_a_ticket_older_than_the_records(self):
        # After ten minutes issuer and witness have dropped their records of the
        # booking. A missing record must not be interpreted as "not run".
        self.run_ticket(self.issuer)
        freeze(601.0)
        advance(3.0)
        for daemon in (self.issuer, self.other, self.witness):
            self.assertEqual(self.run_ticket(daemon).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_a_late_copy_of_a_start_after_the_records_expired(self):
        # The network delivers a copy of the start after all records were dropped. It
        # must not be recorded as new.
        self.run_ticket(self.issuer)
        freeze(601.0)
        advance(3.0)
        answer = self.witness.witness.record_start(StartRecord(self.ticket))
        self.assertFalse(answer.recorded)

    def test_a_zone_that_is_cut_off_has_no_witness(self):
        # A zone that is cut off continues to book, at most once. A ticket without a
        # witness says that its outcome would be lost with the issuer.
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(3.0)
        _, self.ticket = self.issuer.tickets.issue("crews", "orders")
        self.assertEqual(self.ticket.witness, "")
        self.assertEqual(self.run_ticket(self.issuer).state, FINISHED)
        self.assertEqual(self.run_ticket(self.other).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_a_query_changes_nothing(self):
        query = run_green(lambda: self.other.tickets.query_outcome(self.ticket))
        advance(2.0)
        self.assertEqual(query.value.state, "unused")
        self.assertEqual(self.run_ticket(self.issuer).state, FINISHED)

    def test_a_query_after_the_records_expired(self):
        # The booking ran and its record was dropped. To report "not used" would invite
        # a second booking.
        self.run_ticket(self.issuer)
        freeze(601.0)
        advance(3.0)
        query = OutcomeQuery(self.ticket)
        self.issuer.tickets._run_by_nonce.clear()
        self.assertEqual(self.issuer.tickets.handle_outcome_query(query).state, UNKNOWN)

    def test_a_full_table_is_no_final_rejection(self):
        # The issuer's table of tickets is full for now. "Not run" would be final for
        # the caller, which books again, and the ticket could still run afterwards.
        runs = self.issuer.tickets._run_by_nonce
        runs.update({f"other{n}": object() for n in range(20_000)})
        self.issuer.tickets._expire_runs = lambda: None
        self.assertEqual(self.run_ticket(self.issuer).state, "busy")
        runs.clear()
        self.assertEqual(self.run_ticket(self.issuer).state, FINISHED)

    @params("crews-2", "stock")
    def test_ticket_is_for_one_team_and_service(self, wrong):
        text, _ = self.issuer.tickets.issue("crews", "orders")
        team = wrong if wrong == "crews-2" else "crews"
        kind = wrong if wrong == "stock" else "orders"
        with self.assertRaises(RequestError) as caught:
            self.other.tickets.verify(text, team, kind)
        self.assertIs(caught.exception.kind, ErrorKind.TICKET_INVALID)

    @params("", "x", "AAAA", "Zm9yZ2VkIHRpY2tldCB0aGF0IGlzIGxvbmcgZW5vdWdo")
    def test_forged_ticket(self, text):
        with self.assertRaises(RequestError) as caught:
            self.issuer.tickets.verify(text, "crews", "orders")
        self.assertIs(caught.exception.kind, ErrorKind.TICKET_INVALID)


class HandoverTest(TicketCase):
    """Tickets of an issuer that stops gracefully."""

    def stop_issuer(self):
        stopped = run_green(lambda: self.issuer.stop(lambda: None))
        advance(5.0)
        self.assertTrue(stopped.done)

    def test_unused_ticket_runs_at_its_witness(self):
        # A planned stop must not lose the caller's booking.
        self.stop_issuer()
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, FINISHED)
        self.assertEqual(self.run_ticket(self.witness).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_a_rejected_ticket_does_not_run_at_its_witness(self):
        # The issuer could not reach its witness and reported "not run". After its stop
        # the witness must not run that ticket. The model checker found this fault.
        witness = self.witness.settings.daemon.id
        self.fleet.network.partition(["a1"], [witness])
        self.assertEqual(self.run_ticket(self.issuer).state, NOT_RUN)
        advance(2.0)
        self.fleet.network.heal()
        advance(2.0)
        self.stop_issuer()
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_a_late_start_after_the_handover_is_rejected(self):
        self.stop_issuer()
        answer = self.witness.witness.record_start(StartRecord(self.ticket))
        self.assertFalse(answer.recorded)

    def test_outcomes_survive_the_stop(self):
        self.run_ticket(self.issuer)
        self.stop_issuer()
        self.fleet.kill("a1")
        self.assertEqual(self.run_ticket(self.other).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_the_outcome_of_a_cancelled_ticket_stays(self):
        cancelled = self.witness.witness.cancel_unstarted(self.ticket)
        self.witness.witness.record_outcome(OutcomeRecord(self.ticket, cancelled))
        self.assertEqual(self.witness.witness.query_outcome(self.ticket).state, NOT_RUN)
