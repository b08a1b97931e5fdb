"""Decision logic of the load balancer: no sockets, clock or global random state."""
