"""The replay of load patterns on a fleet of platform nodes, with simulated links and upstreams."""
