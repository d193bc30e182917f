"""Read, check and hold the configuration text."""
