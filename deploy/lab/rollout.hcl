# Rolls five controllers under load from the previous release to this one, in the order of the rollout plan, and later
# kills the leader. The level of the stored state rises automatically after the soak time.
#   harewalk lab deploy/lab/rollout.hcl --html rollout.html
name        = "a rollout"
duration_s  = 1500
repetitions = 4
machines    = 60
controllers = 5
zones       = ["a", "b", "c"]

type "small" {
  cpus       = 16
  memory_gb  = 64
  price      = 0.8
  spot_price = 0.3
  boot_s     = 20
}

team "vision" { cpus = 400 }
team "audio" { cpus = 200 }

load "sweeps" {
  team       = "vision"
  cpus       = 1
  per_minute = 8
  tasks "lognormal" {
    median = 700
    p95    = 1000
  }
  seconds "exponential" { median = 10 }
}

load "gangs" {
  team       = "audio"
  kind       = "gang"
  priority   = "urgent"
  cpus       = 4
  per_minute = 6
  tasks "uniform" {
    low  = 2
    high = 6
  }
  seconds "exponential" { median = 60 }
}

fault {
  at_s  = 600
  do    = "roll 8s"
  for_s = 180
}
fault {
  at_s  = 1000
  do    = "kill-leader 8s"
}

config "from the former release" {
  former   = true
  operator = "rollout { soak_s = 30 }"
}

# Control: the same load without a rollout, since all controllers already run this release.
config "already rolled" {}
