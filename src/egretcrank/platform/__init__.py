"""Adapter to the users' platform; nothing outside knows its names and protocols."""
