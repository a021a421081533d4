"""Free loopback ports for processes that are started later."""

import random
import socket
from collections import deque

HOST = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)
BLOCK_PORTS = 50


class PortPool:
    """Allocates free ports, each to one process only.

    The ports lie below the range of ephemeral ports, so that no outgoing connection
    can occupy one before it is used. They come in blocks. A process reserves a block by
    a datagram socket with the number of its first port, which it keeps open.

    Attributes
    ----------
    reserved : deque of socket.socket
        One for each block of this process, the latest last. Once no block is left, the
        ports of the first one are used again.
    ports : list of int
        Ports of this process that are not allocated, in reverse order.
    """

    def __init__(self) -> None:
        self.reserved: deque[socket.socket] = deque()
        self.ports: list[int] = []

    def take(self, count: int = 1) -> str:
        """Return an address with a free port, the first of `count` successive ones.

        Raises
        ------
        RuntimeError
            If other processes have reserved all blocks.
        """
        while True:
            if len(self.ports) < count:
                first = self._reserve_block()
                self.ports = list(range(first + BLOCK_PORTS - 1, first - 1, -1))
            taken = [self.ports.pop() for _ in range(count)]
            if all(map(_is_free, taken)):
                return f"{HOST}:{taken[0]}"

    def _reserve_block(self) -> int:
        """Return the first port of a block that no other process has reserved."""
        first, end = PORT_RANGE
        blocks = list(range(first, end, BLOCK_PORTS))
        random.SystemRandom().shuffle(blocks)
        for port in blocks:
            reserved = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                reserved.bind((HOST, port))
            except OSError:
                reserved.close()
                continue
            self.reserved.append(reserved)
            return port
        if not self.reserved:
            raise RuntimeError(f"all ports between {first} and {end} are reserved")
        self.reserved.rotate(-1)
        return int(self.reserved[-1].getsockname()[1])


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
