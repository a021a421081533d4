"""Stand-ins of what savorydyke meets: platform, engines, plain services."""
