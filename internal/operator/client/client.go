// Package client calls the operators' listeners of the VMs and tries the next VM
// when one does not answer. The VMs decide on changes; the messages are defined in
// package api.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	// attemptTimeout bounds one call to one VM. It is longer than the 8 s for which a VM
	// waits for the decision on an apply.
	attemptTimeout = 12 * time.Second
	// maxResponseBytes bounds the body of a response other than a watch.
	maxResponseBytes = 64 << 20
	// maxProblemBytes bounds the body of an error response.
	maxProblemBytes = 1 << 20
)

// Client calls the operators' API of a list of VMs. It is safe for concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client

	mu      sync.Mutex
	current int // index of the address that is called
}

// New returns a client of the VMs at the addresses, each HOST:PORT or a URL. An empty
// token sends none, and a nil transport means http.DefaultTransport. The errors of New
// do not quote the addresses, which may contain credentials.
func New(addresses []string, token string, transport http.RoundTripper) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no VM address is given")
	}
	c := &Client{token: token, http: &http.Client{Transport: transport}}
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		parsed, err := url.Parse(address)
		if err != nil || parsed.Host == "" || parsed.User != nil {
			return nil, errors.New("a VM address is not HOST:PORT or http://HOST:PORT")
		}
		c.addresses = append(c.addresses, strings.TrimRight(address, "/"))
	}
	return c, nil
}

// Apply changes all resources of the request or none. The error is an *api.Problem
// if a VM answered with a problem other than ProblemUnavailable. The request needs an
// ID, so that it can be repeated at another VM when the answer of the first is lost.
func (c *Client) Apply(ctx context.Context, request api.ApplyRequest) (api.ApplyResponse, error) {
	var response api.ApplyResponse
	if request.ID == uuid.Nil {
		return response, errors.New("the apply request has no identifier")
	}
	body, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrap(err, "encode apply request")
	}
	err = c.call(ctx, http.MethodPost, api.PathApply, body, &response)
	return response, err
}

// List returns the resources of the kind, or all resources if the kind is empty.
func (c *Client) List(ctx context.Context, kind resource.Kind) (api.List, error) {
	path := api.PathResources
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var list api.List
	err := c.call(ctx, http.MethodGet, path, nil, &list)
	return list, err
}

// Get returns one resource as a list of one.
func (c *Client) Get(ctx context.Context, id resource.ID) (api.List, error) {
	path := api.PathResources + "/" + url.PathEscape(string(id.Kind)) + "/" + url.PathEscape(id.Name)
	var list api.List
	err := c.call(ctx, http.MethodGet, path, nil, &list)
	return list, err
}

// Status returns the overview of the VM that answers.
func (c *Client) Status(ctx context.Context) (api.Overview, error) {
	var overview api.Overview
	err := c.call(ctx, http.MethodGet, api.PathStatus, nil, &overview)
	return overview, err
}

// call tries each VM at most once, until one answers, and decodes its response into
// result. Repeating a call at another VM is safe, because only Apply changes
// anything, and its identifier makes it idempotent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	var failures []string
	for range c.addresses {
		err := c.attempt(ctx, method, path, body, result)
		if err == nil || !canTryNextVM(err) {
			return err
		}
		failures = append(failures, err.Error())
		if ctx.Err() != nil {
			break
		}
		c.advance()
	}
	return errors.Errorf("no VM answered: %s", strings.Join(failures, "; "))
}

// canTryNextVM reports whether another VM may succeed after the error: the VM did not
// answer, or its answer says that it is not available.
func canTryNextVM(err error) bool {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Type == api.ProblemUnavailable
	}
	return true
}

// attempt makes one call to the current VM.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// send returns a response with status 200; the caller closes its body.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if body != nil {
		request.Header.Set("Content-Type", api.ContentJSON)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readProblem(response)
}

// readProblem returns the error response as an *api.Problem, or an error with the
// HTTP status if the body is not a problem document.
func readProblem(response *http.Response) error {
	problem := &api.Problem{}
	err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(problem)
	if err != nil || problem.Type == "" {
		return errors.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	return problem
}

func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.current]
}

// advance makes the next VM the one that is called.
func (c *Client) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = (c.current + 1) % len(c.addresses)
}
