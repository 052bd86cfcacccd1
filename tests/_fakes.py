"""Fakes for the interfaces of a daemon: its network, platform and targets."""

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
    """A value that the platform publishes; it may differ for each reader.

    Attributes:
        payload: The published value; empty before the first one.
        down: Whether no reader reaches the platform.
        payload_by_reader: Values that certain readers get instead.
        down_readers: Readers that don't reach the platform.
    """

    def __init__(self) -> None:
        self.payload = b""
        self.down = False
        self.payload_by_reader: dict[str, bytes] = {}
        self.down_readers: set[str] = set()

    def reader(self, name: str) -> "FakeReader":
        """Return the reader of one instance."""
        return FakeReader(self, name)


class FakeReader:
    """Reads a published value at once, where a real service waits for a change."""

    def __init__(self, platform: FakePlatform, name: str) -> None:
        self._platform = platform
        self._name = name

    def read(self, tag: str, wait: float) -> PublishedValue | None:
        """Return the value, or None if it is empty or has the given tag."""
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
    """Carries messages between daemons; links can be cut in one or both directions.

    Attributes:
        daemon_by_address: The daemons that are running.
        cut_links: Ids of sender and receiver of each link that is cut.
        frozen: Ids and addresses of instances that neither send nor receive.
        unanswered_types: Types of messages whose responses are lost.
        held_datagrams: Heartbeats to frozen instances, which were not delivered.
        sent: Sender, address and message of each call.
    """

    def __init__(self) -> None:
        self.daemon_by_address: dict[str, Daemon] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.unanswered_types: set[type] = set()
        self.held_datagrams: list[tuple[Any, str]] = []
        self.sent: list[tuple[str, str, Any]] = []

    def partition(self, group: list[str], other_group: list[str]) -> None:
        """Cut every link between two groups of instances."""
        self.cut_links |= {(one, other) for one in group for other in other_group}
        self.cut_links |= {(other, one) for one in group for other in other_group}

    def heal(self) -> None:
        """Restore every link."""
        self.cut_links.clear()

    def reaches(self, sender: str, address: str) -> bool:
        """Return whether a message from an instance reaches an address."""
        receiver = self.daemon_by_address.get(address)
        if receiver is None or address in self.frozen or sender in self.frozen:
            return False
        return (sender, receiver.settings.daemon.id) not in self.cut_links


