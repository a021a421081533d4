"""Starts fleets of instances and stand-ins, generates load and evaluates results."""
