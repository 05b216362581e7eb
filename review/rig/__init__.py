"""Stand-ins of the operators' platform for the cases of the review: see `platform.py`."""
