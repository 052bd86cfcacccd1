"""Decodes messages of other systems, which may hold anything."""

from typing import TypeVar

import msgspec

Message = TypeVar("Message")


def decode_json(payload: bytes, kind: type[Message]) -> Message:
    """Decode JSON of a given type.

    Raises:
        ValueError: If it is malformed, of another type, or nested too deeply.
    """
    try:
        return msgspec.json.decode(payload, type=kind)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def decode_msgpack(payload: bytes, kind: type[Message]) -> Message:
    """Decode MessagePack of a given type.

    Raises:
        ValueError: If it is malformed, of another type, or nested too deeply.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
