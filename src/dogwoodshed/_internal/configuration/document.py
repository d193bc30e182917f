"""Parse JSON with comments and locate the line of each key."""

import re
from bisect import bisect_right
from collections.abc import Iterator
from typing import Any, NamedTuple

import jsonc

from dogwoodshed._internal.exceptions import (
    DocumentSyntaxError,
    UnreadableFileError,
)

Path = tuple[str | int, ...]

_TOKEN = re.compile(
    r"""(?P<comment>//[^\n]*|/\*.*?\*/)
      | (?P<string>"(?:\\.|[^"\\])*")
      | (?P<punctuation>[{}\[\],:])
      | (?P<scalar>[^\s{}\[\],:"/]+)""",
    re.VERBOSE | re.DOTALL,
)


class Document(NamedTuple):
    """A parsed document and the text it came from."""

    source: str
    text: str
    value: Any
    # True if an object repeats a key; `value` then holds only the last occurrence.
    has_duplicate_keys: bool = False


class _Token(NamedTuple):
    kind: str
    text: str
    offset: int


def read_document_text(path: str) -> str:
    """Read a file as UTF-8; raises UnreadableFileError or DocumentSyntaxError."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise UnreadableFileError(path, error.strerror or str(error)) from error
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise DocumentSyntaxError(path, line, "not UTF-8") from error


def parse_document(text: str, source: str) -> Document:
    """Parse JSON with comments; raises DocumentSyntaxError."""
    has_duplicate_keys = False

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal has_duplicate_keys
        value = dict(pairs)
        has_duplicate_keys = has_duplicate_keys or len(value) < len(pairs)
        return value

    try:
        value = jsonc.loads(text, object_pairs_hook=build_object)
    except jsonc.JSONDecodeError as error:
        raise DocumentSyntaxError(source, error.lineno, error.msg) from error
    except (ValueError, RecursionError) as error:
        # Raised for numbers with thousands of digits and for nesting that exceeds the
        # recursion limit of the parser.
        raise DocumentSyntaxError(source, 1, str(error)) from error
    return Document(source, text, value, has_duplicate_keys)


def key_lines(text: str) -> dict[Path, int]:
    """Return the line of every key and list item of a valid document."""
    starts = _line_starts(text)
    lines: dict[Path, int] = {}
    for path, offset in _walk(list(_tokens(text))):
        lines.setdefault(path, bisect_right(starts, offset))
    return lines


def duplicate_keys(text: str) -> list[tuple[Path, int]]:
    """Return path and line of every key that occurs again within its object."""
    starts = _line_starts(text)
    seen: set[Path] = set()
    duplicates: list[tuple[Path, int]] = []
    for path, offset in _walk(list(_tokens(text))):
        if path in seen and isinstance(path[-1], str):
            duplicates.append((path, bisect_right(starts, offset)))
        seen.add(path)
    return duplicates


def _line_starts(text: str) -> list[int]:
    return [0, *(match.end() for match in re.finditer("\n", text))]


def _tokens(text: str) -> Iterator[_Token]:
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "comment":
            yield _Token(match.lastgroup or "", match.group(), match.start())


def _walk(tokens: list[_Token]) -> Iterator[tuple[Path, int]]:
    # Path of each open container and, for an array, the index of its next item.
    containers: list[tuple[Path, int | None]] = []
    path: Path = ()
    for position, token in enumerate(tokens):
        previous = tokens[position - 1].text if position else ""
        if _starts_item(containers, previous, token):
            parent, index = containers[-1]
            path = (*parent, index)
            containers[-1] = (parent, index + 1)
            yield path, token.offset
        elif _is_key(containers, tokens, position):
            path = (*containers[-1][0], _unquote(token.text))
            yield path, token.offset
        if token.text == "{":
            containers.append((path, None))
        elif token.text == "[":
            containers.append((path, 0))
        elif token.text in "}]" and containers:
            containers.pop()


def _unquote(text: str) -> str:
    # Calling the parser for every key took half of the validation time of a large
    # document.
    return jsonc.loads(text) if "\\" in text else text[1:-1]


def _starts_item(
    containers: list[tuple[Path, int | None]], previous: str, token: _Token
) -> bool:
    if not containers or containers[-1][1] is None:
        return False
    return previous in ("[", ",") and token.text not in ("]", ",")


def _is_key(
    containers: list[tuple[Path, int | None]], tokens: list[_Token], position: int
) -> bool:
    if not containers or containers[-1][1] is not None:
        return False
    following = tokens[position + 1].text if position + 1 < len(tokens) else ""
    return tokens[position].kind == "string" and following == ":"
