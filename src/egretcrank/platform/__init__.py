"""Adapter to the platform; its names and protocols are used only in this package."""
