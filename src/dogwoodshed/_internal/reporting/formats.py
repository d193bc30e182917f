"""Choose the format of the report by query parameter and Accept header."""

from dogwoodshed._internal.reporting.html import HtmlRenderer
from dogwoodshed._internal.reporting.render import (
    JsonRenderer,
    Renderer,
    TextRenderer,
)

RENDERERS: dict[str, Renderer] = {
    "text": TextRenderer(),
    "json": JsonRenderer(),
    "html": HtmlRenderer(),
}


def choose_format(query: str | None, accept: str) -> str | None:
    """Return the format that a request asks for, or None if it is not available."""
    if query is not None:
        return query if query in RENDERERS else None
    best, best_quality = None, 0.0
    for media_range in accept.split(",") if accept else ["*/*"]:
        media_type, *parameters = (item.strip() for item in media_range.split(";"))
        quality = _quality(parameters)
        for name, renderer in RENDERERS.items():
            if _matches(media_type, renderer.content_type) and quality > best_quality:
                best, best_quality = name, quality
    return best


def _quality(parameters: list[str]) -> float:
    for parameter in parameters:
        if parameter.startswith("q="):
            try:
                return float(parameter[2:])
            except ValueError:
                return 0.0
    return 1.0


def _matches(media_type: str, content_type: str) -> bool:
    main_type = content_type.partition("/")[0]
    return media_type in (content_type, f"{main_type}/*", "*/*")
