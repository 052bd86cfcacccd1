"""Requests that must not be repeated: at most once, and a true "not run"."""

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
    """A booking."""
    body = f'{{"load":{number}}}'.encode()
    return ServiceRequest("r1", "crews", "orders", "book", body, remaining)


class TicketCase(unittest.TestCase):
    """One ticket issued by a1, with b1 and c1 as its witness and another instance."""

    def setUp(self):
        self.world = FakeFleet()
        self.addCleanup(self.world.close)
        self.world.start()
        self.issuer = self.world.daemons["a1"]
        _, self.ticket = self.issuer.tickets.issue("crews", "orders")
        names = {"a1", "b1", "c1"} - {"a1", self.ticket.witness}
        self.other = self.world.daemons[names.pop()]
        self.witness = self.world.daemons[self.ticket.witness]

    def runs(self) -> int:
        return len(self.world.calls("orders"))

    def ask(self, daemon, request=None):
        """Ask and let the time pass that the request may take."""
        asked = run_green(lambda: daemon.tickets.run(self.ticket, request or booking()))
        advance(6.0)
        return asked.value


class TicketTest(TicketCase):
    """What holds whatever is killed, cut or paused."""

    def test_witness_is_in_another_zone(self):
        self.assertNotEqual(self.witness.settings.daemon.zone, "a")

    @params("issuer", "other", "witness")
    def test_asked_twice_runs_once(self, second):
        # A skipper's phone loses the answer and asks again; the balancer sends it to
        # another instance. A second run would load the barge twice.
        self.assertEqual(self.ask(self.issuer).state, FINISHED)
        self.assertEqual(self.ask(getattr(self, second)).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_asked_at_once_everywhere_runs_once(self):
        # An impatient caller asks three instances at the same moment.
        for target in self.world.targets.values():
            target.seconds = 1.0
        asked = [
            run_green(lambda d=daemon: d.tickets.run(self.ticket, booking()))
            for daemon in self.world.daemons.values()
        ]
        advance(6.0)
        self.assertEqual([a.value.state for a in asked], [FINISHED] * 3)
        self.assertEqual(self.runs(), 1)

    def test_other_body_is_refused(self):
        self.ask(self.issuer)
        self.assertEqual(self.ask(self.other, booking(2)).state, "reused")
        self.assertEqual(self.runs(), 1)

    def test_issuer_dies_unused(self):
        # The issuer is killed before the ticket is used. The caller gets a final
        # "not run" elsewhere and may book anew.
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_issuer_dies_after_the_answer(self):
        # The answer was lost on its way to the caller, then the issuer was killed.
        # The witness still has it.
        self.ask(self.issuer)
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_issuer_dies_while_running(self):
        # Nobody can know whether the order went through, so nobody says "not run".
        for target in self.world.targets.values():
            target.seconds = 60.0
        run_green(lambda: self.issuer.tickets.run(self.ticket, booking()))
        advance(0.5)
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, UNKNOWN)

    def test_issuer_and_witness_gone(self):
        self.world.kill("a1")
        self.world.kill(self.witness.settings.daemon.id)
        self.assertEqual(self.ask(self.other).state, UNKNOWN)

    def test_replaced_witness_knows_nothing(self):
        # The witness was replaced; its successor has no record, which must not pass
        # for "not started".
        name = self.witness.settings.daemon.id
        self.ask(self.issuer)
        self.world.kill("a1")
        self.world.kill(name)
        self.world.add_daemon(name, self.witness.settings.daemon.zone).spawn()
        self.world.publish_list()
        advance(3.0)
        self.assertEqual(self.ask(self.other).state, UNKNOWN)

    def test_paused_issuer_wakes_after_the_caller_was_told(self):
        # The issuer is cut off while it asks its witness. The caller gives up, asks
        # elsewhere and is told "not run". When the issuer is heard again its start
        # must be refused.
        everyone = ["b1", "c1"]
        self.world.network.partition(["a1"], everyone)
        advance(3.0)
        self.assertEqual(self.ask(self.other).state, NOT_RUN)
        self.world.network.heal()
        advance(3.0)
        self.assertEqual(self.ask(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_pause_between_record_and_send(self):
        # The process is paused after its witness took note and wakes up long after
        # the ticket's time; sending then could meet a second booking.
        connections = self.issuer.callers._services._connections
        connections.before_guard = lambda: freeze(60.0)
        self.assertEqual(self.ask(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)
        self.assertEqual(self.ask(self.other).state, NOT_RUN)

    def test_no_acknowledgement_no_run(self):
        # The witness took note but its answer was lost. Sending anyway would be
        # right this time and wrong when the note was lost too.
        self.world.network.unanswered_types.add(StartRecord)
        self.assertEqual(self.ask(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_lost_answer_of_the_target(self):
        # The orders service took the order and the connection broke. The request is
        # not sent again and nobody claims that it did not run.
        def lose(call):
            raise TargetError("exchange: reset", sent=True)

        for target in self.world.targets.values():
            target.handle = lose
        self.assertEqual(self.ask(self.issuer).state, UNKNOWN)
        self.assertEqual(self.ask(self.other).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_unreachable_targets_are_passed_over(self):
        for zone in ("a", "b"):
            self.world.targets[f"orders-{zone}"].refuses_connections = True
        self.assertEqual(self.ask(self.issuer).state, FINISHED)
        self.assertEqual(len(self.world.targets["orders-c"].calls), 1)

    def test_no_target_can_be_reached(self):
        for zone in "abc":
            self.world.targets[f"orders-{zone}"].refuses_connections = True
        self.assertEqual(self.ask(self.issuer).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_promised_refusal_is_not_run(self):
        world = FakeFleet(target_lines="not_run_statuses = 503")
        self.addCleanup(world.close)
        world.start()
        for target in world.targets.values():
            target.handle = lambda call: Reply(503, b"{}")
        daemon = world.daemons["a1"]
        _, ticket = daemon.tickets.issue("crews", "orders")
        asked = run_green(lambda: daemon.tickets.run(ticket, booking()))
        advance(6.0)
        self.assertEqual(asked.value.state, NOT_RUN)

    def test_expired_ticket(self):
        advance(31.0)
        outcome = self.ask(self.issuer)
        self.assertEqual(outcome.state, NOT_RUN)
        self.assertIn("expired", outcome.detail)
        self.assertEqual(self.runs(), 0)

    def test_ticket_older_than_the_memory(self):
        # After ten minutes issuer and witness have forgotten the booking; having no
        # record must not pass for "not run".
        self.ask(self.issuer)
        freeze(601.0)
        advance(3.0)
        for daemon in (self.issuer, self.other, self.witness):
            self.assertEqual(self.ask(daemon).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_late_copy_of_a_start_after_the_memory(self):
        # The network delivers a copy of the start after everything was forgotten. It
        # must not be recorded as new.
        self.ask(self.issuer)
        freeze(601.0)
        advance(3.0)
        answer = self.witness.witness.record_start(StartRecord(self.ticket))
        self.assertFalse(answer.recorded)

    def test_zone_cut_off_has_no_witness(self):
        # A zone cut off goes on booking, at most once, and says that the outcome
        # would be lost with the issuer.
        self.world.network.partition(["a1"], ["b1", "c1"])
        advance(3.0)
        _, self.ticket = self.issuer.tickets.issue("crews", "orders")
        self.assertEqual(self.ticket.witness, "")
        self.assertEqual(self.ask(self.issuer).state, FINISHED)
        self.assertEqual(self.ask(self.other).state, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    def test_looking_changes_nothing(self):
        look = run_green(lambda: self.other.tickets.query_outcome(self.ticket))
        advance(2.0)
        self.assertEqual(look.value.state, "unused")
        self.assertEqual(self.ask(self.issuer).state, FINISHED)

    def test_looking_after_the_memory(self):
        # The booking ran and was forgotten. To say "not used" would invite a second.
        self.ask(self.issuer)
        freeze(601.0)
        advance(3.0)
        query = OutcomeQuery(self.ticket)
        self.issuer.tickets._run_by_nonce.clear()
        self.assertEqual(self.issuer.tickets.handle_outcome_query(query).state, UNKNOWN)

    def test_full_table_is_no_final_refusal(self):
        # The issuer has no room for the ticket now. "Not run" would be final for its
        # caller, who books anew, and the ticket could still run afterwards.
        runs = self.issuer.tickets._run_by_nonce
        runs.update({f"other{n}": object() for n in range(20_000)})
        self.issuer.tickets._expire_runs = lambda: None
        self.assertEqual(self.ask(self.issuer).state, "busy")
        runs.clear()
        self.assertEqual(self.ask(self.issuer).state, FINISHED)

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
        # A planned stop must not cost the caller its booking.
        self.stop_issuer()
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, FINISHED)
        self.assertEqual(self.ask(self.witness).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_refused_ticket_does_not_run_at_its_witness(self):
        # The issuer could not reach its witness and said "not run". After its stop
        # the witness must not run that ticket; the model checker found this one.
        witness = self.witness.settings.daemon.id
        self.world.network.partition(["a1"], [witness])
        self.assertEqual(self.ask(self.issuer).state, NOT_RUN)
        advance(2.0)
        self.world.network.heal()
        advance(2.0)
        self.stop_issuer()
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_late_start_after_the_handover(self):
        self.stop_issuer()
        answer = self.witness.witness.record_start(StartRecord(self.ticket))
        self.assertFalse(answer.recorded)

    def test_outcomes_survive_the_stop(self):
        self.ask(self.issuer)
        self.stop_issuer()
        self.world.kill("a1")
        self.assertEqual(self.ask(self.other).state, FINISHED)
        self.assertEqual(self.runs(), 1)

    def test_outcome_of_a_sealed_ticket_stays(self):
        sealed = self.witness.witness.cancel_unstarted(self.ticket)
        self.witness.witness.record_outcome(OutcomeRecord(self.ticket, sealed))
        self.assertEqual(self.witness.witness.query_outcome(self.ticket).state, NOT_RUN)
