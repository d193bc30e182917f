"""Load balancer for upstreams whose load shifts in milliseconds."""

__version__ = "0.1.0"
