"""Stand-ins of the platform for the cases of the second review: relay, proxies, workers, discovery and collectors."""
