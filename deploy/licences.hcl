# Operators' settings that enable counted licences (docs/licences.md):
#
#   harewalk serve --config settings.json --operator deploy/licences.hcl
#
# A job names the licence units that each of its tasks holds: "licences": {"transcribe": 1, "optimise": 2}

licence "transcribe" {
  count    = 24
  server   = "127.0.0.1:5053" # licence server that lists the units in use: GET /v1/pools/transcribe
  poll_s   = 2
  linger_s = 30 # how long the unit of a crashed task may stay checked out at the server
  reserve  = 2  # units reserved for people who use the engine by hand
  on_lower = "wait"

  # On Friday evenings the part leaders of the orchestra use the engine by hand.
  reserve_during "rehearsals" {
    seats = 6
    days  = "Fri"
    from  = "18:00"
    to    = "23:00"
    zone  = "Asia/Tokyo"
  }
}

licence "optimise" {
  count    = 8
  linger_s = 60 # without a server, only units held by harewalk's tasks are counted
  on_lower = "stop"
}
