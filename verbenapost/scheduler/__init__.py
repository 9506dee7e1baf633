"""The platform daemon: caller entry, leader and the links between daemons."""
