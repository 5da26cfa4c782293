package main

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/access"
)

// operator is how commands reach a cluster.
type operator struct {
	server, tokenFile, ca, output string
	bearer                        string // in place of the token in the file
	client                        *fasthttp.Client
	scheme                        string
	addr                          string // of the server, without the scheme
}

func envOr(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}

func (o *operator) flags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.server, "server", envOr("HAREWALK_SERVER", "127.0.0.1:8080"),
		"address of a controller or of the load balancer, https://HOST:PORT for TLS (or $HAREWALK_SERVER)")
	c.PersistentFlags().StringVar(&o.tokenFile, "token-file", os.Getenv("HAREWALK_TOKEN_FILE"), "file with your token (or $HAREWALK_TOKEN_FILE)")
	c.PersistentFlags().StringVar(&o.ca, "ca", os.Getenv("HAREWALK_CA"), "file with the authority of the controllers' certificates, PEM (or $HAREWALK_CA; default: the system's)")
	outputFlag(c.PersistentFlags(), &o.output)
}

func (o *operator) token() (string, error) {
	if o.bearer != "" {
		return o.bearer, nil
	}
	if o.tokenFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", coded{exitUsage, fmt.Errorf("--token-file: %w", err)}
	}
	return strings.TrimSpace(string(raw)), nil
}

// dial makes the client, once.
func (o *operator) dial() error {
	if o.client != nil {
		return nil
	}
	if !slices.Contains(outputs, o.output) {
		return coded{exitUsage, fmt.Errorf("--output %q is none of %s", o.output, strings.Join(outputs, ", "))}
	}
	o.scheme, o.addr = "http", strings.TrimPrefix(o.server, "http://")
	if rest, ok := strings.CutPrefix(o.server, "https://"); ok {
		o.scheme, o.addr = "https", rest
	}
	var conf *tls.Config
	if o.scheme == "https" {
		var ca []byte
		if o.ca != "" {
			raw, err := os.ReadFile(o.ca)
			if err != nil {
				return coded{exitUsage, fmt.Errorf("--ca: %w", err)}
			}
			ca = raw
		}
		var err error
		if conf, err = access.ClientConfig(ca); err != nil {
			return coded{exitUsage, fmt.Errorf("--ca %s: %w", o.ca, err)}
		}
	} else if o.ca != "" && os.Getenv("HAREWALK_CA") != o.ca {
		return coded{exitUsage, errors.New("--ca is for a --server that begins with https://")}
	}
	o.client = &fasthttp.Client{TLSConfig: conf, MaxIdemponentCallAttempts: 1}
	return nil
}

// answer is what came back.
type answer struct {
	status int
	body   []byte
	wait   time.Duration // when to come back, as the answer asks
}

// once asks one controller, "" for the one that was named, once.
func (o *operator) once(method, addr, path string, body []byte) (answer, error) {
	if err := o.dial(); err != nil {
		return answer{}, err
	}
	token, err := o.token()
	if err != nil {
		return answer{}, err
	}
	if addr == "" {
		addr = o.addr
	}
	return exchange(o.client, method, o.scheme+"://"+addr+path, token, body)
}

// once asks without TLS and token.
func once(method, url string, body []byte) (status int, raw []byte, wait time.Duration, err error) {
	a, err := exchange(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, method, url, "", body)
	return a.status, a.body, a.wait, err
}

// exchange sends one request, with a token if there is one.
func exchange(client *fasthttp.Client, method, url, token string, body []byte) (answer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer func() { fasthttp.ReleaseRequest(q); fasthttp.ReleaseResponse(p) }()
	q.SetRequestURI(url)
	q.Header.SetMethod(method)
	q.SetConnectionClose()
	if token != "" {
		q.Header.Set("Authorization", "Bearer "+token)
	}
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	wait := time.Second
	if err := client.DoDeadline(q, p, time.Now().Add(5*time.Second)); err != nil {
		return answer{wait: wait}, err
	}
	if s, e := time.ParseDuration(string(p.Header.Peek("Retry-After")) + "s"); e == nil && s > wait {
		wait = min(s, 30*time.Second)
	}
	return answer{p.StatusCode(), append([]byte(nil), p.Body()...), wait}, nil
}

