package relay

import (
	"bufio"
	"net/http"
)

// answer is what a relay answers to a request, without its body.
type answer struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool
}

// do sends a request and gives its answer.
func do(r *http.Request) (answer, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// nextAnswer reads the next answer on a connection.
func nextAnswer(in *bufio.Reader) (answer, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer{resp.Status, resp.StatusCode, resp.Header, resp.Close}, nil
}

// health asks the relay for its health.
func (p *platform) health() (answer, error) {
	p.t.Helper()
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+p.addr+"/_health", http.NoBody)
	if err != nil {
		return answer{}, err
	}
	return do(r)
}
