"""Connect the decisions to sockets, peers and the platform."""
