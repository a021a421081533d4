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

    def take(self, count: int = 1) -> str:
        """Return an address with a free port, the first of `count` successive ones."""
        while True:
            first = self.rng.randint(*PORT_RANGE)
            ports = range(first, first + count)
            if self.allocated.intersection(ports):
                continue
            self.allocated.update(ports)
            if all(map(_is_free, ports)):
                return f"{HOST}:{first}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
