"""Encode and decode messages as msgpack arrays."""

import functools
import typing
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgpack
import msgspec

from dogwoodshed._internal.exceptions import ProtocolError, UnencodableMessageError
from dogwoodshed._internal.mesh.message_codes import (
    CODES,
)

# Larger than any message: a configuration text is at most a megabyte, and minute
# summaries are sent in smaller parts.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_CODE_OF = {message_type: code for code, message_type in CODES.items()}


class Envelope(NamedTuple):
    """A message with the id that matches a reply to its request.

    The id is 0 in messages without a reply, positive in a request and the negated id
    of the request in its reply.
    """

    request_id: int
    message: Any


def encode(message: Any, request_id: int = 0) -> bytes:
    """Encode a message; raises UnencodableMessageError."""
    try:
        return msgpack.packb([_CODE_OF[type(message)], request_id, *message])
    except (UnicodeEncodeError, OverflowError) as error:
        name = type(message).__name__
        raise UnencodableMessageError(f"{name} cannot be encoded: {error}") from error


class Decoder:
    """Split a stream of bytes into messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False, max_buffer_size=MAX_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yield each complete message; raises ProtocolError."""
        try:
            self._unpacker.feed(data)
            for values in self._unpacker:
                yield _decode_envelope(values)
        except (ValueError, msgpack.UnpackException) as error:
            raise ProtocolError(f"malformed message: {error}") from error


def _decode_envelope(values: Any) -> Envelope:
    if not isinstance(values, tuple) or len(values) < 2:
        raise ProtocolError("expected an array of code, request id and fields")
    code, request_id, *fields = values
    message_type = CODES.get(code) if isinstance(code, int) else None
    if message_type is None or type(request_id) is not int:
        raise ProtocolError(f"unknown message code {code!r:.40}")
    return Envelope(request_id, _convert(fields, message_type))


def _convert(fields: list[Any], message_type: type) -> Any:
    """Build a message and check the types of its fields; raises ProtocolError."""
    try:
        return msgspec.convert(fields, message_type)
    except msgspec.ValidationError:
        # A later release may send additional fields at the end.
        trimmed = _without_additional_fields(fields, message_type)
    try:
        return msgspec.convert(trimmed, message_type)
    except msgspec.ValidationError as error:
        raise ProtocolError(f"malformed {message_type.__name__}: {error}") from error


def _without_additional_fields(values: Any, message_type: type) -> Any:
    if not isinstance(values, list | tuple):
        return values
    present = list(values[: len(message_type._fields)])
    for index, item_type in _nested_types(message_type).items():
        if index < len(present) and isinstance(present[index], tuple):
            present[index] = [
                _without_additional_fields(item, item_type) for item in present[index]
            ]
    return present


@functools.cache
def _nested_types(message_type: type) -> dict[int, type]:
    """Return the fields that are tuples of named tuples, with the type of the items."""
    hints = typing.get_type_hints(message_type)
    return {
        index: item
        for index, name in enumerate(message_type._fields)
        if (item := _item_type(hints[name])) is not None
    }


def _item_type(hint: Any) -> type | None:
    """Return X for a hint `tuple[X, ...]` if X is a named tuple."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and hasattr(arguments[0], "_fields"):
        return arguments[0]
    return None
