"""Recognizes a request that is repeated under another id."""

from hashlib import blake2b

from bergamotsaddle_serving.catalog import Team
from bergamotsaddle_serving.messages import RequestHead

_DIGEST_BYTES = 8
_ID_BYTES = 3


def fingerprint(head: RequestHead, team: Team | None, body: bytes) -> str:
    """Return a digest of what a request asks for, independent of its id.

    Callers give each try an id of its own, so only the content and the team identify
    repeats of the same request. The digest does not depend on the instance.

    Args:
        head: Head of the request.
        team: Team that sent it, None on public routes.
        body: Its complete body.

    Returns:
        16 hexadecimal digits, which reveal nothing about the body.
    """
    owner = team.name if team is not None else ""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (head.method, head.host.encode(), head.path, owner.encode()):
        # Each part is prefixed with its length, since different parts could otherwise
        # be joined to the same bytes.
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return digest.hexdigest()


def digest_id(request_id: str) -> str:
    """Return a short digest of the id of a request, 6 hexadecimal digits."""
    return blake2b(request_id.encode(), digest_size=_ID_BYTES).hexdigest()
