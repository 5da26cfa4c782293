# Measures the cost of a growing cluster, with real controllers and simulated workers. Takes about seven minutes.
#   harewalk lab scale deploy/lab/scale.hcl --out docs/capacity
name      = "sizes"
settle_s  = 40
measure_s = 30
report_s  = 5
lease_s   = 30
cancel_s  = 60
teams     = 12

state {
  rps       = 3000
  write_rps = 1000
  value_kb  = 32
  txn_ops   = 40
}

step "500" {
  machines          = 500
  tasks_per_machine = 8
  task_s            = 30
  tasks_per_job     = 100
}
step "1000" {
  machines          = 1000
  tasks_per_machine = 4
  task_s            = 30
  tasks_per_job     = 40
}
step "1500" {
  machines          = 1500
  tasks_per_machine = 8
  task_s            = 60
  tasks_per_job     = 100
}
step "2000" {
  machines          = 2000
  tasks_per_machine = 4
  task_s            = 20
  tasks_per_job     = 80
}
step "3000" {
  machines          = 3000
  tasks_per_machine = 8
  task_s            = 60
  tasks_per_job     = 200
}
step "4500" {
  machines          = 4500
  tasks_per_machine = 6
  task_s            = 60
  tasks_per_job     = 150
  held_out          = true
}
