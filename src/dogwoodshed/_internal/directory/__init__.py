"""Read configuration and upstreams from a read-only directory."""
