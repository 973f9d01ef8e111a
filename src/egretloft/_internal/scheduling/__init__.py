"""Pure placement and queueing decisions for gang jobs."""
