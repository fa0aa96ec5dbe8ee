"""The command line tool."""
