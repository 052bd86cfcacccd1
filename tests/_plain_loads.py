"""Replays loads of one plain service before few targets, without a network."""

import random
import statistics
from bisect import bisect_right
from types import SimpleNamespace
from typing import NamedTuple

import eventlet

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.decisions.plain_queue import Applicant, Place, PlainQueue
from bergamotsaddle_serving.decisions.target_slowdowns import TargetSlowdowns
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import TargetLoad
from bergamotsaddle_serving.selector import Selector
from tests._paused import advance, use_paused_clock

ONE_WAY_S = 0.0014
WORK_S = 0.045
QUICK_S = 0.006
SLOTS = 6
HEARTBEAT_S = 0.4
NOISE_S = 0.6
NOISE_FACTOR = 2.5
_ZONES = "abc"


class NoisyTarget:
    """A target with slots and a queue whose work slows down with its machine.

    Args:
        number: Number of the target.
        noise: Fraction of the time in which its machine is noisy.
        seed: Seed of the noise.

    Attributes:
        max_held: Most requests that it had at once.
        served: Number of requests that it got.
    """

    def __init__(self, number, *, noise=0.0, seed=0):
        self.target = Target(
            f"t{number}", "s", Address("10.0.0.1", number), _ZONES[number % 3], SLOTS
        )
        self._noisy_from = []
        if noise:
            rng = random.Random(f"{seed} {number}")
            quiet = NOISE_S * (1 - noise) / noise
            at = now() + rng.uniform(0.0, quiet)
            while at < now() + 120.0:
                self._noisy_from.append(at)
                at += NOISE_S + rng.uniform(0.5 * quiet, 1.5 * quiet)
        self._slots = eventlet.semaphore.Semaphore(SLOTS)
        self.held = 0
        self.max_held = 0
        self.served = 0

    def slowdown(self):
        """Return the multiple of the usual time that work takes now."""
        number = bisect_right(self._noisy_from, now())
        is_noisy = number > 0 and now() < self._noisy_from[number - 1] + NOISE_S
        return NOISE_FACTOR if is_noisy else 1.0

    def run(self, work=WORK_S):
        """Run a request of some seconds of work; return what the response reports."""
        self.held += 1
        self.served += 1
        self.max_held = max(self.max_held, self.held)
        with self._slots:
            left = work
            while left > 1e-9:
                slowdown = self.slowdown()
                step = min(left * slowdown, self._until_change())
                eventlet.sleep(step)
                left -= step / slowdown
        self.held -= 1
        waiting = max(0, self.held - SLOTS)
        return TargetLoad(min(self.held, SLOTS), waiting, SLOTS, self.slowdown())

    def _until_change(self):
        at = now() + 1e-9
        number = bisect_right(self._noisy_from, at)
        if number and at < self._noisy_from[number - 1] + NOISE_S:
            return max(1e-6, self._noisy_from[number - 1] + NOISE_S - at)
        if number == len(self._noisy_from):
            return float("inf")
        return max(1e-6, self._noisy_from[number] - at)


class Reply(NamedTuple):
    """How one request ended.

    Attributes:
        sent_at: When its caller sent it.
        seconds: Seconds until its end.
        is_refused: Whether it was refused.
        retry_after: Seconds after which its caller may return.
        route: Name of its route.
    """

    sent_at: float
    seconds: float
    is_refused: bool = False
    retry_after: float = 0.0
    route: str = "usual"


class JointPlacement:
    """Places requests by the decisions of an owner a round trip away.

    Args:
        targets: The targets.
        report_age: Age of the reports in seconds, None if there are no reports.
        objective: Seconds within which a request is on time.
        deadline: Seconds after which its caller gives up.
        lie: Slowdown that the first target reports, None for the true one.
        quick: Fraction of the requests that come by a route with little work.
    """

    def __init__(
        self,
        targets,
        *,
        report_age=0.0,
        objective=0.274,
        deadline=1.318,
        lie=None,
        quick=0.0,
    ):
        self._quick = quick
        self._targets = {t.target.id: t for t in targets}
        self._places = [
            Place(t.target.id, t.target.incarnation, t.target.zone, SLOTS)
            for t in targets
        ]
        self._lie = lie
        self._age = report_age
        self._objective = objective
        self._deadline = deadline
        self.slowdowns = TargetSlowdowns()
        self.queue = PlainQueue(self.slowdowns)
        self._event_by_key = {}
        self._number = 0

    def serve(self, instance, *, urgency=0, team=""):
        """Serve one request and return how it ended."""
        sent_at = now()
        route = "usual"
        if self._quick and random.random() < self._quick:
            route = "quick"
        self._number += 1
        key = (f"i{instance}", self._number)
        eventlet.sleep(ONE_WAY_S)
        applicant = Applicant(
            key,
            f"r{self._number}",
            _ZONES[instance % 3],
            urgency,
            team,
            sent_at + self._objective,
            sent_at + self._deadline,
        )
        self._renew()
        outcome = self.queue.admit(applicant, self._places)
        if outcome is None:
            event = self._event_by_key[key] = eventlet.event.Event()
            outcome = event.wait()
        eventlet.sleep(ONE_WAY_S)
        if not outcome.target:
            return Reply(sent_at, now() - sent_at, True, outcome.retry_after)
        target = self._targets[outcome.target]
        started_at = now()
        eventlet.sleep(ONE_WAY_S)
        load = target.run(QUICK_S if route == "quick" else WORK_S)
        eventlet.sleep(ONE_WAY_S)
        reply = Reply(sent_at, now() - sent_at, route=route)
        seconds = now() - started_at
        eventlet.spawn_after(ONE_WAY_S, self._end, key, seconds, load, route)
        return reply

    def tick(self):
        """Renew the queue regularly."""
        while True:
            eventlet.sleep(0.02)
            self._renew()

    def _end(self, key, seconds, load, route):
        place = self.queue.end(key)
        slowdown = load.slowdown if self._age is not None else None
        if self._lie is not None and place is self._places[0]:
            slowdown = self._lie
        self._renew()
        if place is None:
            return
        if not self._age:
            self._learn(place, seconds, slowdown, route)
        else:
            eventlet.spawn_after(self._age, self._learn, place, None, slowdown, route)
            self._learn(place, seconds, None, route)

    def _learn(self, place, seconds, slowdown, route):
        age = self._age or 0.0
        self.slowdowns.record(
            place.incarnation, seconds=seconds, slowdown=slowdown, age=age, route=route
        )

    def _renew(self):
        for outcome in self.queue.renew(self._places):
            self._event_by_key.pop(outcome.applicant.key).send(outcome)


