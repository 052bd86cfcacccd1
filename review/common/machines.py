"""Starts the system's own program on loopback, as the deploy file says."""

import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"west-a": "west", "west-b": "west", "west-c": "west"}
# The bounds of the small deployments.
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 54,
    "configApplyMs": 2000,
    "drainMs": 2000,
    "evacuationMs": 5000,
}
STABLE_WINDOW_S = 3.0
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.@]+|\.)\}\}")
_METRICS_PORT = 9464
_START_LIMIT_S = 15.0
_END_LIMIT_S = 2.0


def find_hosts(count: int) -> list[str]:
    """Return loopback addresses that nothing uses."""
    rng = random.Random()
    while True:
        net = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
        hosts = [f"{net}.{number + 1}" for number in range(count)]
        if all(_is_free(host, _METRICS_PORT) for host in hosts):
            return hosts


def find_port(host: str) -> int:
    """Return a free TCP port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the platform does."""

    def look_up(name: str, scope: dict[str, Any]) -> Any:
        value: Any = scope
        for word in name.split("."):
            if isinstance(value, list):
                value = value[int(word)] if int(word) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(word)
        return value

    def section(match: re.Match[str]) -> str:
        sign, name, inner = match.groups()
        value = look_up(name, fields)
        if sign == "^":
            return "" if value else inner
        if isinstance(value, dict):
            last = list(value)[-1]
            parts = []
            for key, entry in value.items():
                text = inner.replace("{{@}}", str(key)).replace("{{.}}", str(entry))
                parts.append(text.replace("{{,}}", "" if key == last else ","))
            return "".join(parts)
        return inner if value else ""

    def text(match: re.Match[str]) -> str:
        value = look_up(match.group(1), fields)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _VALUE.sub(text, _SECTION.sub(section, template))


class Machine:
    """One machine that runs the role of the deploy file.

    Args:
        number: Its number, from 0.
        hosts: Addresses of all machines.
        ports: Ports of all machines, by name.
        store: Address of the store.
        folder: Folder for its settings and logs.
    """

    def __init__(
        self,
        number: int,
        hosts: list[str],
        ports: dict[str, int],
        store: str,
        folder: Path,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self.name = f"front-{number + 1}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.host = hosts[number]
        self._folder = folder
        self.front = (self.host, ports["front"])
        self.ready = (self.host, ports["ready"])
        self._fields = {
            "node": self.name,
            "zone": self.zone,
            "zones": ZONES,
            "ip": self.host,
            "bootstrap": True,
            "listen": {
                "front": f"{self.host}:{ports['front']}",
                "ready": f"{self.host}:{ports['ready']}",
            },
            "internalPorts": [ports["peer"], ports["relay"]],
            "seeds": [f"{host}:{ports['control']}" for host in hosts[:3]],
            "platform": {"address": store},
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "limits": {"cpuShare": 0.537, "vcpus": 2, "bandwidthMbps": 1000.0},
        }
        self._process: subprocess.Popen | None = None
        self._log = None

    def start(self) -> None:
        """Start the process."""
        path = self._folder / f"{self.name}.ini"
        path.write_text(render(self._template, self._fields))
        self._fields["bootstrap"] = False
        self._log = (self._folder / f"{self.name}.log").open("ab")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["BERGAMOTSADDLE_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self._process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def end(self) -> None:
        """End the process if it still runs."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait(timeout=_END_LIMIT_S)
        self._log.close()

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def is_ready(self) -> bool:
        """Ask the machine whether it is ready."""
        try:
            with socket.create_connection(self.ready, timeout=0.5) as sock:
                sock.settimeout(0.5)
                host = self.ready[0].encode()
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: " + host)
                sock.sendall(b"\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(1024).split(b"\r\n")[0] + b" "
        except OSError:
            return False


def make_machines(count: int, store: str, folder: Path) -> list[Machine]:
    """Return machines that know each other and the store; none is started."""
    hosts = find_hosts(count)
    names = ("front", "ready", "control", "peer", "relay")
    ports: dict[str, int] = {}
    while len(set(ports.values())) < len(names):
        ports = {name: find_port(hosts[0]) for name in names}
    return [Machine(n, hosts, ports, store, folder) for n in range(count)]


def wait_ready(machines: list[Machine]) -> bool:
    """Wait until all machines are ready; return whether they are in time."""
    until = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < until:
        if all(machine.is_ready() for machine in machines):
            return True
        time.sleep(0.2)
    return False
