"""Code messages as msgpack arrays."""

import typing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgpack

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.mesh.messages import CODES

# A configuration text has at most a megabyte; summaries travel in parts of this size.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_CODE_OF = {message_type: code for code, message_type in CODES.items()}


class Envelope(NamedTuple):
    """A message with the number that ties a reply to its request.

    The number is 0 without a reply, positive in a request, negative in its reply.
    """

    request_id: int
    message: Any


def encode(message: Any, request_id: int = 0) -> bytes:
    """Return the bytes of a message."""
    return msgpack.packb([_CODE_OF[type(message)], request_id, *message])


class Decoder:
    """Split a stream of bytes into messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False, max_buffer_size=MAX_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yield every whole message; raises ProtocolError."""
        try:
            self._unpacker.feed(data)
            for values in self._unpacker:
                yield _revive_envelope(values)
        except (ValueError, msgpack.UnpackException) as error:
            raise ProtocolError(f"malformed message: {error}") from error


def _revive_envelope(values: Any) -> Envelope:
    if not isinstance(values, tuple) or len(values) < 2:
        raise ProtocolError("a message is an array of a code, a number and fields")
    code, request_id, *fields = values
    message_type = CODES.get(code)
    if message_type is None or not isinstance(request_id, int):
        raise ProtocolError(f"unknown message code {code!r}")
    return Envelope(request_id, _reviver(message_type)(fields))


def _reviver(message_type: type) -> Callable[[Any], Any]:
    reviver = _REVIVERS.get(message_type)
    if reviver is None:
        reviver = _REVIVERS[message_type] = _build_reviver(message_type)
    return reviver


_REVIVERS: dict[type, Callable[[Any], Any]] = {}


def _build_reviver(message_type: type) -> Callable[[Any], Any]:
    names = message_type._fields
    required = len(names) - len(message_type._field_defaults)
    hints = typing.get_type_hints(message_type)
    nested = {
        index: _reviver(item)
        for index, name in enumerate(names)
        if (item := _item_type(hints[name])) is not None
    }

    def revive(values: Any) -> Any:
        # Fields beyond the known ones come from a later release.
        known = list(values[: len(names)])
        if len(known) < required:
            raise ProtocolError(f"{message_type.__name__} has {len(known)} fields")
        for index, revive_item in nested.items():
            if index < len(known):
                known[index] = tuple(revive_item(item) for item in known[index])
        return message_type(*known)

    return revive


def _item_type(hint: Any) -> type | None:
    """Return X for `tuple[X, ...]` if X is a named tuple."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and hasattr(arguments[0], "_fields"):
        return arguments[0]
    return None
