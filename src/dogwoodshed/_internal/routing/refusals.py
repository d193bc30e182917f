"""Name the refusals of calls in messages between gateways."""

from dogwoodshed._internal.exceptions import (
    DeadlineUnreachableError,
    NotRunError,
    NoUpstreamError,
    OverloadedError,
    QueueFullError,
)

GRANTED = "granted"
QUEUED = "queued"
# The hub knows no such service, kind or upstream; it may have an older configuration.
UNKNOWN = "unknown"
_ERROR_OF_CODE: dict[str, type[NotRunError]] = {
    "overloaded": OverloadedError,
    "deadline": DeadlineUnreachableError,
    "queue full": QueueFullError,
}
_CODE_OF_ERROR = {error: code for code, error in _ERROR_OF_CODE.items()}
_CODE_OF_ERROR[NoUpstreamError] = UNKNOWN


def code_of_refusal(error: NotRunError) -> str:
    """Return the code of an error of the router."""
    return _CODE_OF_ERROR.get(type(error), UNKNOWN)


def error_of_refusal(code: str, detail: str) -> NotRunError | None:
    """Return the error of a code, or None if another gateway may place the call."""
    error_type = _ERROR_OF_CODE.get(code)
    return error_type(detail) if error_type is not None else None
