"""Sharing of scarce capacity between client accounts: order, refusals and returns."""
