"""The platform node: the sidecar process that runs beside each upstream on the platform."""
