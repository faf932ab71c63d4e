"""The core: requests, attempts and outcomes. It knows no wire, and it decides nothing."""
