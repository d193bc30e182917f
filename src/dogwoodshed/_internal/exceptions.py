"""Exceptions of the package."""


class DogwoodshedError(Exception):
    """Base of all errors raised by this package."""


class ConfigurationError(DogwoodshedError):
    """Raised when the configuration, a setting or a plug-in name is not valid."""


class DocumentSyntaxError(ConfigurationError):
    """Raised when a document cannot be decoded or parsed."""

    def __init__(self, source: str, line: int, reason: str) -> None:
        super().__init__(f"{source}:{line}: syntax: {reason}")
        self.source = source
        self.line = line


class UnreadableFileError(ConfigurationError):
    """Raised when a configuration or settings file cannot be read."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: cannot be read: {reason}")
        self.path = path


class InvalidDocumentError(ConfigurationError):
    """Raised when a configuration, host list or settings file fails validation."""

    def __init__(self, issues: tuple) -> None:
        super().__init__("; ".join(str(issue) for issue in issues))
        self.issues = issues


class UnknownPluginError(ConfigurationError):
    """Raised when no plug-in of a kind is registered under a name."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"no {kind} plug-in {name!r}; known: {', '.join(known)}")


class PlatformError(DogwoodshedError):
    """Raised when the platform's configuration service cannot be read."""


class HistoryLostError(PlatformError):
    """Raised when the platform no longer keeps the changes since a revision."""


class AdministrationError(DogwoodshedError):
    """Raised when an administration API is unreachable or refuses a request."""


class MissingTokenError(ConfigurationError):
    """Raised when an administration API that is not on loopback has no token."""

    def __init__(self, listen: str) -> None:
        super().__init__(
            f"administration.token_file: required, since {listen} is not loopback"
        )


class InvalidTokenFileError(ConfigurationError):
    """Raised when a token file is unreadable or contains no valid token."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"administration.token_file: {path}: {reason}")


class UnknownUpstreamError(AdministrationError):
    """Raised when a drain is requested for an address that no service lists."""


class MeshError(DogwoodshedError):
    """Base of errors in the communication between gateways."""


class PeerUnavailableError(MeshError):
    """Raised when no connection to a peer is open."""


class PeerTimeoutError(MeshError):
    """Raised when a peer does not respond to a request in time."""


class ProtocolError(MeshError):
    """Raised when a peer sends a message that cannot be decoded."""


class UnencodableMessageError(MeshError):
    """Raised when a message contains a value that cannot be sent to a peer."""


class CallError(DogwoodshedError):
    """Base of errors that end a call, with the response to the caller.

    `ran` says whether an upstream ran the call: "no" or "unknown".
    """

    status = 502
    ran = "unknown"
    title = "call failed"


class NotRunError(CallError):
    """Raised when it is certain that no upstream ran the call."""

    status = 503
    ran = "no"
    title = "not run"


class NoConfigurationError(NotRunError):
    """Raised when a call arrives before the first configuration."""

    title = "no configuration yet"


class NoRouteError(NotRunError):
    """Raised when no service matches the path of a request."""

    status = 404
    title = "no service for this path"


class MalformedRequestError(NotRunError):
    """Raised when a request cannot be parsed."""

    status = 400
    title = "malformed request"


class RequestTooLargeError(NotRunError):
    """Raised when the body of a request exceeds the limit."""

    status = 413
    title = "request body too large"


class ExpectationFailedError(NotRunError):
    """Raised when an `Expect` header has an unsupported value."""

    status = 417
    title = "expectation cannot be met"


class UnsupportedRequestError(NotRunError):
    """Raised when a request asks for a protocol upgrade or a tunnel."""

    status = 501
    title = "upgrades and tunnels are not supported"


class RequestTimeoutError(NotRunError):
    """Raised when the body of a request does not arrive before the deadline."""

    status = 408
    title = "request body did not arrive in time"


class NoUpstreamError(NotRunError):
    """Raised when no upstream of a service is available."""

    title = "no upstream available"


class HeldOffError(NotRunError):
    """Raised when all upstreams of a service want no calls of this gateway for a time.

    `retry_after` is the number of seconds until the first of them can be called.
    """

    title = "upstreams want no calls for now"

    def __init__(self, service: str, retry_after: float) -> None:
        super().__init__(f"{service}: upstreams return after {retry_after:.2f} s")
        self.retry_after = retry_after


class PlacementUnavailableError(NotRunError):
    """Raised when the hub cannot place a call; the gateway then does it itself."""

    title = "placement unavailable"


class QueueFullError(NotRunError):
    """Raised when the queue of a service is full."""

    title = "queue full"


class DeadlineUnreachableError(NotRunError):
    """Raised when a call is rejected early because it would miss its deadline."""

    title = "deadline cannot be met"


class DeadlineExpiredInQueueError(NotRunError):
    """Raised when the deadline expires before a call is dispatched."""

    status = 504
    title = "deadline passed before dispatch"


class OverloadedError(NotRunError):
    """Raised when a call would wait past its on-time deadline."""

    title = "overloaded"


class ShuttingDownError(NotRunError):
    """Raised when a gateway that is stopping rejects a new call."""

    title = "gateway is stopping"


class UpstreamUnreachableError(NotRunError):
    """Raised when no connection to an upstream can be opened."""

    title = "upstream unreachable"


class UpstreamRefusedError(NotRunError):
    """Raised when an upstream reports that it did not run the call."""

    title = "upstream refused"


class IdempotencyKeyUnavailableError(NotRunError):
    """Raised when too few holders of an idempotency key are reachable."""

    title = "idempotency key cannot be claimed"


class OutcomeUnknownError(CallError):
    """Raised when a call was sent and its outcome is unknown."""

    title = "outcome unknown"


class UpstreamTimeoutError(OutcomeUnknownError):
    """Raised when an upstream does not respond before the deadline."""

    status = 504
    title = "upstream timed out"


class StoppedDuringCallError(OutcomeUnknownError):
    """Raised when a gateway stops while an upstream is at work on a call."""

    status = 504
    title = "gateway stopped before the answer"


class UpstreamDisconnectedError(OutcomeUnknownError):
    """Raised when an upstream closes the connection after dispatch."""

    title = "upstream disconnected"


class UnverifiedResponseError(OutcomeUnknownError):
    """Raised when a successful response lacks the seal of the upstream."""

    title = "answer without proof"


class StreamedBodyTooLargeError(OutcomeUnknownError):
    """Raised when a body exceeds the limit after part of it was streamed."""

    status = 413
    title = "request body too large"


class ResponseTruncatedError(OutcomeUnknownError):
    """Raised when an upstream breaks off a response that is being forwarded."""

    title = "answer cut"


class ResponseTooLargeError(OutcomeUnknownError):
    """Raised when an upstream announces a response body over the limit."""

    title = "answer too large"


class InternalError(OutcomeUnknownError):
    """Raised in place of an unexpected exception."""

    status = 500
    title = "internal error"


class IdempotencyKeyReusedError(CallError):
    """Raised when an idempotency key is reused for a different request."""

    status = 422
    ran = "no"
    title = "idempotency key reused for a different request"


class FirstCallOutcomeUnknownError(OutcomeUnknownError):
    """Raised when the outcome of the first call of an idempotency key is unknown."""

    status = 409
    title = "outcome of the first call is unknown"


class StandInError(DogwoodshedError):
    """Raised when a stand-in or a process under test does not start."""
