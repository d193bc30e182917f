"""Define every failure of the package as a type."""


class DogwoodshedError(Exception):
    """Base of all errors raised by this package."""


class ConfigurationError(DogwoodshedError):
    """Raised when a configuration text or a settings file is not valid."""


class DocumentSyntaxError(ConfigurationError):
    """Raised when a document is not JSON with comments."""

    def __init__(self, source: str, line: int, reason: str) -> None:
        super().__init__(f"{source}:{line}: syntax: {reason}")
        self.source = source
        self.line = line


class InvalidDocumentError(ConfigurationError):
    """Raised when a configuration text has one or more faults."""

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
    """Raised when the platform does not keep the changes since a revision any more."""


class AdministrationError(DogwoodshedError):
    """Raised when an administration API cannot be reached or refuses."""


class MissingTokenError(ConfigurationError):
    """Raised when an administration API beyond loopback has no token."""

    def __init__(self, listen: str) -> None:
        super().__init__(
            f"administration.token_file: required, since {listen} is not loopback"
        )


class InvalidTokenFileError(ConfigurationError):
    """Raised when a token file cannot be read or holds no usable token."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"administration.token_file: {path}: {reason}")


class UnknownUpstreamError(AdministrationError):
    """Raised when a drain names an address that no service lists."""


class MeshError(DogwoodshedError):
    """Base of failures between gateways."""


class PeerUnavailableError(MeshError):
    """Raised when no connection to a peer is open."""


class PeerTimeoutError(MeshError):
    """Raised when a peer does not answer a request in time."""


class ProtocolError(MeshError):
    """Raised when a peer sends a message that cannot be decoded."""


class CallError(DogwoodshedError):
    """Base of failures of one call, as told to the caller."""

    status = 502
    ran = "unknown"
    title = "call failed"


class NotRunError(CallError):
    """Raised when a call certainly was not run by any upstream."""

    status = 503
    ran = "no"
    title = "not run"


class NoConfigurationError(NotRunError):
    """Raised when a call comes before the first configuration."""

    title = "no configuration yet"


class NoRouteError(NotRunError):
    """Raised when no service matches the path of a request."""

    status = 404
    title = "no service for this path"


class MalformedRequestError(NotRunError):
    """Raised when a request cannot be understood."""

    status = 400
    title = "malformed request"


class RequestTooLargeError(NotRunError):
    """Raised when the body of a request exceeds the limit."""

    status = 413
    title = "request body too large"


class ExpectationFailedError(NotRunError):
    """Raised when an `Expect` header asks for something unknown."""

    status = 417
    title = "expectation cannot be met"


class UnsupportedRequestError(NotRunError):
    """Raised when a request asks for another protocol or for a tunnel."""

    status = 501
    title = "upgrades and tunnels are not supported"


class RequestTimeoutError(NotRunError):
    """Raised when the body of a request does not arrive before the deadline."""

    status = 408
    title = "request body did not arrive in time"


class NoUpstreamError(NotRunError):
    """Raised when a service has no upstream that may be used."""

    title = "no upstream available"


class QueueFullError(NotRunError):
    """Raised when the queue of a service is full."""

    title = "queue full"


class DeadlineUnreachableError(NotRunError):
    """Raised when a call would miss its deadline and is refused early."""

    title = "deadline cannot be met"


class DeadlineExpiredInQueueError(NotRunError):
    """Raised when the deadline passes before a call is dispatched."""

    status = 504
    title = "deadline passed before dispatch"


class OverloadedError(NotRunError):
    """Raised when a call would wait beyond the time in which its answer counts."""

    title = "overloaded"


class ShuttingDownError(NotRunError):
    """Raised when a stopping gateway refuses a new call."""

    title = "gateway is stopping"


class UpstreamUnreachableError(NotRunError):
    """Raised when no connection to an upstream can be opened."""

    title = "upstream unreachable"


class UpstreamRefusedError(NotRunError):
    """Raised when an upstream says that it did not run the call."""

    title = "upstream refused"


class IdempotencyKeyUnavailableError(NotRunError):
    """Raised when too few holders of an idempotency key can be reached."""

    title = "idempotency key cannot be claimed"


class OutcomeUnknownError(CallError):
    """Raised when a call was sent and its outcome is not known."""

    title = "outcome unknown"


class UpstreamTimeoutError(OutcomeUnknownError):
    """Raised when an upstream does not answer before the deadline."""

    status = 504
    title = "upstream timed out"


class UpstreamDisconnectedError(OutcomeUnknownError):
    """Raised when an upstream breaks the connection after dispatch."""

    title = "upstream disconnected"


class UnverifiedResponseError(OutcomeUnknownError):
    """Raised when a success does not bear the upstream's proof."""

    title = "answer without proof"


class StreamedBodyTooLargeError(OutcomeUnknownError):
    """Raised when a streamed body exceeds the limit after part of it was sent."""

    status = 413
    title = "request body too large"


class ResponseTruncatedError(OutcomeUnknownError):
    """Raised when an upstream breaks off an answer that is being passed on."""

    title = "answer cut"


class InternalError(OutcomeUnknownError):
    """Raised in place of an error that no part of the package foresaw."""

    status = 500
    title = "internal error"


class IdempotencyKeyReusedError(CallError):
    """Raised when an idempotency key is reused for a different request."""

    status = 422
    ran = "no"
    title = "idempotency key reused for a different request"


class FirstCallOutcomeUnknownError(OutcomeUnknownError):
    """Raised when the first call of an idempotency key has no known outcome."""

    status = 409
    title = "outcome of the first call is unknown"


class StandInError(DogwoodshedError):
    """Raised when a stand-in or a process of a test does not start."""
