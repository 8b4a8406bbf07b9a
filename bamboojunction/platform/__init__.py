"""The adapter for the platform: its wire names, formats and API calls."""
