"""Entry instance: the load balancer process between callers and backend servers."""
