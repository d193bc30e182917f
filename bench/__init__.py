"""Benchmark the gateway against baselines and measure its limits."""
