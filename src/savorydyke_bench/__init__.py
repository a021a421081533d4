"""Starts fleets of instances and stand-ins, drives work and judges results."""
