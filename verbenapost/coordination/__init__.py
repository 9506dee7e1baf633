"""Decision logic without access to sockets or clocks."""