// untrusted tells whether asking again can't help: the server's certificate is none we trust.
func untrusted(err error) bool {
	var cert *tls.CertificateVerificationError
	return errors.As(err, &cert)
}

// call sends a request, again while the service asks to come back, for up to a minute.
func (o *operator) call(method, path string, body []byte) ([]byte, error) {
	end := time.Now().Add(time.Minute)
	for {
		a, err := o.once(method, "", path, body)
		var c coded
		switch {
		case errors.As(err, &c):
			return nil, err
		case untrusted(err):
			return nil, coded{exitFailed, err}
		case err != nil:
		case a.status < 300:
			return a.body, nil
		case a.status == 400 || a.status == 422:
			return nil, coded{exitRefused, fmt.Errorf("refused with status %d: %s", a.status, said(a.body))}
		case a.status == 401 || a.status == 403:
			return nil, coded{exitUsage, fmt.Errorf("%s", said(a.body))}
		case a.status != 429 && a.status < 500:
			return nil, coded{exitFailed, fmt.Errorf("status %d: %s", a.status, said(a.body))}
		default:
			err = fmt.Errorf("status %d: %s", a.status, said(a.body))
		}
		if time.Now().Add(a.wait).After(end) {
			return nil, coded{exitFailed, fmt.Errorf("given up after a minute: %w", err)}
		}
		time.Sleep(a.wait)
	}
}

// said is the service's own word for what is wrong.
func said(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	return strings.TrimSpace(string(body))
}

// ask sends a request to the controller that leads: whoever is asked names it. A request that
// can't be taken now is sent again for up to a minute; a command is not, once its outcome is
// open.
func (o *operator) ask(method, path string, body, into any) error {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	server, last := "", error(nil)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a, err := o.once(method, server, path, raw)
		var c coded
		switch {
		case errors.As(err, &c):
			return err
		case untrusted(err):
			return coded{exitFailed, err}
		case err != nil && body != nil:
			return coded{exitFailed, fmt.Errorf("no answer: look whether the command was carried out before giving it again: %w", err)}
		case err != nil:
			server, last = "", err
			continue
		}
		var l struct {
			Leader string `json:"leader"`
			Secure string `json:"leader_tls"`
		}
		_ = json.Unmarshal(a.body, &l)
		if o.scheme == "https" {
			l.Leader = l.Secure
		}
		switch {
		case a.status == 200 || a.status == 201:
			return json.Unmarshal(a.body, into)
		case a.status == 421 && l.Leader != "":
			server, last = l.Leader, fmt.Errorf("%s leads and does not answer", l.Leader)
		case a.status == 503 || a.status == 429 || a.status == 421:
			server, last = "", fmt.Errorf("%s", said(a.body))
		case a.status == 400 || a.status == 404 || a.status == 401:
			why := said(a.body)
			if a.status == 404 && !strings.HasPrefix(string(a.body), "{") {
				why = "the cluster has no such thing; is it switched on in its operators' settings?"
			}
			return coded{exitUsage, fmt.Errorf("%s", why)}
		default:
			return coded{exitRefused, fmt.Errorf("%s (status %d)", said(a.body), a.status)}
		}
	}
	return coded{exitFailed, fmt.Errorf("given up after a minute: %w", last)}
}

// outputs are what a command can print.
var outputs = []string{"table", "json", "yaml"}

// outputFlag adds the flag that chooses among them.
func outputFlag(f *pflag.FlagSet, into *string) {
	f.StringVarP(into, "output", "o", "table", "table, json or yaml")
}
