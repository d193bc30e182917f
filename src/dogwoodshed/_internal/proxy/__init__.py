"""Relay HTTP calls between callers and upstreams."""
