"""Codecs, datagram sockets, HTTP, signatures and clients of the platform."""
