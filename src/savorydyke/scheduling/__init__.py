"""Decisions about where requests go and when, at the coordinator of a pool."""

from savorydyke.scheduling._endpoint_choice import MARGIN as MARGIN
from savorydyke.scheduling._endpoint_choice import EndpointChoice as EndpointChoice
from savorydyke.scheduling._endpoint_index import EndpointIndex as EndpointIndex
from savorydyke.scheduling._endpoint_index import GroupKey as GroupKey
from savorydyke.scheduling._inbox import Inbox as Inbox
from savorydyke.scheduling._inbox import PoolMessage as PoolMessage
from savorydyke.scheduling._inbox import Received as Received
from savorydyke.scheduling._inbox import is_stale as is_stale
