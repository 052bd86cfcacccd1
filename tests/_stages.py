"""Batching settings and store entries of stage targets."""

import msgspec

from bergamotsaddle_serving.catalog import Batching
from bergamotsaddle_serving.messages import StoreEntry

FOUR_PER_CALL = Batching(
    slots=1,
    size=4,
    call_seconds=0.15,
    piece_seconds=0.03,
    memory_bytes=18e6,
    ttl_seconds=4.0,
)

BATCHING = {
    "slots": 1,
    "batch": 4,
    "callMs": 150.0,
    "itemMs": 30.0,
    "headroomMb": 18.0,
    "handleS": 4.0,
}


def target_entry(name, service, port, zone="a"):
    """Return the store entry of a stage target."""
    fields = {
        "service": service,
        "address": f"10.0.0.1:{port}",
        "zone": zone,
        "slots": 1,
        "state": "ready",
    }
    return StoreEntry(f"servers/{name}", port, msgspec.json.encode(fields))
