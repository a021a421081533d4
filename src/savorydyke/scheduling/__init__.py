"""State and functions behind decisions on where requests go."""

from savorydyke.scheduling._pace import PaceReports

__all__ = ["PaceReports"]
