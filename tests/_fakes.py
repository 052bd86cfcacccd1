"""Small fakes at a daemon's interfaces: network, platform and targets."""

from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
import structlog
from eventlet.event import Event

from bergamotsaddle_contracts.declaration import digest_key
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.errors import (
    PeerUnreachableError,
    PlatformUnreachableError,
    TargetError,
)
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.instances import Instance, InstanceList, encode_instances
from bergamotsaddle_contracts.messages import RESPONSE_BY_QUERY, decode, encode
from bergamotsaddle_daemon.calls import Call, Connections, Guard, Reply
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.daemon import Daemon, Interfaces
from bergamotsaddle_daemon.platform import PublishedValue
from bergamotsaddle_daemon.settings import parse_settings
from tests._paused import advance, settle

_SILENT = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.BoundLogger, processors=[]
)
KEY = "crew key"
ZONES = ("a", "b", "c")


class FakePlatform:
    """What the platform publishes, per reader if need be."""

    def __init__(self) -> None:
        self.payload = b""
        self.down = False
        self.payload_by_reader: dict[str, bytes] = {}
        self.down_readers: set[str] = set()

    def reader(self, name: str) -> "FakeReader":
        """Make the reader of one instance."""
        return FakeReader(self, name)


class FakeReader:
    """Answers at once; a real service would hold the watch."""

    def __init__(self, platform: FakePlatform, name: str) -> None:
        self._platform = platform
        self._name = name

    def read(self, tag: str, wait: float) -> PublishedValue | None:
        """Read the value."""
        platform = self._platform
        eventlet.sleep(0)
        if platform.down or self._name in platform.down_readers:
            raise PlatformUnreachableError("down")
        payload = platform.payload_by_reader.get(self._name, platform.payload)
        if not payload:
            return None
        return (
            None
            if tag == str(hash(payload))
            else PublishedValue(str(hash(payload)), payload)
        )


class FakeNetwork:
    """Carries messages between daemons; links can be cut, one way or both."""

    def __init__(self) -> None:
        self.daemon_by_address: dict[str, Daemon] = {}
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.lose_answers: set[type] = set()
        self.held_datagrams: list[tuple[Any, str]] = []
        self.sent: list[tuple[str, str, Any]] = []

    def separate(self, ones: list[str], others: list[str]) -> None:
        """Cut every link between two groups."""
        self.cut |= {(one, other) for one in ones for other in others}
        self.cut |= {(other, one) for one in ones for other in others}

    def heal(self) -> None:
        """Mend every link."""
        self.cut.clear()

    def reaches(self, sender: str, address: str) -> bool:
        """Tell whether a message from one instance gets to an address."""
        receiver = self.daemon_by_address.get(address)
        if receiver is None or address in self.frozen or sender in self.frozen:
            return False
        return (sender, receiver.settings.daemon.id) not in self.cut


