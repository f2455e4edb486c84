"""Execution of requests: claims, attempts, quarantine, answers, resumption."""
