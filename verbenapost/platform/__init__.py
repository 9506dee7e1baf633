"""Names, formats and calls of the platform; decides nothing."""
