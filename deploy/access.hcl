# TLS listener for users, who authenticate with tokens (docs/access.md). Paths and addresses differ per controller.
users_file = "/etc/harewalk/users.hcl"

tls {
  listen = "0.0.0.0:8443"
  cert   = "/etc/harewalk/cert.pem"
  key    = "/etc/harewalk/key.pem"
  ca     = "/etc/harewalk/ca.pem"
  peers  = true
  plain  = "workers"
}
