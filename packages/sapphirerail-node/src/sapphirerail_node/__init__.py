"""The entry instance: one process between callers and backend servers."""
