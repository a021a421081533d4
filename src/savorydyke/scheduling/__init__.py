"""Decisions about where requests go and when, at the coordinator of a pool."""

from savorydyke.scheduling._endpoint_choice import MARGIN as MARGIN
from savorydyke.scheduling._endpoint_choice import EndpointChoice as EndpointChoice
from savorydyke.scheduling._endpoint_index import EndpointIndex as EndpointIndex
from savorydyke.scheduling._endpoint_index import GroupKey as GroupKey
