"""Verify the bearer token of administration requests."""

import hmac
import ipaddress
from pathlib import Path

from dogwoodshed._internal.exceptions import InvalidTokenFileError, MissingTokenError
from dogwoodshed._internal.settings import AdministrationSettings, split_address

MIN_TOKEN_LENGTH = 16


class TokenVerifier:
    """Compare tokens in constant time; if no token is set, allow every request."""

    def __init__(self, token: str | None) -> None:
        self._expected = None if token is None else f"Bearer {token}".encode()

    @classmethod
    def from_settings(cls, settings: AdministrationSettings) -> "TokenVerifier":
        """Read the token from its file.

        Raises ConfigurationError if the file is invalid or a required token is missing.
        """
        if settings.token_file is not None:
            return cls(read_token(settings.token_file))
        if not _is_loopback(split_address(settings.listen)[0]):
            raise MissingTokenError(settings.listen)
        return cls(None)

    def allows(self, authorization: str) -> bool:
        """Return whether the value of an Authorization header has the right token."""
        if self._expected is None:
            return True
        presented = authorization.encode("utf-8", "surrogateescape")
        return hmac.compare_digest(presented, self._expected)


def read_token(path: str) -> str:
    """Read a token from a file; raises InvalidTokenFileError."""
    try:
        token = Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidTokenFileError(path, str(error)) from error
    if len(token) < MIN_TOKEN_LENGTH or not token.isprintable() or " " in token:
        raise InvalidTokenFileError(
            path, f"a token has at least {MIN_TOKEN_LENGTH} characters and no spaces"
        )
    return token


def _is_loopback(ip: str) -> bool:
    try:
        return ipaddress.ip_address(ip).is_loopback
    except ValueError:
        # Host names and an empty address may resolve to any address.
        return False
