"""Decisions of the load balancer: no sockets, no clock, no global randomness."""
