"""A complete deployment on loopback: platform, targets and daemons as processes."""

import resource
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import eventlet
import msgspec
import urllib3
from eventlet.green import subprocess

from bergamotsaddle_contracts.declaration import digest_key
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.targets import TargetSpec

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
_PEER_KEY = "only-for-loopback-demonstrations"
_POLL_S = 0.05
ZONES = ("mid-a", "mid-b", "mid-c")
TEAMS = {"barge-crews": 3, "farm-managers": 3, "skippers": 1}
PIPELINE = "feeding-plan"
MODEL = "plan-7b"

_http = urllib3.PoolManager(maxsize=4, retries=False)


class FleetSpec(NamedTuple):
    """Configuration of a deployment.

    Attributes:
        zones: Names of its availability zones.
        daemons: Daemons in each zone.
        targets: Targets of each zone; ``{zone}`` in an id is replaced by the zone.
        list_lag: Lag of the instance list in seconds.
        timing: Timing settings that differ from the defaults, as in the INI file.
        limits: Limits that differ from the defaults.
        policies: Policies that differ from the defaults.
        deadline: Deadline of the pipeline.
        relayed: Whether each daemon's peer address is a relay that can be cut.
        descriptors: Limit on the open descriptors of each daemon, None to leave it.
    """

    zones: tuple[str, ...] = ZONES
    daemons: int = 1
    targets: tuple[TargetSpec, ...] = (
        TargetSpec("encode-{zone}", "encode"),
        TargetSpec("retrieve-{zone}", "retrieve"),
        TargetSpec("rerank-{zone}", "rerank"),
        TargetSpec("engine-{zone}", "generate", slots=16),
        TargetSpec("orders-{zone}", "orders"),
        TargetSpec("stock-{zone}", "stock"),
    )
    list_lag: float = 0.2
    timing: dict[str, str] = {}
    limits: dict[str, str] = {}
    policies: dict[str, str] = {}
    deadline: str = "4s"
    relayed: bool = False
    descriptors: int | None = None


