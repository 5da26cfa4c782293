# Measures whether the largest jobs start: gangs that need half of all machines at once, and best-effort jobs of
# guests, under a constant stream of small gangs that takes nine tenths of the machines. One leader is killed and one
# is frozen during the run.
#   harewalk lab deploy/lab/sizes.hcl
name        = "the largest begin"
duration_s  = 900
drain_s     = 900
repetitions = 4
machines    = 24

type "small" {
  cpus       = 16
  memory_gb  = 64
  price      = 0.8
  spot_price = 0.3
  boot_s     = 20
}

team "vision" { cpus = 64 }
team "guests" {}

load "small" {
  team       = "vision"
  kind       = "gang"
  priority   = "urgent"
  cpus       = 12
  per_minute = 26
  tasks "fixed" { value = 1 }
  seconds "exponential" { median = 28 }
}

load "large" {
  team       = "vision"
  kind       = "gang"
  priority   = "standard"
  cpus       = 12
  per_minute = 0.4
  tasks "uniform" {
    low  = 8
    high = 12
  }
  seconds "exponential" { median = 40 }
}

load "idle" {
  team       = "guests"
  priority   = "best_effort"
  cpus       = 4
  per_minute = 0.08
  tasks "fixed" { value = 100 }
  seconds "exponential" { median = 30 }
}

fault {
  at_s = 300
  do   = "kill-leader 10s"
}
fault {
  at_s = 600
  do   = "freeze-leader 70s"
}

config "with" {
  operator = "begin_s = 240\n"
}

config "without" {
  operator = "begin_s = 1000000\n"
}
