"""Stand-ins for engines, plain services and platform services; never imported by the product."""
