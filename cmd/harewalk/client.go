package main

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/access"
)

const (
	// requestTimeout bounds one request and its response.
	requestTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay that a response's Retry-After header requests.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// apiClient sends the commands' requests to a cluster. A command's flags set the first group of fields. From these,
// connect sets the second group before the first request.
type apiClient struct {
	server    string
	tokenFile string
	caFile    string
	output    string
	bearer    string // token that replaces the one in tokenFile; empty: tokenFile is used

	http    *fasthttp.Client // nil before the first request
	scheme  string
	address string // HOST:PORT of the server
}

// apiResponse is one response of a controller.
type apiResponse struct {
	status     int
	body       []byte
	retryAfter time.Duration // delay before a retry, between minRetryDelay and maxRetryDelay
}

// message returns the error text of the response, or the whole body if it has none.
func (r apiResponse) message() string {
	var errorBody struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(r.body, &errorBody) == nil && errorBody.Error != "" {
		return errorBody.Error
	}
	return strings.TrimSpace(string(r.body))
}

func (r apiResponse) serviceError() *serviceError {
	return &serviceError{status: r.status, message: r.message()}
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
		"address HOST:PORT of a controller or the load balancer; https://HOST:PORT for TLS (or $HAREWALK_SERVER)")
	flags.StringVar(&c.tokenFile, "token-file", os.Getenv("HAREWALK_TOKEN_FILE"),
		"file with your token (or $HAREWALK_TOKEN_FILE)")
	flags.StringVar(&c.caFile, "ca", os.Getenv("HAREWALK_CA"),
		"PEM file with the CA certificate of the controllers (or $HAREWALK_CA; default: the system's CAs)")
	addOutputFlag(flags, &c.output)
}

// token returns the token to send, or "" if none is configured.
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

// connect checks the flags and creates the HTTP client on the first call. Later calls do nothing.
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

// tlsConfig returns the TLS configuration, or nil if the server's address is not an https URL. A --ca flag without an
// https URL is an error.
func (c *apiClient) tlsConfig() (*tls.Config, error) {
	if c.scheme != "https" {
		if c.caFile != "" && os.Getenv("HAREWALK_CA") != c.caFile {
			return nil, usageError(errCAWithoutTLS)
		}
		return nil, nil
	}
	var caPEM []byte
	if c.caFile != "" {
		raw, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("--ca: %w", err))
		}
		caPEM = raw
	}
	tlsConfig, err := access.ClientConfig(caPEM)
	if err != nil {
		return nil, usageError(fmt.Errorf("--ca %s: %w", c.caFile, err))
	}
	return tlsConfig, nil
}

// send sends a request once. An empty address stands for the server of the --server flag.
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

// sendPlain sends a request once, without TLS and without a token.
func sendPlain(method, url string, body []byte) (apiResponse, error) {
	return exchange(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, method, url, "", body)
}

// exchange sends one request and returns a response that owns its body. An empty token is not sent.
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

// retryDelay returns the delay of a Retry-After header, which gives seconds, within minRetryDelay and maxRetryDelay.
func retryDelay(header string) time.Duration {
	delay, err := time.ParseDuration(header + "s")
	if err != nil {
		return minRetryDelay
	}
	return min(max(delay, minRetryDelay), maxRetryDelay)
}

// currentUser returns the name of the user who runs the command, or "" if the system doesn't give it.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
