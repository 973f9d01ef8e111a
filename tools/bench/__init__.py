"""Simulation of gang scheduling policies on the same arrivals."""
