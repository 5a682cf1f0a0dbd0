"""Members and their announcements."""
