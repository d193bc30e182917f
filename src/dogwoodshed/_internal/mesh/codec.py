"""Encode and decode messages as msgpack arrays."""

import typing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgpack

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.mesh.messages import CODES

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
    return msgpack.packb([_CODE_OF[type(message)], request_id, *message])


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
    message_type = CODES.get(code)
    if message_type is None or not isinstance(request_id, int):
        raise ProtocolError(f"unknown message code {code!r}")
    return Envelope(request_id, _decoder_for(message_type)(fields))


def _decoder_for(message_type: type) -> Callable[[Any], Any]:
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = _build_decoder(message_type)
    return decoder


_DECODERS: dict[type, Callable[[Any], Any]] = {}


def _build_decoder(message_type: type) -> Callable[[Any], Any]:
    names = message_type._fields
    required = len(names) - len(message_type._field_defaults)
    hints = typing.get_type_hints(message_type)
    nested = {
        index: _decoder_for(item)
        for index, name in enumerate(names)
        if (item := _item_type(hints[name])) is not None
    }

    def decode(values: Any) -> Any:
        # A later release may send additional fields at the end.
        present = list(values[: len(names)])
        if len(present) < required:
            raise ProtocolError(
                f"{message_type.__name__} has only {len(present)} fields"
            )
        for index, decode_item in nested.items():
            if index < len(present):
                present[index] = tuple(decode_item(item) for item in present[index])
        return message_type(*present)

    return decode


def _item_type(hint: Any) -> type | None:
    """Return X for a hint `tuple[X, ...]` if X is a named tuple."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and hasattr(arguments[0], "_fields"):
        return arguments[0]
    return None
