"""Request and reply between processes, and the bridge to threads."""
