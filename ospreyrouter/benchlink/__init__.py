"""The bench's wire: framing, ids to indices, units. It decides nothing."""