class FakeLink:
    """Calls one daemon directly, through the codec."""

    def __init__(self, network: FakeNetwork, sender: str, address: str) -> None:
        self._network = network
        self._sender = sender
        self._address = address

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for its answer."""
        network = self._network
        network.sent.append((self._sender, self._address, message))
        if not network.reaches(self._sender, self._address):
            eventlet.sleep(timeout)
            raise PeerUnreachableError("cut")
        daemon = network.daemon_by_address[self._address]
        received = decode(encode(message), type(message))
        done = Event()

        def serve() -> None:
            done.send(daemon.handlers()[type(message)](received))

        eventlet.spawn_n(serve)
        answer = done.wait(timeout=timeout)
        if answer is None or type(message) in network.lose_answers:
            raise PeerUnreachableError("no answer in time")
        return decode(encode(answer), RESPONSE_BY_QUERY[type(message)])

    def close(self) -> None:
        """Do nothing."""


class FakeHeartbeats:
    """Delivers heartbeats at once."""

    def __init__(self, network: FakeNetwork, sender: str) -> None:
        self._network = network
        self._sender = sender

    def send(self, heartbeat: Any, address: str) -> None:
        """Send one heartbeat."""
        network = self._network
        if address in network.frozen:
            network.held_datagrams.append((heartbeat, address))
            return
        if network.reaches(self._sender, address):
            network.daemon_by_address[address].peers.handle_heartbeat(heartbeat)


class FakeTarget:
    """One target: its load, and what it does with a call."""

    def __init__(self, target_id: str, kind: str) -> None:
        self.id = target_id
        self.kind = kind
        self.cold = False
        self.in_flight = 0
        self.most_in_flight = 0
        self.calls: list[Call] = []
        self.seconds = 0.0
        self.refuses_connections = False
        self.handle: Callable[[Call], Reply] = lambda call: Reply(200, b"{}")
        self.load_silent = False
        self.models: list[str] | None = None

    def load(self) -> bytes:
        """What it publishes of its load."""
        load = {
            "target": self.id,
            "cold": self.cold,
            "in_flight": self.in_flight,
            "models": self.models,
        }
        return msgspec.json.encode(load)


class FakeConnections(Connections):
    """Calls fake targets."""

    def __init__(self, target_by_address: dict[Address, FakeTarget]) -> None:
        super().__init__()
        self._target_by_address = target_by_address
        self.before_guard: Callable[[], None] = lambda: None

    def post(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post and return the answer."""
        target = self._target_by_address[address]
        if target.refuses_connections:
            raise TargetError("connect: refused", sent=False)
        self.before_guard()
        guard()
        target.calls.append(call)
        target.in_flight += 1
        target.most_in_flight = max(target.most_in_flight, target.in_flight)
        try:
            with eventlet.Timeout(call.deadline - now()):
                eventlet.sleep(target.seconds)
            return target.handle(call)
        except eventlet.Timeout as error:
            raise TargetError("no answer in time", sent=True, timed_out=True) from error
        finally:
            target.in_flight -= 1

    def open_stream(self, address: Address, call: Call, guard: Guard) -> "FakeStream":
        """Post and return the stream that the target's ``handle`` makes."""
        target = self._target_by_address[address]
        guard()
        target.calls.append(call)
        return FakeStream(target.handle(call))

    def post_once(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post and return the answer."""
        return self.post(address, call, guard)


class FakeStream:
    """A token stream given as a list of chunks; an exception in it is raised."""

    def __init__(self, chunks: list[bytes | Exception]) -> None:
        self._chunks = list(chunks)
        self.closed = False

    def read_available(self, silence: float) -> bytes:
        """Read the next chunk; none are left at the end."""
        if not self._chunks:
            return b""
        chunk = self._chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def close(self) -> None:
        """Close the stream."""
        self.closed = True


class FakeFleet:
    """Some daemons in three zones over one fake network.

    Args:
        kinds: Kinds of target, one of each in each zone.
        timing: Lines of the ``[timing]`` section.
        daemons_per_zone: Entry instances in each zone.
        target_lines: Further lines of each target's declaration.
    """

    def __init__(
        self,
        kinds: tuple[str, ...] = ("orders", "stock"),
        *,
        timing: str = "",
        daemons_per_zone: int = 1,
        target_lines: str = "",
    ) -> None:
        self.network = FakeNetwork()
        self.config = FakePlatform()
        self.list = FakePlatform()
        self.kinds = kinds
        self.timing = timing
        self.target_lines = target_lines
        self.zone_states = dict.fromkeys(ZONES, "in")
        self.targets: dict[str, FakeTarget] = {}
        self.by_address: dict[Address, FakeTarget] = {}
        for number, zone in enumerate(ZONES):
            for index, kind in enumerate(kinds):
                target = FakeTarget(f"{kind}-{zone}", kind)
                self.targets[target.id] = target
                port = 1000 + 100 * number + index
                self.by_address[Address("10.0.0.1", port)] = target
        self.daemons: dict[str, Daemon] = {}
        self._started: list[Daemon] = []
        self.instances: dict[str, Instance] = {}
        self.list_version = 0
        for zone in ZONES:
            for number in range(1, daemons_per_zone + 1):
                self.add_daemon(f"{zone}{number}", zone)
        self.publish(1)
        self.publish_list()

    def add_daemon(self, name: str, zone: str) -> Daemon:
        """Start a daemon, in place of an earlier one of the same name."""
        address = f"10.1.0.{len(self.instances) + 1}:7000"
        self.instances[name] = Instance(name, zone, "entry", "live", address)
        settings = parse_settings(
            f"[daemon]\nid = {name}\nzone = {zone}\n"
            f"peer_key = 0123456789abcdef\n"
            "[platform]\nconfig_address = 10.0.0.2:80\n"
            f"instances_address = 10.0.0.2:81\n[timing]\n{self.timing}\n"
        )
        interfaces = Interfaces(
            config=self.config.reader(name),
            instances=self.list.reader(name),
            link_factory=lambda to: FakeLink(self.network, name, to),
            heartbeats=FakeHeartbeats(self.network, name),
            read_load=self._read_load,
            connections=FakeConnections(self.by_address),
        )
        daemon = Daemon(settings, interfaces, _SILENT)
        self.daemons[name] = daemon
        self._started.append(daemon)
        self.network.daemon_by_address[address] = daemon
        return daemon

    def start(self, seconds: float = 3.0) -> None:
        """Start every daemon and let them hear each other."""
        for daemon in self.daemons.values():
            daemon.spawn()
        advance(seconds)

    def close(self) -> None:
        """End every daemon that was ever started."""
        self.network.daemon_by_address.clear()
        for daemon in self._started:
            daemon.peers.neighbours = {}
            for thread in daemon.threads:
                thread.kill()
        settle()

    def kill(self, name: str) -> None:
        """End a daemon without a word."""
        del self.network.daemon_by_address[self.instances[name].peer_address]

    def declaration(self, revision: int, extra: str = "") -> str:
        """A declaration's text."""
        parts = [f"[declaration]\nname = test\nrevision = {revision}"]
        parts += [
            f"[zone {z}]\nstate = {state}" for z, state in self.zone_states.items()
        ]
        parts += [f"[team crews]\nkey_digests = {digest_key(KEY)}"]
        for address, target in self.by_address.items():
            repeatable = "no" if target.kind == "orders" else "yes"
            parts += [
                f"[target {target.id}]\nzone = {target.id[-1]}\nkind = {target.kind}",
                f"address = {address}\nrepeatable = {repeatable}\n{self.target_lines}",
            ]
        return "\n".join([*parts, extra])

    def publish(self, revision: int, extra: str = "") -> None:
        """Publish a declaration."""
        self.config.payload = self.declaration(revision, extra).encode()
        parse_declaration(self.config.payload.decode())

    def publish_list(self, leaving: tuple[str, ...] = ()) -> bytes:
        """Publish the instance list."""
        self.list_version += 1
        by_id = dict(self.instances)
        for target in self.targets.values():
            state = "leaving" if target.id in leaving else "live"
            by_id[target.id] = Instance(target.id, target.id[-1], "target", state, "")
        self.list.payload = encode_instances(InstanceList(self.list_version, by_id))
        return self.list.payload

    def set_cold(self, *target_ids: str) -> None:
        """Have targets turn cold without a word; none named means all."""
        for target_id in target_ids or self.targets:
            self.targets[target_id].cold = True

    def revisions(self) -> list[int]:
        """Revision in force at each daemon."""
        return [d.views.declaration.revision for d in self.daemons.values()]

    def calls(self, kind: str) -> list[Call]:
        """Every call that any target of a kind got."""
        return [c for t in self.targets.values() if t.kind == kind for c in t.calls]

    def _read_load(self, address: Address) -> bytes:
        target = self.by_address[address]
        if target.load_silent:
            raise OSError("silent")
        return target.load()


def run_green(function: Callable[[], Any]) -> "Result":
    """Run a function in a green thread and keep its result."""
    result = Result()

    def run() -> None:
        try:
            result.value = function()
        except Exception as error:
            result.error = error
        result.done = True

    eventlet.spawn_n(run)
    settle()
    return result


class Result:
    """What a green thread came to."""

    def __init__(self) -> None:
        self.done = False
        self.value: Any = None
        self.error: Exception | None = None
