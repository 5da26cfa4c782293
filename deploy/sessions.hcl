# Operators' settings that enable interactive sessions (docs/sessions.md):
#
#   harewalk serve --config settings.json --operator deploy/sessions.hcl

sessions {
  warn_s    = 120 # time between the warning and the checkpoint
  save_s    = 60  # timeout of a checkpoint
  silent_s  = 30  # without a heartbeat for this time, an agent's state is in doubt and doesn't count as idle
  per_user  = 3
  per_team  = 40
  keep_days = 30 # retention of a reclaimed session

  policy "default" {
    idle     = "input_s > 900 && attached_s > 300 && cpu < 0.1 && gpu < 0.1"
    limit_s  = 7200 # an idle session is reclaimed after this time
    wanted_s = 300  # the same limit while other work waits for the session's resources

    # On Friday evenings rehearsal models wait for these resources.
    during "rehearsals" {
      days     = "Fri"
      from     = "18:00"
      to       = "23:00"
      zone     = "Asia/Tokyo"
      limit_s  = 1800
      wanted_s = 0
    }
  }
}
