"""The daemon on the platform: entries, leader and what connects them."""
