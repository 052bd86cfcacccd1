"""Decides whether a response belongs to the request that waits for one.

This module does no input or output.
"""


def is_own_response(response_id: str, request_id: str, *, is_reused: bool) -> bool:
    """Return whether a response may be taken for the one to a request.

    A target may send a response once more, at a time when the next one on its
    connection is expected.

    Args:
        response_id: Id of the request that the response names, empty if it names none.
        request_id: Id of the request that was sent last on the connection.
        is_reused: Whether the connection has carried other requests before.
    """
    if not response_id:
        return not is_reused
    return response_id == request_id
