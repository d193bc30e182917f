"""Stand in for callers, upstreams, network links and the platform in tests."""
