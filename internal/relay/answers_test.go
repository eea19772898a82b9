package relay

import (
	"bufio"
	"net/http"
)

// httpResponse is what a relay answers to a request, without its body.
type httpResponse struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool
}

// sendRequest sends a request and gives its answer.
func sendRequest(r *http.Request) (httpResponse, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return httpResponse{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// readResponse reads the next answer on a connection.
func readResponse(in *bufio.Reader) (httpResponse, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return httpResponse{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// getHealth asks the relay for its getHealth.
func (p *platform) getHealth() (httpResponse, error) {
	p.t.Helper()
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+p.addr+"/_health", http.NoBody)
	if err != nil {
		return httpResponse{}, err
	}
	return sendRequest(r)
}
