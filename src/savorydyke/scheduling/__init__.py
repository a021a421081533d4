"""State and functions behind decisions on where requests go."""

from savorydyke.scheduling._pace import EndpointPace, PaceReports

__all__ = ["EndpointPace", "PaceReports"]
