"""The process that runs on each entry VM."""
