"""Stand-ins for the systems around savorydyke: platform, engines, plain services."""
