"""An instance as its agent manages it: what it runs on, what a reload takes over, and its drain."""
