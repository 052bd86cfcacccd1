"""Recognises a request that comes again under another id."""

from hashlib import blake2b

from bergamotsaddle_serving.catalog import Team
from bergamotsaddle_serving.messages import RequestHead

_DIGEST_BYTES = 8


def fingerprint(head: RequestHead, team: Team | None, body: bytes) -> str:
    """Name what a request asks for, whoever takes it and under whatever id.

    Callers give each try an id of its own, so only what is asked, and by whom, tells
    that it is the same work.

    Args:
        head: The request's head.
        team: Whose request it is, None on public routes.
        body: Its whole body.

    Returns:
        16 hexadecimal digits; nothing of the body can be read from them.
    """
    owner = team.name if team is not None else ""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (head.method, head.host.encode(), head.path, owner.encode()):
        # With its length, since two parts could else be joined to the same bytes.
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return digest.hexdigest()
