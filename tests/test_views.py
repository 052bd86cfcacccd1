"""Tests for declarations and lists: they spread in seconds and never go back."""

import unittest

from nose2.tools import params

from bergamotsaddle_contracts.declaration import digest_text
from bergamotsaddle_contracts.messages import Heartbeat
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, freeze


class ConfigurationTest(unittest.TestCase):
    """Three daemons, one in each zone."""

    def setUp(self):
        self.fleet = FakeFleet(("stock",))
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def test_a_revision_is_in_force_within_seconds(self):
        self.fleet.publish(2)
        advance(1.0)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])

    def test_a_revision_spreads_where_the_service_is_unreachable(self):
        # Two of three instances can't reach the service. Operators see the change in
        # force there too, through the third instance.
        self.fleet.config.down_readers = {"b1", "c1"}
        self.fleet.publish(2)
        advance(1.5)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])

    def test_a_revision_spreads_where_the_service_is_stale(self):
        old = self.fleet.config.payload
        self.fleet.config.payload_by_reader = {"b1": old, "c1": old}
        self.fleet.publish(2)
        advance(1.5)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])

    def test_a_service_that_goes_back_is_ignored(self):
        # The service is restored from an old copy. Zones and targets that operators
        # took out of service must not return.
        old = self.fleet.config.payload
        self.fleet.publish(2)
        advance(1.0)
        self.fleet.config.payload = old
        advance(5.0)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])
        views = self.fleet.daemons["a1"].views
        self.assertEqual(views.service_revision, 1)

    @params(False, True)
    def test_two_operators_at_one_revision(self, swapped):
        # Two operators publish different files as revision 2, and instances differ in
        # the file that they read first. All must agree on one file and report the
        # conflict.
        first = self.fleet.declaration(2, "\n").encode()
        second = self.fleet.declaration(2, "\n\n").encode()
        if swapped:
            first, second = second, first
        self.fleet.config.payload_by_reader = {"a1": first, "b1": second, "c1": first}
        advance(3.0)
        digests = {d.views.declaration.digest for d in self.fleet.daemons.values()}
        expected = max(digest_text(text.decode()) for text in (first, second))
        self.assertEqual(digests, {expected})
        self.assertTrue(
            any(d.views.revision_conflict for d in self.fleet.daemons.values())
        )
        self.fleet.config.payload_by_reader = {}
        self.fleet.publish(3)
        advance(2.0)
        self.assertFalse(
            any(d.views.revision_conflict for d in self.fleet.daemons.values())
        )

    def test_an_invalid_declaration_is_rejected_completely(self):
        self.fleet.config.payload = self.fleet.declaration(
            2, "[team new]\nshare = 0\nkey_digests = x"
        ).encode()
        advance(2.0)
        self.assertEqual(self.fleet.revisions(), [1, 1, 1])
        rejected_faults = self.fleet.daemons["a1"].views.rejected_faults
        self.assertEqual(
            [fault.key for fault in rejected_faults], ["share", "key_digests"]
        )
        self.fleet.publish(3)
        advance(1.0)
        self.assertEqual(self.fleet.revisions(), [3, 3, 3])
        self.assertEqual(self.fleet.daemons["a1"].views.rejected_faults, [])

    def test_an_instance_that_was_cut_off_gets_the_change(self):
        # An instance is cut off from all other instances while a change is published.
        # When it returns it must apply the change and not spread its own old state.
        self.fleet.network.partition(["c1"], ["a1", "b1"])
        self.fleet.config.down_readers = {"c1"}
        self.fleet.publish(2)
        advance(5.0)
        self.assertEqual(self.fleet.revisions(), [2, 2, 1])
        self.fleet.network.heal()
        advance(1.5)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])

    def test_a_replaced_instance_starts_with_a_stale_service(self):
        # An instance is replaced while the service returns an old declaration. It must
        # not serve before it has heard from its peers, or callers see the old state.
        old = self.fleet.config.payload
        self.fleet.publish(2)
        advance(1.0)
        self.fleet.config.payload = old
        self.fleet.kill("c1")
        replacement = self.fleet.add_daemon("c1", "c")
        self.fleet.publish_list()
        seen: list[tuple[bool, int]] = []
        replacement.spawn()
        for _ in range(60):
            advance(0.05)
            seen.append(
                (replacement.is_ready(), replacement.views.declaration.revision)
            )
        self.assertIn((True, 2), seen)
        self.assertNotIn((True, 1), seen)

    def test_not_ready_while_a_peer_is_known_to_have_a_newer_one(self):
        # A heartbeat reports a newer declaration while the declaration of another peer
        # is being fetched. The instance is not up to date when that fetch is done.
        self.fleet.kill("c1")
        replacement = self.fleet.add_daemon("c1", "c")
        self.fleet.publish_list()
        replacement.spawn()
        advance(1.0)
        self.assertTrue(replacement.peers.is_caught_up())
        replacement.peers.by_id["b1"].revision = 9
        self.assertFalse(replacement.peers.is_caught_up())

    def test_an_instance_with_silent_peers_becomes_ready(self):
        # A complete zone starts cut off from the other zones. It serves what it can.
        self.fleet.network.partition(["c1"], ["a1", "b1"])
        self.fleet.kill("c1")
        replacement = self.fleet.add_daemon("c1", "c")
        self.fleet.publish_list()
        replacement.spawn()
        advance(1.0)
        self.assertFalse(replacement.is_ready())
        advance(2.0)
        self.assertTrue(replacement.is_ready())

    def test_an_older_list_is_not_applied(self):
        old = self.fleet.instance_list.payload
        self.fleet.publish_list()
        advance(1.0)
        self.fleet.instance_list.payload = old
        advance(1.0)
        versions = [d.views.instances.version for d in self.fleet.daemons.values()]
        self.assertEqual(versions, [2, 2, 2])

    def test_a_malformed_list_changes_nothing(self):
        self.fleet.instance_list.payload = b'{"version": "x"}'
        advance(1.0)
        daemon = self.fleet.daemons["a1"]
        self.assertEqual(daemon.views.instances.version, 1)
        self.assertIn("version", daemon.platform.instances_error)


