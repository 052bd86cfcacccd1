"""Bounds from above how much worth the stage services can serve during a burst.

python -m bergamotsaddle_standins.stage_bound docs/design/shifted-work.ini
"""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from bergamotsaddle_contracts.ini import IniFile, parse_words


class StageService(NamedTuple):
    """A stage service with full calls.

    Attributes:
        name: Name of the service.
        targets: Number of its targets that work.
        pieces_per_call: Pieces of a full call.
        call_seconds: Duration of a full call.
    """

    name: str
    targets: float
    pieces_per_call: float
    call_seconds: float

    @property
    def pieces_per_s(self) -> float:
        """Pieces per second if every call is full."""
        return self.targets * self.pieces_per_call / self.call_seconds


class Demand(NamedTuple):
    """Requests of one kind.

    Attributes:
        name: Name of the kind.
        per_s: Requests per second.
        worth: Worth of a request that is on time.
        pieces_by_service: Pieces of a request by service.
    """

    name: str
    per_s: float
    worth: float
    pieces_by_service: dict[str, float]


def served_fraction(service: StageService, demands: Sequence[Demand]) -> float:
    """Return the largest fraction of the worth that one service admits.

    The kinds with most worth per piece are served first, as far as the service can;
    all other resources are taken to be unlimited.
    """
    offered = sum(demand.per_s * demand.worth for demand in demands)
    left = service.pieces_per_s
    served = 0.0
    for demand in sorted(demands, key=lambda d: _density(d, service), reverse=True):
        pieces = demand.per_s * demand.pieces_by_service.get(service.name, 0.0)
        fraction = min(1.0, left / pieces) if pieces else 1.0
        left -= fraction * pieces
        served += fraction * demand.per_s * demand.worth
    return served / offered


def _density(demand: Demand, service: StageService) -> float:
    pieces = demand.pieces_by_service.get(service.name, 0.0)
    return demand.worth / pieces if pieces else float("inf")


def parse_scenario(text: str, *, name: str) -> tuple[list[StageService], list[Demand]]:
    """Parse services and kinds of requests from an INI file.

    Raises:
        InvalidFileError: If the file is invalid; it lists all faults.
    """
    ini = IniFile(text, name=name)
    services = [
        StageService(
            section.removeprefix("service "),
            ini.get(section, "targets", float),
            ini.get(section, "pieces_per_call", float),
            ini.get(section, "call_seconds", float),
        )
        for section in ini.sections
        if section.startswith("service ")
    ]
    demands = [
        Demand(
            section.removeprefix("kind "),
            ini.get(section, "per_s", float),
            ini.get(section, "worth", float),
            ini.get(section, "pieces", _parse_pieces, {}),
        )
        for section in ini.sections
        if section.startswith("kind ")
    ]
    ini.raise_for_faults()
    return services, demands


def _parse_pieces(text: str) -> dict[str, float]:
    pairs = [word.partition("=") for word in parse_words(text)]
    return {service: float(count) for service, _, count in pairs}


def main() -> None:
    """Print the bound of each service for a scenario file."""
    path = Path(sys.argv[1])
    services, demands = parse_scenario(path.read_text(), name=str(path))
    print("service          pieces/s offered  possible  largest fraction of the worth")
    for service in services:
        offered = sum(
            demand.per_s * demand.pieces_by_service.get(service.name, 0.0)
            for demand in demands
        )
        fraction = served_fraction(service, demands)
        print(
            f"{service.name:16} {offered:16.0f} {service.pieces_per_s:9.0f}"
            f" {fraction:9.3f}"
        )


if __name__ == "__main__":
    main()
