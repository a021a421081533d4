"""Stand-ins of the platform's store, engines and requesters for the review's scripts.

Only the standard library is used. All of them run in the process of the script; the
instances of savorydyke are processes of their own.
"""
