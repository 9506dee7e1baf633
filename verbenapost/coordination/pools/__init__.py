"""Pools of VMs: records, moves, budgets, waves and assignment."""
