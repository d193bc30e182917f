"""Check the entries of a directory, to which other writers may write as well."""

import ipaddress
from typing import Any

from dogwoodshed._internal.directory.model import DirectoryChanges, UpstreamEntry

# Integers of messages between gateways have 64 bits.
MAX_NUMBER = 2**63 - 1
# Longer texts make messages that peers reject for their size.
MAX_TEXT_BYTES = 512
MAX_PORT = 65_535


def without_invalid_entries(changes: DirectoryChanges) -> DirectoryChanges:
    """Replace invalid entries by removals, and drop those without a valid id.

    An invalid entry names no upstream that could get calls, and it could not be sent
    to the other gateways.
    """
    entries = tuple(
        _without_invalid_fields(entry)
        for entry in changes.entries
        if _is_id(entry.id) and _are_numbers(entry.revision)
    )
    if entries == changes.entries:
        return changes
    return changes._replace(entries=entries)


def is_number(value: Any) -> bool:
    """Return whether a value is a non-negative integer that messages can contain."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def is_address(value: str) -> bool:
    """Return whether a text is `ip:port` with an IPv4 address."""
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    is_decimal = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return is_decimal and 0 < int(port) <= MAX_PORT


def _without_invalid_fields(entry: UpstreamEntry) -> UpstreamEntry:
    if not entry.listed or _has_valid_fields(entry):
        return entry
    return UpstreamEntry(entry.id, entry.revision, listed=False)


def _has_valid_fields(entry: UpstreamEntry) -> bool:
    return (
        _is_text(entry.service)
        and _is_text(entry.data_centre)
        and is_address(entry.address)
        and _are_numbers((entry.slots, entry.started_ms, entry.cold_ms))
    )


def _are_numbers(values: tuple[int, ...]) -> bool:
    return all(map(is_number, values))


def _is_id(value: str) -> bool:
    # Ids are sent in a header field.
    return value != "" and value.isascii() and value.isprintable() and " " not in value


def _is_text(value: str) -> bool:
    """Return whether a text can be encoded; JSON may contain half of a character."""
    try:
        return len(value.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False
