"""Request routing: host selection, outlier ejection, retry budget, admission."""
