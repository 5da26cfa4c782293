package main

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/access"
)

const (
	// retryLimit is how long a request is repeated; error texts name it as "a minute".
	retryLimit = time.Minute
	// requestTimeout bounds one request and its response.
	requestTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound what a response's Retry-After asks for.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// leaderRetryDelay is the time between two attempts to reach the leader.
	leaderRetryDelay = 500 * time.Millisecond
)

// apiClient sends the commands' requests to a cluster. The flags of a command set the first group of fields; connect
// sets the second from them before the first request.
type apiClient struct {
	server    string
	tokenFile string
	caFile    string
	output    string
	bearer    string // used in place of the token in tokenFile; empty: none

	http    *fasthttp.Client // nil until the first request
	scheme  string
	address string // of the server, without the scheme
}

// apiResponse is one response of a controller.
type apiResponse struct {
	status     int
	body       []byte
	retryAfter time.Duration // between minRetryDelay and maxRetryDelay
}

// message returns the service's own text about what is wrong, or the whole body if there is none.
func (r apiResponse) message() string {
	var failed struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(r.body, &failed) == nil && failed.Error != "" {
		return failed.Error
	}
	return strings.TrimSpace(string(r.body))
}

// statusError is a response with a status that is no success.
type statusError struct {
	status  int
	message string
}

// Error returns the status and the service's message.
func (e statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.message) }

func (r apiResponse) statusError() statusError {
	return statusError{status: r.status, message: r.message()}
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (c *apiClient) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.server, "server", envOr("HAREWALK_SERVER", "127.0.0.1:8080"),
		"address of a controller or of the load balancer, https://HOST:PORT for TLS (or $HAREWALK_SERVER)")
	flags.StringVar(&c.tokenFile, "token-file", os.Getenv("HAREWALK_TOKEN_FILE"),
		"file with your token (or $HAREWALK_TOKEN_FILE)")
	flags.StringVar(&c.caFile, "ca", os.Getenv("HAREWALK_CA"),
		"file with the authority of the controllers' certificates, PEM (or $HAREWALK_CA; default: the system's)")
	addOutputFlag(flags, &c.output)
}

// token returns the token to send; empty: none.
func (c *apiClient) token() (string, error) {
	if c.bearer != "" {
		return c.bearer, nil
	}
	if c.tokenFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", usageError(fmt.Errorf("--token-file: %w", err))
	}
	return strings.TrimSpace(string(raw)), nil
}

// connect checks the flags and makes the HTTP client, once.
func (c *apiClient) connect() error {
	if c.http != nil {
		return nil
	}
	if err := checkOutputFormat(c.output); err != nil {
		return err
	}
	c.scheme = "http"
	c.address = strings.TrimPrefix(c.server, "http://")
	if address, ok := strings.CutPrefix(c.server, "https://"); ok {
		c.scheme = "https"
		c.address = address
	}
	tlsConfig, err := c.tlsConfig()
	if err != nil {
		return err
	}
	c.http = &fasthttp.Client{TLSConfig: tlsConfig, MaxIdemponentCallAttempts: 1}
	return nil
}

// tlsConfig returns nil where the server is reached without TLS.
func (c *apiClient) tlsConfig() (*tls.Config, error) {
	if c.scheme != "https" {
		if c.caFile != "" && os.Getenv("HAREWALK_CA") != c.caFile {
			return nil, usageError(errors.New("--ca is for a --server that begins with https://"))
		}
		return nil, nil
	}
	var authority []byte
	if c.caFile != "" {
		raw, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("--ca: %w", err))
		}
		authority = raw
	}
	tlsConfig, err := access.Client(authority)
	if err != nil {
		return nil, usageError(fmt.Errorf("--ca %s: %w", c.caFile, err))
	}
	return tlsConfig, nil
}

// send sends a request once, to the controller at an address or, where that is empty, to the server that the flags
// name.
func (c *apiClient) send(method, address, path string, body []byte) (apiResponse, error) {
	if err := c.connect(); err != nil {
		return apiResponse{}, err
	}
	token, err := c.token()
	if err != nil {
		return apiResponse{}, err
	}
	if address == "" {
		address = c.address
	}
	return exchange(c.http, method, c.scheme+"://"+address+path, token, body)
}

// sendPlain sends a request once, without TLS and token.
func sendPlain(method, url string, body []byte) (apiResponse, error) {
	return exchange(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, method, url, "", body)
}

// exchange sends one request, with a token if there is one, and returns a response that owns its body.
func exchange(client *fasthttp.Client, method, url, token string, body []byte) (apiResponse, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetConnectionClose()
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := client.DoDeadline(req, resp, time.Now().Add(requestTimeout)); err != nil {
		return apiResponse{retryAfter: minRetryDelay}, err
	}
	return apiResponse{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...),
		retryAfter: retryDelay(string(resp.Header.Peek("Retry-After"))),
	}, nil
}

