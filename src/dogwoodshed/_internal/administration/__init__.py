"""Serve the administration API of a gateway."""
