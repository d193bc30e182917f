"""Probe the load of upstreams within a budget."""
