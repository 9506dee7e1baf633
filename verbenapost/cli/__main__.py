"""Runs the command-line tool as a module."""

from verbenapost.cli.main import run

run()
