"""The exception family of savorydyke.

Expected outcomes are returned as tagged dataclasses; exceptions are for faults
that a caller can not be expected to handle in place.
"""


class SavorydykeError(Exception):
    """Base class of every exception that this package raises."""


class FindingsError(SavorydykeError):
    """Raised when a document has findings and the caller asked for a value.

    Parameters
    ----------
    findings : list of Finding
        All findings, in the order in which they stand in the document.
    """

    def __init__(self, findings: list) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ProtocolError(SavorydykeError):
    """Raised when bytes from a peer or the platform can not be decoded."""


class PlatformUnavailableError(SavorydykeError):
    """Raised when the platform did not answer, so the effect is unknown."""


class HandshakeError(SavorydykeError):
    """Raised when a peer fails authentication or speaks another version."""
