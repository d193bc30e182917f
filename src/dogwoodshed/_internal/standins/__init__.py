"""Simulate callers, upstreams, network links and the platform on loopback.

These stand-ins serve the tests, the demo and the benchmarks.
"""
