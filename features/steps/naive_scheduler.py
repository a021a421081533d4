"""A naive scheduler, one list and one endpoint, as reference for the real one."""

from dataclasses import dataclass, field


@dataclass
class Decided:
    granted: list = field(default_factory=list)
    refused: list = field(default_factory=list)


class NaiveScheduler:
    def __init__(self, slots, max_waiting):
        self.slots = slots
        self.max_waiting = max_waiting
        self.running = set()
        self.waiting = []

    def acquire(self, name, rank):
        self.waiting.append((rank, name))
        decided = Decided()
        while len(self.waiting) > self.max_waiting:
            lowest = max(rank for rank, _ in self.waiting)
            newest = [item for item in self.waiting if item[0] == lowest][-1]
            self.waiting.remove(newest)
            decided.refused.append(newest[1])
        return self.grant(decided)

    def release(self, name):
        self.running.discard(name)
        return self.grant(Decided())

    def withdraw(self, name):
        self.waiting = [item for item in self.waiting if item[1] != name]

    def grant(self, decided):
        while self.waiting and len(self.running) < self.slots:
            item = min(self.waiting, key=lambda item: item[0])
            self.waiting.remove(item)
            self.running.add(item[1])
            decided.granted.append(item[1])
        return decided
