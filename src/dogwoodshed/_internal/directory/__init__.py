"""Learn configuration and upstreams from a directory that can only be read."""
