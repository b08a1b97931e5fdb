"""Flows: where a packet of a connection goes."""
