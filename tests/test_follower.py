"""How instances follow changes in the platform's store."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.follower import StoreFollower, StoreResponse, batch_pause
from bergamotsaddle_serving.messages import StorePage, StorePosition
from tests._paused import advance
from tests.test_serving_view import TARGET, at, entry, make_view

RESPONSE_S = 0.004
DRAIN_BOUND_S = 2.0
MIN_OUTAGE_S = 2.4


def page(era, revision, *keys, has_more=False):
    """Return a response with entries of targets."""
    entries = [entry(key, revision, TARGET) for key in keys]
    return StoreResponse(200, StorePage(entries, revision, has_more), era)


class BatchPauseTest(unittest.TestCase):
    """How long an instance collects changes before it reads them."""

    @parameterized.expand([(1, 0.1), (7, 0.105), (20, 0.3), (65, 0.6), (350, 0.6)])
    def test_pause(self, fleet_size, expected):
        self.assertAlmostEqual(batch_pause(fleet_size), expected)


class RolloutTest(unittest.TestCase):
    """A software rollout that replaces half of two hundred targets."""

    def test_a_rollout_does_not_flood_the_store(self):
        """Guards against views that fall behind during a rollout.

        Entries change ten times a second for twenty seconds, and each change wakes the
        watches of all 65 instances. Reading each change by itself would take 650 calls
        a second, a tenth of what the store can serve; it refuses calls beyond that.
        """
        dialect = mock.Mock()
        dialect.read_page.return_value = StorePage([], 1, False)
        view = mock.Mock(position=StorePosition(0, 1), has_snapshot=True)
        view.apply.return_value = True
        view.age.return_value = 0.0
        settings = mock.Mock()
        settings.bounds.change = 3.0
        follower = StoreFollower(settings, dialect, view, lambda: 65, mock.Mock())

        def respond(*_):
            eventlet.sleep(RESPONSE_S)
            return StoreResponse(200, b"")

        def follow():
            while True:
                follower.step()

        with mock.patch.object(follower, "_call", side_effect=respond) as calls:
            thread = eventlet.spawn(follow)
            advance(20.0)
            thread.kill()
        self.assertLess(calls.call_count * 65 / 20.0, 120)


class EraTest(unittest.TestCase):
    """Responses of a store that comes back from an older copy between two calls."""

    def setUp(self):
        self.view = make_view()
        settings = mock.Mock()
        settings.bounds.change = DRAIN_BOUND_S
        settings.store.min_outage = MIN_OUTAGE_S
        dialect = mock.Mock(list_entries=str, watch_entries=lambda after, wait: after)
        dialect.read_page.side_effect = self.read_page
        self.calls = []
        self.follower = StoreFollower(
            settings, dialect, self.view, lambda: 7, mock.Mock()
        )
        self.respond([page(1, 7, "servers/t"), page(1, 7)])
        self.calls.clear()

    def read_page(self, body, era):
        """Decode a page whose entries have no era yet."""
        entries = [listed._replace(era=era) for listed in body.entries]
        return body._replace(entries=entries, era=era)

    def respond(self, responses):
        """Take a step for which the store has some responses."""
        pending = list(responses)

        def call(request, limit):
            self.calls.append(request)
            return pending.pop(0)

        with mock.patch.object(self.follower, "_call", side_effect=call):
            thread = eventlet.spawn(self.follower.step)
            advance(0.5)
            thread.kill()
        return pending

    def read_past(self, *, seconds_an_answer):
        """Read a long history behind a snapshot; return its result and the time."""
        past = mock.Mock()
        past.read.side_effect = lambda entries, revision, watch, *, listed_at: [
            watch(number) for number in range(20)
        ]

        def call(request, limit):
            eventlet.sleep(min(limit, seconds_an_answer))
            return page(1, 8) if request else page(1, 8, "servers/u")

        started_at = now()
        self.follower.past = past
        with mock.patch.object(self.follower, "_call", side_effect=call):
            thread = eventlet.spawn(self.follower._read_snapshot)
            thread.link(lambda _: ended.append(now() - started_at))
            ended = []
            advance(5.0)
        return self.follower._logger.warning.call_count, ended[0]

    @parameterized.expand([("fast", 0.004, 0), ("slow", 0.2, 1)])
    def test_the_history_is_read_for_a_limited_time(self, _, seconds, warnings):
        """Guards against changes that wait until a slow store has told its history."""
        warned, taken = self.read_past(seconds_an_answer=seconds)
        self.assertEqual(warned, warnings)
        self.assertLess(taken, 1.0)

    @parameterized.expand(
        [
            ("lower", 5),
            ("the_same", 7),
            ("higher", 9),
        ]
    )
    def test_a_watch_of_a_new_era_is_followed_by_a_list(self, _, revision):
        """Guards against a view that goes on behind what it never got."""
        watched = page(2, revision, "servers/u")
        left = self.respond([watched, page(2, revision, "servers/v")])
        self.assertEqual(left, [])
        self.assertEqual(self.calls, [7, ""])
        self.assertEqual(self.view.position, (2, revision))
        keys = {e.key for e in self.view.changes_since(at(-1)).entries}
        self.assertEqual(keys, {"servers/v"})

    def test_a_watch_of_a_lost_revision_is_followed_by_one_list(self):
        self.respond([StoreResponse(410, b"", 2), page(2, 5, "servers/v")])
        self.assertEqual(self.calls, [7, ""])
        self.respond([page(2, 6, "servers/w")])
        self.assertEqual(self.calls[2:], [5])

    def test_a_list_of_two_eras_is_begun_anew(self):
        """Guards against a list that mixes what the store had and what it has."""
        pages = [page(2, 5, "servers/a", has_more=True), page(3, 4, "servers/b")]
        again = [page(3, 4, "servers/c", has_more=True), page(3, 4, "servers/d")]
        left = self.respond([StoreResponse(410, b"", 2), *pages, *again])
        self.assertEqual(left, [])
        self.assertEqual(self.calls[1:], ["", "servers/a", "", "servers/c"])
        keys = {e.key for e in self.view.changes_since(at(-1)).entries}
        self.assertEqual(keys, {"servers/c", "servers/d"})
        self.assertEqual(self.view.position, (3, 4))

    @parameterized.expand([("watch", 0), ("list", 1)])
    def test_a_late_response_of_an_earlier_era_changes_nothing(self, _, lists):
        """Guards against a delayed response that takes back what is in force."""
        self.respond([page(3, 4, "servers/c"), page(3, 4, "servers/c")])
        gone = [StoreResponse(410, b"", 3)] * lists
        self.respond([*gone, page(2, 9, "servers/t")])
        keys = {e.key for e in self.view.changes_since(at(-1)).entries}
        self.assertEqual(keys, {"servers/c"})
        self.assertEqual(self.view.position, (3, 4))

    def test_a_short_absence_counts_as_an_outage(self):
        """Guards against targets dropped since the copy has no entry of theirs."""
        self.view.confirm(now())
        self.respond([StoreResponse(410, b"", 2), page(2, 5)])
        self.assertAlmostEqual(self.view.store_regained_at, now(), delta=0.6)


class RemovalTest(unittest.TestCase):
    """Targets that are removed shortly after a call to the store has failed."""

    def setUp(self):
        self.view = make_view()
        self.view.apply([entry("servers/t", 4, TARGET)], at(4), source="test")
        self.view.has_snapshot = True
        settings = mock.Mock()
        settings.bounds.change = DRAIN_BOUND_S
        settings.store.min_outage = MIN_OUTAGE_S
        dialect = mock.Mock()
        dialect.read_page.side_effect = lambda body, era: StorePage([*body], 5)
        self.follower = StoreFollower(
            settings, dialect, self.view, lambda: 7, mock.Mock()
        )

    def follow(self, fail_until):
        """Follow a store that fails until a time and has then removed the target."""

        def respond(*_):
            eventlet.sleep(RESPONSE_S)
            if now() < fail_until:
                raise ConnectionLostError("reset")
            return StoreResponse(200, [entry("servers/t", 5)])

        def run():
            while True:
                self.follower.step()
                self.view.drop_lapsed()

        with mock.patch.object(self.follower, "_call", side_effect=respond):
            thread = eventlet.spawn(run)
            advance(fail_until - now() + DRAIN_BOUND_S)
            thread.kill()
        return [known.target.id for known in self.view.usable("s")]

    def test_a_removal_after_a_cut_watch_takes_effect_within_the_bound(self):
        """Guards against requests to a target that left after a watch was cut."""
        self.view.confirm(now())
        self.assertEqual(self.follow(now() + 0.1), [])

    def test_a_removal_while_peers_confirm_the_view_takes_effect(self):
        """Guards against requests to a target that left while one instance was refused.

        The store refuses this instance for long and serves its peers, so the entry
        has not lapsed in an outage.
        """
        self.view.confirm(now())
        confirming = eventlet.spawn(self.confirm_by_peers)
        self.assertEqual(self.follow(now() + 9.0), [])
        confirming.kill()

    def test_a_removal_in_an_outage_takes_effect_later(self):
        """Guards against dropping all targets whose entries lapse in an outage."""
        self.view.confirm(now())
        self.assertEqual(self.follow(now() + 9.0), ["t"])

    def confirm_by_peers(self):
        """Confirm the view as responses of peers do."""
        while True:
            eventlet.sleep(1.0)
            self.view.confirm(now())
