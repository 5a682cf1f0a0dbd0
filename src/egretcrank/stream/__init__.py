"""Reading from, appending to and snapshotting the streams of the log service."""
