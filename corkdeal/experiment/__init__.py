"""Experiments on stand-ins: runs, tables and charts. Long runs; results lie under docs/reports."""
