"""Exceptions of savorydyke.

Expected outcomes are returned as dataclasses, one per kind; exceptions are for
failures that the immediate caller is not expected to handle.
"""


class SavorydykeError(Exception):
    """Base class of every exception that this package raises."""


class FindingsError(SavorydykeError):
    """Raised by the functions that return only a value if a document has findings.

    Parameters
    ----------
    findings : list of Finding
        All findings, in the order in which they were recorded.
    """

    def __init__(self, findings: list) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ProtocolError(SavorydykeError):
    """Raised when bytes from a peer or the platform cannot be decoded."""


class PlatformUnavailableError(SavorydykeError):
    """Raised when the platform did not answer, so that the effect is unknown."""


class HandshakeError(SavorydykeError):
    """Raised when a peer fails authentication or uses another protocol version."""
