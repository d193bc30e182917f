"""Clients of the platform's configuration service."""
