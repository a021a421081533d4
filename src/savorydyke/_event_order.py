"""Checks that a stream consists of its events in order, and of nothing else.

An endpoint that is asked for a stream, or for the rest of one, may answer with the text
of an error, parts of another answer, the stream from its begin or a later part of it.
Each event has an id, a number that is greater than that of the event before.

Lines may end in any of the three ways of event streams, and comments, empty lines and a
byte order mark at the begin mean nothing. These are left out, and events passed on with
line feeds, so that all readers see the same events.
"""

import re
from dataclasses import dataclass, field
from functools import cache

from savorydyke._answer_budget import MAX_IGNORED_BYTES

EVENT_END = b"\n\n"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
COMMENT = re.compile(rb"^:[^\n]*(?:\n|\Z)", re.MULTILINE)
MAX_EVENT_BYTES = 1_048_576
"""Largest event of a stream. A faulty endpoint may send bytes without end."""
FIELDS = (b"id", b"data", b"event", b"retry")
CONTROL_BYTES = rb"\x00-\x08\x0a-\x1f\x7f"
ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})$", re.MULTILINE)
DATA_LINE = re.compile(rb"^data:", re.MULTILINE)
NUMBER = re.compile(r"[0-9]{1,18}")
MAX_STEPS = 16
"""Different steps between ids from which on any step counts as usual."""


class StrayEventError(Exception):
    """Raised when a stream contains anything but the next event."""


@dataclass
class EventSteps:
    """By how much the ids of a pool's streams have risen from event to event.

    The events that an answer leaves out at its begin are noticed by this only.
    """

    seen: set[int] = field(default_factory=set)

    def learn(self, step: int) -> None:
        """Record a step within one answer."""
        if len(self.seen) <= MAX_STEPS:
            self.seen.add(step)

    def is_usual(self, step: int) -> bool:
        """Return whether an event may follow another one by this step."""
        return not self.seen or len(self.seen) > MAX_STEPS or step in self.seen


@dataclass
class LineEnds:
    """Turns the ends of lines into line feeds, part by part.

    Attributes
    ----------
    held : bytes
        The begin of the body, while it may be a part of a byte order mark.
    after_return : bool
        Whether the part before ended with a carriage return.
    """

    at_begin: bool = True
    held: bytes = b""
    after_return: bool = False

    def feed(self, part: bytes) -> bytes:
        """Return a part with line feeds only, without a byte order mark."""
        if self.at_begin:
            part = self.held + part
            if len(part) < len(BYTE_ORDER_MARK) and BYTE_ORDER_MARK.startswith(part):
                self.held = part
                return b""
            self.at_begin = False
            self.held = b""
            part = part.removeprefix(BYTE_ORDER_MARK)
        if self.after_return and part:
            part = part.removeprefix(b"\n")
            self.after_return = False
        if b"\r" in part:
            self.after_return = part.endswith(b"\r")
            part = part.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return part


@dataclass
class EventOrder:
    """The events of one answer.

    Attributes
    ----------
    last_id : str
        Id of the last event, possibly of an earlier answer; empty for none.
    steps : EventSteps
        The usual steps between ids.
    has_fixed_steps : bool
        Whether each step has to be usual, and not only that from an earlier answer.
    more_fields : tuple of bytes
        Names of the lines that events may have beside the usual ones.
    needs_ids : bool
        Whether each event must have an id. Without them a stream can not go on after a
        break, and its events are not put in order.
    events : int
        Complete events of this answer.
    event_bytes, ignored_bytes : int
        Size of these, and of comments and empty lines.
    stray : StrayEventError or None
        What came after the last of them, if it was no event.
    """

    last_id: str = ""
    steps: EventSteps = field(default_factory=EventSteps)
    has_fixed_steps: bool = False
    more_fields: tuple[bytes, ...] = ()
    needs_ids: bool = True
    events: int = 0
    event_bytes: int = 0
    ignored_bytes: int = 0
    stray: StrayEventError | None = None
    rest: bytearray = field(default_factory=bytearray)
    line_ends: LineEnds = field(default_factory=LineEnds)

    def feed(self, part: bytes) -> bytes:
        """Return the events that a part of the body completes.

        Raises
        ------
        StrayEventError
            If nothing but what is no event came after the events that were returned.
        """
        if self.stray is not None:
            raise self.stray
        rest = self.rest
        searched = max(0, len(rest) - len(EVENT_END) + 1)
        rest += self.line_ends.feed(part)
        end = rest.rfind(EVENT_END, searched)
        if end < 0:
            if len(rest) > MAX_EVENT_BYTES:
                raise StrayEventError(f"an event of over {MAX_EVENT_BYTES} bytes")
            return b""
        blocks = bytes(rest[:end]).split(EVENT_END)
        del rest[: end + len(EVENT_END)]
        events = []
        try:
            for block in blocks:
                if event := _without_comments(block):
                    self._check(event)
                    self.events += 1
                    events.append(event + EVENT_END)
            self._count(end + len(EVENT_END), sum(map(len, events)))
        except StrayEventError as error:
            if not events:
                raise
            self.stray = error
        return b"".join(events)

    def _count(self, consumed: int, event_bytes: int) -> None:
        """Count bytes of which some are events, and the others mean nothing."""
        self.event_bytes += event_bytes
        self.ignored_bytes += consumed - event_bytes
        if self.ignored_bytes > MAX_IGNORED_BYTES + self.event_bytes:
            raise StrayEventError(f"{self.ignored_bytes} bytes beside the events")

    def is_within_event(self) -> bool:
        """Return whether the body has ended within an event."""
        if self.line_ends.held:
            return True
        return bool(self.rest and _without_comments(bytes(self.rest)))

    def _check(self, event: bytes) -> None:
        if not _lines_pattern(self.more_fields).fullmatch(event):
            raise StrayEventError("a line that is no field of an event")
        if not DATA_LINE.search(event):
            raise StrayEventError("an event without data")
        if not self.needs_ids:
            return
        ids = ID_LINE.findall(event)
        if len(ids) != 1 or event.count(b"\nid:") + event.startswith(b"id:") != 1:
            raise StrayEventError("an event without an id, or with several")
        self._check_id(int(ids[0]))

    def _check_id(self, number: int) -> None:
        if NUMBER.fullmatch(self.last_id):
            step = number - int(self.last_id)
            if step <= 0:
                raise StrayEventError(f"event {number} after {self.last_id}")
            is_checked = self.has_fixed_steps or not self.events
            if is_checked and not self.steps.is_usual(step):
                raise StrayEventError(f"event {number} right after {self.last_id}")
            if self.events:
                self.steps.learn(step)
        self.last_id = str(number)


def _without_comments(block: bytes) -> bytes:
    """Return the lines between two empty ones that are no comments."""
    if block.startswith(b":") or b"\n:" in block:
        block = COMMENT.sub(b"", block)
    return block.strip(b"\n")


@cache
def _lines_pattern(more_fields: tuple[bytes, ...]) -> re.Pattern[bytes]:
    """Return a pattern for the lines of one event."""
    names = b"|".join(map(re.escape, (*FIELDS, *more_fields)))
    return re.compile(rb"(?:(?:%s):[^%s]*(?:\n|\Z))+" % (names, CONTROL_BYTES))