// retryDelay returns the delay that a Retry-After header asks for, in seconds, within its bounds.
func retryDelay(header string) time.Duration {
	delay, err := time.ParseDuration(header + "s")
	if err != nil {
		return minRetryDelay
	}
	return min(max(delay, minRetryDelay), maxRetryDelay)
}

// isUntrusted reports whether the server's certificate was not accepted: repeating the request can't help.
func isUntrusted(err error) bool {
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}

// isFinal reports whether an error has an exit code already, so that the request isn't repeated.
func isFinal(err error) bool {
	var exit exitError
	return errors.As(err, &exit)
}

// callAny sends a request that any controller can serve. It is repeated while the service asks for it, until
// retryLimit. The errors it returns have exit codes.
func (c *apiClient) callAny(method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(retryLimit)
	for {
		resp, err := c.send(method, "", path, body)
		if isUntrusted(err) {
			return nil, failure(err)
		}
		if err == nil {
			err = resp.callError()
		}
		if err == nil {
			return resp.body, nil
		}
		if isFinal(err) {
			return nil, err
		}
		if time.Now().Add(resp.retryAfter).After(deadline) {
			return nil, failure(fmt.Errorf("given up after a minute: %w", err))
		}
		time.Sleep(resp.retryAfter)
	}
}

// callError returns nil for a success, an error with an exit code where repeating the request can't help, and an error
// without one otherwise.
func (r apiResponse) callError() error {
	switch {
	case r.status < http.StatusMultipleChoices:
		return nil
	case r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity:
		return refusal(fmt.Errorf("refused with %w", r.statusError()))
	case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden:
		return usageError(errors.New(r.message()))
	case r.status != http.StatusTooManyRequests && r.status < http.StatusInternalServerError:
		return failure(r.statusError())
	}
	return r.statusError()
}

// callLeader sends a request to the leader, which any controller names, and decodes the response. A request that can't
// be served now is repeated until retryLimit. A command, which has a body, isn't repeated once its outcome is
// indeterminate.
func (c *apiClient) callLeader(req request, into any) error {
	var raw []byte
	if req.body != nil {
		raw, _ = json.Marshal(req.body)
	}
	leader := "" // its address; empty: not known
	var lastErr error
	for deadline := time.Now().Add(retryLimit); time.Now().Before(deadline); time.Sleep(leaderRetryDelay) {
		resp, err := c.send(req.method, leader, req.path, raw)
		if err == nil && isLeadersSuccess(resp.status) {
			return json.Unmarshal(resp.body, into)
		}
		if err != nil {
			leader = ""
			lastErr = sendError(err, req.body != nil)
		} else {
			leader, lastErr = c.redirect(resp)
		}
		if isFinal(lastErr) {
			return lastErr
		}
	}
	return failure(fmt.Errorf("given up after a minute: %w", lastErr))
}

func isLeadersSuccess(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated
}

// sendError gives an exit code to the error of a request without a response, if the request must not be repeated.
func sendError(err error, isCommand bool) error {
	switch {
	case isFinal(err):
		return err
	case isUntrusted(err):
		return failure(err)
	case isCommand:
		const text = "no answer: look whether the command was carried out before giving it again: %w"
		return failure(fmt.Errorf(text, err))
	}
	return err
}

// redirect returns the address to send a request to next, empty for the server of the flags, and what was wrong with
// the response; the error has an exit code where the request must not be repeated.
func (c *apiClient) redirect(resp apiResponse) (leader string, err error) {
	switch resp.status {
	case http.StatusMisdirectedRequest:
		if leader := c.leaderNamedBy(resp.body); leader != "" {
			return leader, fmt.Errorf("%s leads and does not answer", leader)
		}
		return "", errors.New(resp.message())
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return "", errors.New(resp.message())
	case http.StatusNotFound:
		if !strings.HasPrefix(string(resp.body), "{") {
			const text = "the cluster has no such thing; is it switched on in its operators' settings?"
			return "", usageError(errors.New(text))
		}
		return "", usageError(errors.New(resp.message()))
	case http.StatusBadRequest, http.StatusUnauthorized:
		return "", usageError(errors.New(resp.message()))
	}
	return "", refusal(fmt.Errorf("%s (status %d)", resp.message(), resp.status))
}

// leaderNamedBy returns the leader's address for the client's scheme; empty: the response names none.
func (c *apiClient) leaderNamedBy(body []byte) string {
	var named struct {
		Plain string `json:"leader"`
		TLS   string `json:"leader_tls"`
	}
	_ = json.Unmarshal(body, &named)
	if c.scheme == "https" {
		return named.TLS
	}
	return named.Plain
}

// currentUser returns the name of the user who runs the command; empty: not known.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
