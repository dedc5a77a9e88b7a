"""Adapter between the users' platform and the types of the mesh.

Names, formats and calls of the platform occur only in this package, which only
translates; the mesh makes all decisions.
"""
