"""Provide `dandelionpondctl`, the command line tool for operators."""
