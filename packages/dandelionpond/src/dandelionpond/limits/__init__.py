"""Admit work by client account and share fleet-wide limits."""
