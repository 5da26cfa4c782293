# Measures the cost of a takeover while work is always pending. The leader is killed, drained and frozen, and the state
# service has an outage. The configurations differ in the TTL of the controllers' lease.
#   harewalk lab deploy/lab/takeover.hcl --html takeover.html
name        = "a leader goes"
duration_s  = 1800
repetitions = 4
machines    = 40

type "small" {
  cpus       = 16
  memory_gb  = 64
  price      = 0.8
  spot_price = 0.3
  boot_s     = 20
}

team "vision" { cpus = 200 }
team "audio" { cpus = 100 }

load "sweeps" {
  team       = "vision"
  cpus       = 1
  per_minute = 5
  tasks "lognormal" {
    median = 700
    p95    = 1000
  }
  seconds "exponential" { median = 10 }
  cancel_share = 0.05
}

load "gangs" {
  team       = "audio"
  kind       = "gang"
  priority   = "urgent"
  cpus       = 4
  per_minute = 2
  tasks "uniform" {
    low  = 2
    high = 12
  }
  seconds "exponential" { median = 60 }
}

fault {
  at_s = 600
  do   = "kill-leader 10s"
}
fault {
  at_s = 900
  do   = "drain-leader 10s"
}
fault {
  at_s = 1200
  do   = "freeze-leader 15s"
}
fault {
  at_s = 1500
  do   = "outage 10s"
}

config "hold of 6 s" { operator = "hold_ttl_ms = 6000" }
config "hold of 3 s" { operator = "hold_ttl_ms = 3000" }
