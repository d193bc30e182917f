"""Test when the administration API requires a token, and which it accepts."""

import tempfile
import unittest
from pathlib import Path

from dogwoodshed._internal.administration.tokens import TokenVerifier, read_token
from dogwoodshed._internal.exceptions import InvalidTokenFileError, MissingTokenError
from dogwoodshed._internal.settings import AdministrationSettings

TOKEN = "0123456789abcdef"


class TokenTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "token"

    def test_only_loopback_ip_addresses_need_no_token(self):
        """Guards against an API without a token that is reachable from the network."""
        for listen in ("127.0.0.1:1", "127.8.0.1:1", "[::1]:1"):
            TokenVerifier.from_settings(AdministrationSettings(listen=listen))
        for listen in ("0.0.0.0:1", "[::]:1", "10.0.0.1:1", "localhost:1"):
            with self.assertRaises(MissingTokenError):
                TokenVerifier.from_settings(AdministrationSettings(listen=listen))

    def test_accepts_only_the_exact_token(self):
        """Guards against access with a partial token, no scheme or an invalid byte."""
        verifier = TokenVerifier(TOKEN)
        self.assertTrue(verifier.allows(f"Bearer {TOKEN}"))
        for authorization in (
            "",
            "Bearer ",
            TOKEN,
            f"Bearer {TOKEN}0",
            "Bearer \udcff",
        ):
            self.assertFalse(verifier.allows(authorization), authorization)

    def test_rejects_invalid_token_files(self):
        """Guards against a gateway that accepts an empty or short token."""
        self.path.write_text(f"{TOKEN}\n", encoding="ascii")
        self.assertEqual(read_token(str(self.path)), TOKEN)
        for text in ("", "\n", "short", "two words in one line"):
            self.path.write_text(text, encoding="ascii")
            with self.assertRaises(InvalidTokenFileError):
                read_token(str(self.path))


if __name__ == "__main__":
    unittest.main()
