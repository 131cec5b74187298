"""Every decision on workers, retries and rejections; touches neither clock nor socket."""