class FreshnessTest(unittest.TestCase):
    """Detection of stale views."""

    def setUp(self):
        self.fleet = FakeFleet(("stock",))
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.daemon = self.fleet.daemons["a1"]

    def test_views_are_fresh_while_a_peer_is_reachable(self):
        self.fleet.config.down = True
        advance(20.0)
        self.assertFalse(self.daemon.views.is_stale())

    def test_views_are_stale_when_cut_off(self):
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(8.0)
        self.assertTrue(self.daemon.views.is_stale())

    def test_datagrams_from_before_a_pause_confirm_nothing(self):
        # Heartbeats wait in the socket while the process is paused. When they are read
        # after the pause they look new and would make a stale view look confirmed.
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        peer = self.daemon.peers.by_id["b1"]
        delayed = Heartbeat(
            "b1",
            peer.incarnation,
            peer.clock + 0.1,
            self.daemon.peers._make_heartbeat(peer).clock,
            self.daemon.incarnation,
            0.0,
            1,
            self.daemon.views.declaration.digest,
            1,
            False,
            True,
            (),
        )
        freeze(30.0)
        self.daemon.peers.handle_heartbeat(delayed)
        self.assertTrue(self.daemon.views.is_stale())

    def test_a_peer_that_was_paused_confirms_nothing(self):
        # Both instances were paused, as on one machine. The peer's heartbeat is new but
        # its views are as old as the pause.
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["c1"])
        peer = self.daemon.peers.by_id["b1"]
        freeze(30.0)
        heartbeat = self.daemon.peers._make_heartbeat(peer)
        self.daemon.peers.handle_heartbeat(
            heartbeat._replace(
                sender="b1",
                echo=heartbeat.clock,
                echo_incarnation=self.daemon.incarnation,
                platform_query_age=30.5,
            )
        )
        self.assertTrue(self.daemon.views.is_stale())

    def test_an_echo_of_an_earlier_process_confirms_nothing(self):
        # Peers echo the clock of this instance's earlier process, which may have
        # been far ahead on another machine.
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(10.0)
        self.daemon.peers.handle_heartbeat(
            Heartbeat("b1", "x", 1.0, 9e9, "earlier", 0.0, 1, "", 1, False, True, ())
        )
        self.assertTrue(self.daemon.views.is_stale())

    def test_a_heartbeat_of_an_unknown_instance_is_ignored(self):
        self.daemon.peers.handle_heartbeat(
            Heartbeat("zz", "x", 1.0, 0.0, "", 0.0, 99, "f" * 32, 99, False, True, ())
        )
        advance(1.0)
        self.assertEqual(self.daemon.views.declaration.revision, 1)

    def test_an_instance_waits_for_fresh_views_after_a_pause(self):
        freeze(30.0)
        result = run_green(lambda: self.daemon.views.wait_until_fresh(2.0))
        advance(1.0)
        self.assertTrue(result.value)

    def test_a_cut_off_instance_waits_once_and_not_in_each_call(self):
        # A zone's only instance is cut off from all other instances. Waiting half a
        # second in each stage would use up its callers' deadlines for nothing.
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(8.0)
        first = run_green(lambda: self.daemon.views.wait_until_fresh(0.5))
        self.assertFalse(first.done)
        advance(0.6)
        second = run_green(lambda: self.daemon.views.wait_until_fresh(0.5))
        self.assertTrue(second.done)

    def test_an_instance_waits_again_after_a_pause(self):
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(8.0)
        run_green(lambda: self.daemon.views.wait_until_fresh(0.5))
        advance(0.6)
        freeze(30.0)
        again = run_green(lambda: self.daemon.views.wait_until_fresh(0.5))
        self.assertFalse(again.done)
