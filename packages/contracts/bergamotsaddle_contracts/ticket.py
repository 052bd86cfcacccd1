"""Tickets, each of which allows one unrepeatable request to run once."""

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from bergamotsaddle_contracts.errors import ErrorKind, RequestError

_MAC_BYTES = 16
_NONCE_BYTES = 9
NO_WITNESS = ""


class Ticket(NamedTuple):
    """Contents of a ticket.

    Only the issuing process may run the ticket's request, or the witness after the
    issuer has handed over its unstarted tickets.

    Attributes:
        issuer: Id of the issuing instance.
        incarnation: Random name of the issuing process.
        nonce: Random name of this ticket.
        team: Team that requested it.
        kind: Kind of target that it is valid for.
        issued_at: Time of issue in seconds on the issuer's clock.
        witness: Id of the instance that records the start, or an empty string.
        witness_incarnation: Random name of the witness's process.
        witness_clock: Seconds on the witness's clock, no later than the time of issue.
    """

    issuer: str
    incarnation: str
    nonce: str
    team: str
    kind: str
    issued_at: float
    witness: str
    witness_incarnation: str
    witness_clock: float


def make_nonce() -> str:
    """Return a random name for a ticket or a process."""
    return secrets.token_urlsafe(_NONCE_BYTES)


def sign_ticket(ticket: Ticket, key: bytes) -> str:
    """Encode a ticket as text with a MAC, which only holders of the key can make."""
    body = msgspec.msgpack.encode(ticket)
    return base64.urlsafe_b64encode(body + _mac(body, key)).decode().rstrip("=")


def verify_ticket(text: str, key: bytes) -> Ticket:
    """Verify the MAC of a ticket's text and decode the ticket.

    Raises:
        RequestError: If the text is malformed or its MAC was made with another key.
    """
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raw = b""
    body, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
    if not body or not hmac.compare_digest(mac, _mac(body, key)):
        raise RequestError(ErrorKind.TICKET_INVALID, "not a ticket of this system")
    try:
        return msgspec.msgpack.decode(body, type=Ticket)
    except msgspec.MsgspecError:
        raise RequestError(
            ErrorKind.TICKET_INVALID, "ticket of another version"
        ) from None


def _mac(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_MAC_BYTES, key=key).digest()