class FakeLink:
    """Calls the handlers of one daemon, with messages encoded and decoded."""

    def __init__(self, network: FakeNetwork, sender: str, address: str) -> None:
        self._network = network
        self._sender = sender
        self._address = address

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for its response."""
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
        response = done.wait(timeout=timeout)
        if response is None or type(message) in network.unanswered_types:
            raise PeerUnreachableError("no response in time")
        return decode(encode(response), RESPONSE_BY_QUERY[type(message)])

    def close(self) -> None:
        """Do nothing."""


class FakeHeartbeats:
    """Delivers heartbeats without delay."""

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
    """A target with a published load and a configurable handler of calls.

    Attributes:
        id: Its id in the declaration.
        kind: Its kind in the declaration.
        cold: Whether it reports that it is cold.
        in_flight: Calls that are running.
        max_in_flight: The most calls that were running at the same time.
        calls: Every call that it received.
        seconds: Duration of each call.
        refuses_connections: Whether connections to it fail.
        handle: Returns the reply to a call, or the chunks of a stream.
        is_load_unreadable: Whether reading its load fails.
        models: Models that it reports as loaded; None if it reports none.
    """

    def __init__(self, target_id: str, kind: str) -> None:
        self.id = target_id
        self.kind = kind
        self.cold = False
        self.in_flight = 0
        self.max_in_flight = 0
        self.calls: list[Call] = []
        self.seconds = 0.0
        self.refuses_connections = False
        self.handle: Callable[[Call], Reply] = lambda call: Reply(200, b"{}")
        self.is_load_unreadable = False
        self.models: list[str] | None = None

    def load(self) -> bytes:
        """Return the load report that the target publishes."""
        load = {
            "target": self.id,
            "cold": self.cold,
            "in_flight": self.in_flight,
            "models": self.models,
        }
        return msgspec.json.encode(load)


class FakeConnections(Connections):
    """Sends calls to fake targets."""

    def __init__(self, target_by_address: dict[Address, FakeTarget]) -> None:
        super().__init__()
        self._target_by_address = target_by_address
        self.before_guard: Callable[[], None] = lambda: None

    def post(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Send a call and return its reply."""
        target = self._target_by_address[address]
        if target.refuses_connections:
            raise TargetError("connect: refused", sent=False)
        self.before_guard()
        guard()
        target.calls.append(call)
        target.in_flight += 1
        target.max_in_flight = max(target.max_in_flight, target.in_flight)
        try:
            with eventlet.Timeout(call.deadline - now()):
                eventlet.sleep(target.seconds)
            return target.handle(call)
        except eventlet.Timeout as error:
            raise TargetError(
                "no response in time", sent=True, timed_out=True
            ) from error
        finally:
            target.in_flight -= 1

    def open_stream(self, address: Address, call: Call, guard: Guard) -> "FakeStream":
        """Send a call and return a stream of the chunks that the target returns."""
        target = self._target_by_address[address]
        guard()
        target.calls.append(call)
        return FakeStream(target.handle(call))

    def post_once(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Send a call and return its reply."""
        return self.post(address, call, guard)


class FakeStream:
    """A token stream made from a list of chunks; an exception in it is raised."""

    def __init__(self, chunks: list[bytes | Exception]) -> None:
        self._chunks = list(chunks)
        self.closed = False

    def read_available(self, silence: float) -> bytes:
        """Return the next chunk, or no bytes at the end of the stream."""
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
    """Daemons and targets in three zones, over one fake network.

    Args:
        kinds: Kinds of target; each zone has one target of each kind.
        timing: Lines of the ``[timing]`` section of the daemons' settings.
        daemons_per_zone: Number of entry instances in each zone.
        target_lines: Additional lines of each target's section in the declaration.

    Attributes:
        network: Carries the messages between the daemons.
        config: Publishes the declaration.
        instance_list: Publishes the instance list.
        zone_states: State of each zone in the next declaration.
        targets: Every target by its id.
        target_by_address: Every target by its address.
        daemons: The latest daemon of each id.
        instances: The entry instances in the next instance list.
        list_version: Version of the latest instance list.
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
        self.instance_list = FakePlatform()
        self.kinds = kinds
        self.timing = timing
        self.target_lines = target_lines
        self.zone_states = dict.fromkeys(ZONES, "in")
        self.targets: dict[str, FakeTarget] = {}
        self.target_by_address: dict[Address, FakeTarget] = {}
        for number, zone in enumerate(ZONES):
            for index, kind in enumerate(kinds):
                target = FakeTarget(f"{kind}-{zone}", kind)
                self.targets[target.id] = target
                port = 1000 + 100 * number + index
                self.target_by_address[Address("10.0.0.1", port)] = target
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
        """Add a daemon, which replaces an earlier one of the same name."""
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
            instances=self.instance_list.reader(name),
            link_factory=lambda to: FakeLink(self.network, name, to),
            heartbeats=FakeHeartbeats(self.network, name),
            read_load=self._read_load,
            connections=FakeConnections(self.target_by_address),
        )
        daemon = Daemon(settings, interfaces, _SILENT)
        self.daemons[name] = daemon
        self._started.append(daemon)
        self.network.daemon_by_address[address] = daemon
        return daemon

    def start(self, seconds: float = 3.0) -> None:
        """Start every daemon and advance the clock until they know each other."""
        for daemon in self.daemons.values():
            daemon.spawn()
        advance(seconds)

    def close(self) -> None:
        """Stop every daemon that was added, including replaced and killed ones."""
        self.network.daemon_by_address.clear()
        for daemon in self._started:
            daemon.peers.neighbours = {}
            for thread in daemon.threads:
                thread.kill()
        settle()

    def kill(self, name: str) -> None:
        """Make a daemon unreachable without a planned stop."""
        del self.network.daemon_by_address[self.instances[name].peer_address]

    def declaration(self, revision: int, extra: str = "") -> str:
        """Return the text of a declaration."""
        sections = [f"[declaration]\nname = test\nrevision = {revision}"]
        sections += [
            f"[zone {z}]\nstate = {state}" for z, state in self.zone_states.items()
        ]
        sections += [f"[team crews]\nkey_digests = {digest_key(KEY)}"]
        for address, target in self.target_by_address.items():
            repeatable = "no" if target.kind == "orders" else "yes"
            sections += [
                f"[target {target.id}]\nzone = {target.id[-1]}\nkind = {target.kind}",
                f"address = {address}\nrepeatable = {repeatable}\n{self.target_lines}",
            ]
        return "\n".join([*sections, extra])

    def publish(self, revision: int, extra: str = "") -> None:
        """Publish a declaration, and check that it is valid."""
        self.config.payload = self.declaration(revision, extra).encode()
        parse_declaration(self.config.payload.decode())

    def publish_list(self, leaving: tuple[str, ...] = ()) -> bytes:
        """Publish the instance list and return its encoded form."""
        self.list_version += 1
        by_id = dict(self.instances)
        for target in self.targets.values():
            state = "leaving" if target.id in leaving else "live"
            by_id[target.id] = Instance(target.id, target.id[-1], "target", state, "")
        self.instance_list.payload = encode_instances(
            InstanceList(self.list_version, by_id)
        )
        return self.instance_list.payload

    def set_cold(self, *target_ids: str) -> None:
        """Make targets cold without a report; without arguments, all of them."""
        for target_id in target_ids or self.targets:
            self.targets[target_id].cold = True

    def revisions(self) -> list[int]:
        """Return the revision in force at each daemon."""
        return [d.views.declaration.revision for d in self.daemons.values()]

    def calls(self, kind: str) -> list[Call]:
        """Return every call that targets of a kind received."""
        return [c for t in self.targets.values() if t.kind == kind for c in t.calls]

    def _read_load(self, address: Address) -> bytes:
        target = self.target_by_address[address]
        if target.is_load_unreadable:
            raise OSError("silent")
        return target.load()


def run_green(function: Callable[[], Any]) -> "Result":
    """Run a function in a green thread and return a holder of its result."""
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
    """The result of a function in a green thread.

    Attributes:
        done: Whether the function has returned or raised.
        value: The value that it returned.
        error: The exception that it raised.
    """

    def __init__(self) -> None:
        self.done = False
        self.value: Any = None
        self.error: Exception | None = None
