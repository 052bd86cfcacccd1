"""Tells the other instances which engines are slow."""

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.engine_paces import EnginePaces, Incarnation
from bergamotsaddle_serving.peer_messages import PaceReport
from bergamotsaddle_serving.peers import Peers


class PaceExchange:
    """Sends the observations of this instance to all others, and records theirs.

    A lost report is not repeated: the next request at the engine brings another one.

    Args:
        paces: What is known of the engines' paces.
        peers: The other instances.
    """

    def __init__(self, paces: EnginePaces, peers: Peers) -> None:
        self.paces = paces
        self._peers = peers
        peers.set_handler(PaceReport, lambda report, _: self._record(report))

    def observe(
        self, engine: Incarnation, expected: float, seconds: float, *, is_done: bool
    ) -> None:
        """Record how long an engine has taken, and report it if it is news."""
        slowdown = self.paces.observe(engine, expected, seconds, now(), is_done=is_done)
        if slowdown is None:
            return
        report = PaceReport(*engine, slowdown)
        for peer in self._peers.alive():
            self._peers.send(peer.contact.id, report)

    def _record(self, report: PaceReport) -> None:
        engine = (report.target, report.started_ms)
        self.paces.record(engine, report.slowdown, now())
