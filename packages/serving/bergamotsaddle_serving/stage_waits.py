"""Expected times of stages in each zone, and the zone for each of them."""

import math

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Stage
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.stage_owner import StageOwner
from bergamotsaddle_serving.stage_plan import StagePlan
from bergamotsaddle_serving.stage_queue import URGENCIES
from bergamotsaddle_serving.view import View

# What is expected of an owner that has told nothing yet, on top of a call.
_UNKNOWN_S = 0.1
# Another zone must be this much faster for results to cross between zones.
_CROSS_GAIN_S = 0.05
_NO_TARGETS_S = 60.0
# The part of a zone's room that one request may take.
_ROOM_PART = 0.7


class StageWaits:
    """What owners tell of their queues.

    Args:
        view: Targets and services.
        peers: The owners.
        owner: This instance's own queues.
    """

    def __init__(self, view: View, peers: Peers, owner: StageOwner) -> None:
        self._view = view
        self._peers = peers
        self._owner = owner

    def best(self, service: str, zone: str, urgency: int) -> float:
        """Expected seconds of a stage, in its zone or wherever it is done earlier."""
        times = self._times(service, urgency)
        preferred = times.pop(zone, _NO_TARGETS_S)
        other = min(times.values(), default=_NO_TARGETS_S)
        return min(preferred, other + _CROSS_GAIN_S)

    def choose_zone(
        self, service: str, zone: str, urgency: int, plan: StagePlan
    ) -> str:
        """Choose the zone of a stage.

        Answers load that is uneven between zones. Results that cross zones are dear,
        so a stage stays in the zone of its request's engine unless it would be late
        there and is done earlier in another one.
        """
        times = {
            z: t
            for z, t in self._times(service, urgency).items()
            if not plan.is_avoided(service, z)
        }
        if not times:
            return zone
        best = min(times, key=times.__getitem__)
        preferred = times.get(zone)
        if preferred is None or best == zone:
            return best
        slack = plan.slack(now())
        if preferred - times[best] <= max(_CROSS_GAIN_S, slack):
            return zone
        return best

    def spread(
        self, service: str, stage: Stage, count: int, urgency: int, plan: StagePlan
    ) -> list[tuple[str, int]]:
        """Choose the zones of a stage's pieces.

        A target has room for a handful of large results. A stage with more pieces than
        a zone holds at once would wait there for room that it takes up itself, so it
        is spread over as many zones as it needs.

        Returns:
            Zones with the number of pieces for each.
        """
        zone = self.choose_zone(service, plan.zone, urgency, plan)
        times = self._times(service, urgency)
        room = self._room(service, zone, stage)
        others = sorted((z for z in times if z != zone), key=times.__getitem__)
        parts = min(1 + len(others), math.ceil(count / room))
        zones = [zone, *others][:parts]
        share, extra = divmod(count, len(zones))
        return [(z, share + (n < extra)) for n, z in enumerate(zones)]

    def _room(self, service: str, zone: str, stage: Stage) -> int:
        declared = self._view.configuration.services_by_name[service].batching
        targets = sum(k.target.zone == zone for k in self._view.usable(service))
        room = _ROOM_PART * declared.room_bytes * max(1, targets)
        return max(1, int(room / max(1, stage.result_bytes)))

    def _times(self, service: str, urgency: int) -> dict[str, float]:
        zones = {known.target.zone for known in self._view.usable(service)}
        times = {}
        for zone in zones:
            seconds = self._seconds(service, zone, urgency)
            if seconds is not None:
                times[zone] = seconds
        return times

    def _seconds(self, service: str, zone: str, urgency: int) -> float | None:
        owners = rank_owners(self._peers, service, zone)
        if not owners:
            return None
        level = min(urgency, URGENCIES - 1)
        if owners[0] == self._peers.own.id:
            waits = self._owner.waits().get(service)
        else:
            waits = self._peers.by_id[owners[0]].waits.get(service)
        if waits is None:
            return self._unknown(service)
        return waits[level]

    def _unknown(self, service: str) -> float:
        declared = self._view.configuration.services_by_name[service]
        if declared.batching is None:
            return _NO_TARGETS_S
        return declared.batching.seconds(1) + _UNKNOWN_S
