# Operators' settings that switch counted licences on (docs/licences.md):
#
#   harewalk serve --config settings.json --operator deploy/licences.hcl
#
# A job names what each of its tasks holds: "licences": {"transcribe": 1, "optimise": 2}

licence "transcribe" {
  count    = 24
  server   = "127.0.0.1:5053" # who holds seats: GET /v1/pools/transcribe
  poll_s   = 2
  linger_s = 30 # a crashed holder's seat may stay taken for so long
  reserve  = 2  # kept for people who use the engine by hand
  on_lower = "wait"

  # On Friday evenings part leaders transcribe themselves.
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
  linger_s = 60 # no server to ask: only our own tasks are counted
  on_lower = "stop"
}
