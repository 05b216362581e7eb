"""Adapter between managers and the simulator: framing, names to indices, units. It makes no decisions."""
