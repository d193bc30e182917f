"""Forward HTTP calls from callers to upstreams."""
