"""Exchange messages with the other gateways."""
