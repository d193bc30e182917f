"""Arguments shared by commands that connect to a running gateway."""

import argparse

from dogwoodshed._internal.administration.client import AdministrationClient
from dogwoodshed._internal.administration.tokens import read_token

EXIT_CODES = (
    "Exit code 0 on success, 1 if the gateway cannot be reached or refuses the "
    "request, 2 if an argument or the token file is invalid."
)


def add_gateway_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that select a gateway."""
    parser.add_argument(
        "--gateway",
        metavar="IP:PORT",
        required=True,
        type=_address,
        help="the administration address of any gateway",
    )
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="file with the bearer token, if the gateway requires one",
    )


def create_client(options: argparse.Namespace) -> AdministrationClient:
    """Create a client from the arguments; raises ConfigurationError."""
    token = read_token(options.token_file) if options.token_file else None
    return AdministrationClient(options.gateway, token)


def _address(text: str) -> str:
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise argparse.ArgumentTypeError(f"{text!r} is not IP:PORT")
    return text
