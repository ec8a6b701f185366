"""HTTP towards callers, upstreams and operators."""
