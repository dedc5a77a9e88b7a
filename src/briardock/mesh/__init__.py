"""Forwarding of callers' HTTP requests between the nodes beside the targets.

The platform adapter decodes settings, configuration, announcements and headers
into the types of ``model``; the modules here route requests, limit and retry them, and
replicate state between nodes.
"""