class LocalChoice:
    """Lets each instance choose by itself, as instances without an owner do.

    Args:
        targets: The targets.
        size: Number of instances.
    """

    def __init__(self, targets, *, size):
        self._targets = {t.target.id: t for t in targets}
        self._selectors = []
        self._healths = []
        self._running = [{} for _ in range(size)]
        view = SimpleNamespace(
            usable=lambda service: [SimpleNamespace(target=t.target) for t in targets],
            is_cold=lambda known, **_: False,
        )
        for number in range(size):
            health = Health()
            totals = SimpleNamespace(
                running=dict.fromkeys(self._targets, 0),
                prefill_tokens=dict.fromkeys(self._targets, 0),
            )
            peers = SimpleNamespace(
                totals=lambda totals=totals: totals,
                own=SimpleNamespace(zone=_ZONES[number % 3]),
            )
            selector = Selector(
                view,
                health,
                peers,
                None,
                SimpleNamespace(is_lost=lambda zone: False),
                SimpleNamespace(wait=lambda target: 0.0),
                notices=SimpleNamespace(has_room=lambda target, requests: True),
            )
            self._selectors.append(selector)
            self._healths.append(health)
            eventlet.spawn_after(
                random.random() * HEARTBEAT_S, self._hear, number, totals
            )

    def serve(self, instance, **_):
        """Serve one request and return how it ended."""
        sent_at = now()
        candidate = self._selectors[instance].pick("s", set())
        state = candidate.state
        state.in_flight += 1
        started_at = now()
        eventlet.sleep(ONE_WAY_S)
        load = self._targets[candidate.target.id].run()
        eventlet.sleep(ONE_WAY_S)
        state.in_flight -= 1
        state.record_load(load)
        state.record_success(now() - started_at)
        return Reply(sent_at, now() - sent_at)

    def _hear(self, number, totals):
        while True:
            totals.running.update(dict.fromkeys(self._targets, 0))
            for other, health in enumerate(self._healths):
                for name, running in health.running().items():
                    totals.running[name] += running if other != number else 0
            eventlet.sleep(HEARTBEAT_S)


def replay(make, *, arrivals, noise=0.0, seed=1, size=75):
    """Send requests from many instances and wait for all of them to end.

    Args:
        make: Returns the placement, given the targets.
        arrivals: Seconds between the requests, as pairs of a rate and a duration.
        noise: Fraction of the time in which each target's machine is noisy.
        seed: Seed of the replay.
        size: Number of instances.

    Returns:
        The targets, the replies, and the placement.
    """
    use_paused_clock()
    random.seed(seed)
    rng = random.Random(seed)
    targets = [NoisyTarget(n, noise=noise, seed=seed) for n in range(3)]
    placement = make(targets)
    replies = []

    def serve():
        replies.append(placement.serve(rng.randrange(size)))

    def send():
        for rate, seconds in arrivals:
            end = now() + seconds
            while now() < end:
                eventlet.spawn_n(serve)
                eventlet.sleep(rng.expovariate(rate))

    eventlet.spawn_n(send)
    eventlet.spawn_n(getattr(placement, "tick", lambda: None))
    for _ in range(10 * (2 + round(sum(seconds for _, seconds in arrivals)))):
        advance(0.1)
    return targets, replies, placement


def percentile(values, fraction):
    """Return a percentile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def mean(values):
    """Return the mean of some values."""
    return statistics.fmean(values)
