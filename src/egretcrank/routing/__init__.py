"""Choice of upstream, retry budget and admission."""
