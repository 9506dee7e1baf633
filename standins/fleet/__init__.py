"""Stand-ins of the platform on which jobs with steps run, in virtual time."""
