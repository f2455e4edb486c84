"""The command-line tool, a client of the administration API."""
