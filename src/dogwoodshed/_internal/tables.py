"""Format plain-text tables for terminals."""

import re
from collections.abc import Sequence

# A number with an optional unit, or a placeholder for a missing number.
_NUMBER = re.compile(r"-|-?[\d,.]+( [%\w]+)?|none")


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return aligned columns; columns of numbers are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(text) for text in column)
        for column in zip(headings, *cells, strict=True)
    ]
    numeric = [
        bool(column) and all(_is_number(text) for text in column)
        for column in (list(zip(*cells, strict=True)) or [()] * len(headings))
    ]

    def line(texts: Sequence[str]) -> str:
        parts = [
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(texts, widths, numeric, strict=True)
        ]
        return "  ".join(parts).rstrip()

    return "\n".join(line(texts) for texts in (headings, *cells))


def _is_number(text: str) -> bool:
    return _NUMBER.fullmatch(text) is not None
