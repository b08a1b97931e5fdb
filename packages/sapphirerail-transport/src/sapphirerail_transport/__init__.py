"""Codecs, datagram sockets, HTTP, signatures and the platform's clients."""
