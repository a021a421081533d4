"""Free loopback ports for processes that are started later."""

import random
import socket

HOST = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)


class PortPool:
    """Allocates free ports, each at most once.

    The ports lie below the range of ephemeral ports, so that no outgoing connection
    can occupy one before it is used.
    """

    def __init__(self) -> None:
        self.allocated: set[int] = set()
        self.rng = random.SystemRandom()

    def take(self) -> str:
        """Return an address with a free port."""
        while True:
            port = self.rng.randint(*PORT_RANGE)
            if port in self.allocated:
                continue
            self.allocated.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return f"{HOST}:{port}"
