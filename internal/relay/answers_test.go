package relay

import (
	"bufio"
	"net/http"
)

// httpResponse is a response of the relay, without its body.
type httpResponse struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool
}

// sendRequest sends a request and returns the response.
func sendRequest(r *http.Request) (httpResponse, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return httpResponse{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// readResponse reads the next response on a connection.
func readResponse(in *bufio.Reader) (httpResponse, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return httpResponse{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// getHealth requests the health of the relay.
func (p *platform) getHealth() (httpResponse, error) {
	p.t.Helper()
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+p.addr+"/_health", http.NoBody)
	if err != nil {
		return httpResponse{}, err
	}
	return sendRequest(r)
}
