# Delivers requests again after they were carried out and answered, while the leader is killed and a machine restarts.
# The configurations have the same faults and differ in the TTL of the controllers' lease.
#   harewalk lab deploy/lab/repeats.hcl
name        = "requests come again"
duration_s  = 900
repetitions = 4
machines    = 20

type "small" {
  cpus       = 16
  memory_gb  = 64
  price      = 0.8
  spot_price = 0.3
  boot_s     = 20
}

team "vision" { cpus = 100 }
team "audio" { cpus = 100 }

load "sweeps" {
  team       = "vision"
  cpus       = 1
  per_minute = 5
  tasks "lognormal" {
    median = 100
    p95    = 200
  }
  seconds "exponential" { median = 10 }
  cancel_share = 0.2
}

load "gangs" {
  team       = "audio"
  kind       = "gang"
  priority   = "urgent"
  cpus       = 4
  per_minute = 2
  tasks "uniform" {
    low  = 2
    high = 8
  }
  seconds "exponential" { median = 60 }
}

fault {
  at_s = 60
  do   = "replay-orders 700s"
}
fault {
  at_s = 60
  do   = "repeat-requests 700s"
}
fault {
  at_s = 60
  do   = "copies 700s"
}
fault {
  at_s = 200
  do   = "kill-leader 300ms"
}
fault {
  at_s = 300
  do   = "restart-machine 300ms"
}
fault {
  at_s = 400
  do   = "restart-machine 300ms"
}
fault {
  at_s = 500
  do   = "kill-leader 300ms"
}

config "hold of 6 s" { operator = "hold_ttl_ms = 6000" }
config "hold of 3 s" { operator = "hold_ttl_ms = 3000" }