class Process:
    """A child process and the ports it listens on.

    Its output goes to a file. Reading a pipe line by line while the load runs would
    cost the load generator more than the load itself, and a full pipe would block the
    process.

    Args:
        arguments: Arguments of the Python interpreter.
        output: File for its standard output.
        descriptors: Limit on its open descriptors, None to leave it.
    """

    def __init__(
        self, arguments: list[str], output: Path, *, descriptors: int | None = None
    ) -> None:
        self._output = output

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with output.open("wb") as file:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=file,
                preexec_fn=limit if descriptors else None,
            )
        self.ports: dict[str, Any] = {}

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._popen.pid

    def log_entries(self) -> list[dict[str, Any]]:
        """Return the lines of its output so far that are JSON objects."""
        parsed = []
        for line in self._output.read_bytes().splitlines():
            try:
                parsed.append(msgspec.json.decode(line, type=dict))
            except msgspec.MsgspecError:
                continue
        return parsed

    def wait_listening(self) -> None:
        """Wait until the process has logged its ports, and store them."""
        wait_for(self._is_listening, "a process to listen")

    def _is_listening(self) -> bool:
        events = [
            line for line in self.log_entries() if line.get("event") == "listening"
        ]
        if events:
            self.ports = events[-1]
        return bool(events)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def stop(self) -> int:
        """Terminate the process gracefully and return its exit status."""
        if self._popen.poll() is None:
            self._popen.terminate()
        return self._popen.wait(timeout=STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process, also if it is paused."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait(timeout=STOP_TIMEOUT_S)


class Fleet:
    """A running deployment; as a context manager it kills its processes on exit.

    Args:
        spec: Configuration of the deployment.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.revision = 0
        self.list_version = 0
        self.zone_states = dict.fromkeys(spec.zones, "in")
        self.leaving: set[str] = set()
        self.keys = {team: f"key-of-{team}" for team in TEAMS}
        self.target_specs: dict[str, tuple[TargetSpec, str]] = {}
        self.target_ports: dict[str, int] = {}
        self.daemons: dict[str, Process] = {}
        self._zone_of_daemon: dict[str, str] = {}
        self._directory = tempfile.TemporaryDirectory()
        self._standins: list[Process] = []
        self._relay_ports: dict[str, int] = {}
        self._spawn_count = 0

    def __enter__(self) -> "Fleet":
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for process in [*self.daemons.values(), *self._standins]:
            process.kill()
        self._directory.cleanup()

    def _start(self) -> None:
        platform = self._spawn_standin({"list_lag": self.spec.list_lag})
        by_zone = {zone: self._target_specs_in(zone) for zone in self.spec.zones}
        processes = {
            zone: self._spawn_standin({"targets": specs})
            for zone, specs in by_zone.items()
        }
        platform.wait_listening()
        self.platform = platform.ports
        for zone, process in processes.items():
            process.wait_listening()
            for spec in by_zone[zone]:
                self.target_specs[spec.id] = (spec, zone)
                self.target_ports[spec.id] = process.ports[spec.id]
        for zone in self.spec.zones:
            for number in range(1, self.spec.daemons + 1):
                self.start_daemon(f"entry-{zone}-{number}", zone)
        for daemon in self.daemons.values():
            daemon.wait_listening()
        if self.spec.relayed:
            self._start_relays()
        self.publish_declaration()
        self.publish_instances()
        self.wait_ready()

    def _start_relays(self) -> None:
        specs = [
            {"name": name, "address": daemon.ports["peers"]}
            for name, daemon in self.daemons.items()
        ]
        process = self._spawn_standin({"relays": specs})
        process.wait_listening()
        self._relay_ports = process.ports

    def control_relay(self, name: str, **changes: Any) -> None:
        """Cut, restore or silence the traffic that peers send to a daemon."""
        post(self._relay_ports["control"], "/", {"name": name, **changes})

    def partition_daemon(self, name: str, *, cut: bool) -> None:
        """Partition a daemon from its peers, or reconnect it.

        Relays recognise the datagrams of a daemon by their port. Its outgoing calls
        can't be recognised and still pass.
        """
        port = int(self.daemons[name].ports["peers"].rpartition(":")[2])
        self.control_relay(name, cut=cut)
        for other in self.daemons:
            if other != name:
                self.control_relay(other, drop=[port] if cut else [])

    def _peer_address(self, name: str) -> str:
        if name in self._relay_ports:
            return f"127.0.0.1:{self._relay_ports[name]}"
        return self.daemons[name].ports["peers"]

    def start_daemon(self, name: str, zone: str) -> Process:
        """Start a daemon, in place of an earlier one of the same name."""
        path = Path(self._directory.name) / f"{name}.ini"
        path.write_text(self._render_settings(name, zone))
        process = self._spawn(
            ["bergamotsaddle_daemon", str(path)], descriptors=self.spec.descriptors
        )
        self.daemons[name] = process
        self._zone_of_daemon[name] = zone
        return process

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and regards all its targets as warm."""
        wait_for(self._all_ready, "every daemon to be ready")

    def caller_address(self, name: str) -> str:
        """Return the address of a daemon's interface for callers."""
        return self.daemons[name].ports["callers"]

    def operator_address(self, name: str) -> str:
        """Return the address of a daemon's interface for operators."""
        return self.daemons[name].ports["operators"]

    def declaration_text(self) -> str:
        """Return the text of the declaration at the current revision."""
        parts = ["[declaration]", "name = loopback", f"revision = {self.revision}"]
        for zone, state in self.zone_states.items():
            parts += [f"[zone {zone}]", f"state = {state}"]
        for team, share in TEAMS.items():
            digest = digest_key(self.keys[team])
            parts += [f"[team {team}]", f"share = {share}", f"key_digests = {digest}"]
        for target_id, (spec, zone) in self.target_specs.items():
            parts += self._render_target(target_id, spec, zone)
        kinds = {spec.kind for spec, _ in self.target_specs.values()}
        order = ("encode", "retrieve", "rerank", "generate")
        stages = ", ".join(stage for stage in order if stage in kinds)
        if stages:
            parts += [f"[pipeline {PIPELINE}]", f"stages = {stages}"]
            parts += [f"deadline = {self.spec.deadline}"]
            parts += [f"model = {MODEL}"] if "generate" in kinds else []
        return "\n".join(parts) + "\n"

    def publish_declaration(self, revision: int | None = None) -> None:
        """Publish the declaration, by default as the next revision."""
        self.revision = revision or self.revision + 1
        self.control("config", publish=self.declaration_text())

    def publish_instances(self) -> None:
        """Publish the instance list."""
        self.list_version += 1
        rows = [
            {
                "id": name,
                "zone": self._zone_of_daemon[name],
                "role": "entry",
                "state": "leaving" if name in self.leaving else "live",
                "peer_address": self._peer_address(name),
            }
            for name, process in self.daemons.items()
            if process.ports
        ]
        rows += [
            {
                "id": target_id,
                "zone": zone,
                "role": "target",
                "state": "leaving" if target_id in self.leaving else "live",
            }
            for target_id, (_, zone) in self.target_specs.items()
        ]
        payload = {"version": self.list_version, "instances": rows}
        self.control("instances", publish=msgspec.json.encode(payload).decode())

    def control(self, service: str, **changes: Any) -> dict[str, Any]:
        """Change the state of a platform stand-in and return its counters."""
        return post(self.platform[service], "/control", changes)

    def control_target(self, target_id: str, **changes: Any) -> None:
        """Set or clear faults of a target."""
        post(self.target_ports[target_id], "/control", changes)

    def read_ledger(self, target_id: str) -> dict[str, Any]:
        """Return the ledger of what a target did."""
        return get(f"127.0.0.1:{self.target_ports[target_id]}", "/ledger")

    def read_loaded_models(self, target_id: str) -> list[str]:
        """Return the models that a target has loaded."""
        return get(f"127.0.0.1:{self.target_ports[target_id]}", "/v1/load")["models"]

    def read_status(self, name: str) -> dict[str, Any]:
        """Return the status page of a daemon."""
        return get(self.operator_address(name), "/status")

    def _all_ready(self) -> bool:
        for name in self.daemons:
            status = self.read_status(name)
            if not status["ready"] or status["revision"] != self.revision:
                return False
            if any(row["state"] == "cold" for row in self._read_targets(name)):
                return False
        return True

    def _read_targets(self, name: str) -> list[dict[str, Any]]:
        return get(self.operator_address(name), "/targets")

    def _target_specs_in(self, zone: str) -> list[TargetSpec]:
        return [
            spec._replace(id=spec.id.format(zone=zone)) for spec in self.spec.targets
        ]

    def _spawn_standin(self, spec: dict[str, Any]) -> Process:
        text = msgspec.json.encode(spec).decode()
        process = self._spawn(["bergamotsaddle_standins.process", text])
        self._standins.append(process)
        return process

    def _spawn(
        self, module_and_argument: list[str], *, descriptors: int | None = None
    ) -> Process:
        self._spawn_count += 1
        output = Path(self._directory.name) / f"output-{self._spawn_count}"
        arguments = ["-W", "ignore", "-m", *module_and_argument]
        return Process(arguments, output, descriptors=descriptors)

    def _render_settings(self, name: str, zone: str) -> str:
        lines = ["[daemon]", f"id = {name}", f"zone = {zone}"]
        lines += [f"peer_key = {_PEER_KEY}", "[platform]"]
        lines += [f"config_address = 127.0.0.1:{self.platform['config']}"]
        lines += [f"instances_address = 127.0.0.1:{self.platform['instances']}"]
        lines += ["[timing]", *(f"{k} = {v}" for k, v in self.spec.timing.items())]
        lines += ["[limits]", *(f"{k} = {v}" for k, v in self.spec.limits.items())]
        lines += ["[policies]", *(f"{k} = {v}" for k, v in self.spec.policies.items())]
        return "\n".join(lines) + "\n"

    def _render_target(self, target_id: str, spec: TargetSpec, zone: str) -> list[str]:
        lines = [f"[target {target_id}]", f"zone = {zone}", f"kind = {spec.kind}"]
        lines += [f"address = 127.0.0.1:{self.target_ports[target_id]}"]
        lines += [f"limit = {spec.slots}", f"cold_limit = {spec.cold_limit}"]
        if spec.kind == "generate":
            models = ", ".join(spec.models or (MODEL,))
            lines += [f"models = {models}", f"holds = {spec.holds}", "resumes = yes"]
            lines += ["fencing = yes"]
        if spec.kind == "orders":
            lines += ["repeatable = no"]
        return lines


def wait_for(condition: Any, what: str, limit: float = START_TIMEOUT_S) -> float:
    """Wait until a condition holds and return the seconds that took.

    Failing connections count as the condition not holding yet.

    Raises:
        TimeoutError: If the condition does not hold in time.
    """
    began = now()
    while now() - began < limit:
        try:
            if condition():
                return now() - began
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        eventlet.sleep(_POLL_S)
    raise TimeoutError(f"waited {limit} s for {what}")


def post(port: int, path: str, body: Any) -> Any:
    """Post JSON to a stand-in on loopback and return the decoded response.

    Raises:
        OSError: If the status is not 200.
    """
    url = f"http://127.0.0.1:{port}{path}"
    reply = _http.request("POST", url, body=msgspec.json.encode(body), timeout=5.0)
    if reply.status != 200:
        raise OSError(f"{path}: status {reply.status}")
    return msgspec.json.decode(reply.data)


def get(address: str, path: str) -> Any:
    """Get JSON from an address and return it decoded."""
    reply = _http.request("GET", f"http://{address}{path}", timeout=5.0)
    return msgspec.json.decode(reply.data)
