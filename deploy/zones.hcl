# Handling of a lost zone's return (docs/zones.md). Omitted settings are derived from the workers' timeouts.
zones {
  # How long machines without heartbeats are kept once their zone returns. Default: twice silent_s.
  patience_s = 60
  # How long a returned zone has to stay reachable before it is healthy. Doubled with each flap. Default: two
  # heartbeats.
  prove_s = 20
  # Healthy time that makes up for one flap. Default: ten leases.
  calm_s = 600
}
