"""Crashes of many targets at one moment, in a fleet whose links have a rate."""

import random
import unittest

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

FATAL = b"/fatal"
SIZE = 66
TARGETS = 48
CRASHED = 12
TOPICS = 200
STORMS = 3
STORM_EVERY_S = 2.0
STEP_S = 0.01
FATAL_EVERY = 40
# Rate of the link of an instance, and how many seconds of it wait without loss.
LINK_BYTES_PER_S = 1_250_000.0
LINK_QUEUE_S = 0.1
# Facts must leave room for the requests themselves.
MAX_LINK_FRACTION = 0.5
MAX_CRASHES = 3
MIN_BEGUN = 0.9


class Link:
    """The outgoing link of an instance, which loses what does not fit its queue.

    Args:
        peers: Peers of the instance.
    """

    def __init__(self, peers):
        self._transmit = peers._transmit
        self._free_at = 0.0
        self.lost = 0
        self.bytes_by_step = {}

    def carry(self, sender, host, data):
        """Carry a datagram or lose it."""
        at = now()
        self._free_at = max(at, self._free_at)
        if self._free_at - at > LINK_QUEUE_S:
            self.lost += 1
            return
        self._free_at += len(data) / LINK_BYTES_PER_S
        step = int(at / LINK_QUEUE_S)
        self.bytes_by_step[step] = self.bytes_by_step.get(step, 0) + len(data)
        self._transmit(sender, host, data)

    @property
    def highest_fraction(self):
        """Highest fraction of the rate that was used for a moment."""
        most = max(self.bytes_by_step.values(), default=0)
        return most / (LINK_BYTES_PER_S * LINK_QUEUE_S)


class CrashStormTest(unittest.TestCase):
    """A loaded fleet of instances, engines that crash at once, a fatal request."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(58)
        self.fleet = VirtualFleet(SIZE, targets=TARGETS)
        self.fleet.start()
        advance(2.0)
        self.links = [Link(peers) for peers in self.fleet.peers]
        for link, peers in zip(self.links, self.fleet.peers, strict=True):
            peers._transmit = link.carry
        self.sound = []

    def run_load(self, seconds):
        """Send sound requests for some seconds, and a fatal one now and then."""
        for step in range(round(seconds / STEP_S)):
            path = b"/own/%d" % len(self.sound)
            self.sound.append(self.send(path))
            if step % FATAL_EVERY == 0:
                self.send(FATAL)
            advance(STEP_S)

    def send(self, path):
        # Requests about one topic share the beginning of their prompts.
        prompt = [f"topic{random.randrange(TOPICS)}", "own"]
        return self.fleet.send_request(
            random.randrange(SIZE), path, b"body", prompt=prompt
        )

    def crash_some(self):
        """Crash a part of the engines that are up, all at one moment."""
        up = [target for target in self.fleet.targets if target.is_up]
        for target in random.sample(up, min(CRASHED, len(up))):
            self.fleet.targets.crash(target, target.incarnation)

    def test_facts_of_crashes_leave_the_links_to_requests(self):
        """Guards against facts that fill links, so that other datagrams are lost."""
        self.fleet.targets.fatal_paths.add(FATAL)
        self.run_load(1.0)
        for _ in range(STORMS):
            self.crash_some()
            self.run_load(STORM_EVERY_S)
        self.assertEqual(sum(link.lost for link in self.links), 0)
        highest = max(link.highest_fraction for link in self.links)
        self.assertLess(highest, MAX_LINK_FRACTION)
        crash_times = self.fleet.targets.fatal_crash_times
        self.assertEqual(len(crash_times), MAX_CRASHES)
        begun = [caller.status == 200 for caller in self.sound]
        self.assertGreater(sum(begun) / len(begun), MIN_BEGUN)
