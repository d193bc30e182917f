"""Ask upstreams for their load within a budget."""
