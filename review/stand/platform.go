package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// keepAliveInterval is the time after which discovery sends an empty line on a watch.
const keepAliveInterval = 2 * time.Second

// Member is one entry of the list of endpoints.
type Member struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// List is an object of discovery.
type List struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

// Notice is a notice that the platform has received.
type Notice struct {
	ID      string  `json:"id"`
	Status  string  `json:"status"`
	AgainMS float64 `json:"again_ms"`
	At      time.Time
}

// Platform stands for the agent of discovery on the relay's machine, which takes the notices too.
type Platform struct {
	record   *Record
	server   *http.Server
	Address  string
	OnNotice func(Notice)

	mu      sync.Mutex
	list    List
	changed chan struct{}
	notices map[string]Notice
}

// StartPlatform starts a platform with a list of endpoints, which is the version 1.
func StartPlatform(ctx context.Context, record *Record, hosts []Member) (*Platform, error) {
	p := &Platform{record: record, list: List{Seq: 1, Whole: true, Hosts: hosts}, changed: make(chan struct{}),
		notices: map[string]Notice{}}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.members)
	mux.HandleFunc("POST /v1/outcomes", p.outcomes)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			record.Add("platform: %v", err)
		}
	}()
	return p, nil
}

// Known returns the list as it is now.
func (p *Platform) Known() List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// SetList replaces the list by its next version.
func (p *Platform) SetList(hosts []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = List{Seq: p.list.Seq + 1, Whole: true, Hosts: hosts}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Notice returns the first notice of a message.
func (p *Platform) Notice(id string) (Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.notices[id]
	return n, ok
}

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// members answers a request for the list or for a watch. A watch gets the whole list at each change.
func (p *Platform) members(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		_ = json.NewEncoder(w).Encode(p.Known())
		return
	}
	index := r.URL.Query().Get("index")
	p.record.Add("discovery watch index=%s", index)
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent := index
	for {
		p.mu.Lock()
		list, changed := p.list, p.changed
		p.mu.Unlock()
		if now := fmt.Sprint(list.Seq); now != sent {
			if json.NewEncoder(w).Encode(list) != nil {
				return
			}
			sent = now
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(keepAliveInterval):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}

// outcomes receives notices.
func (p *Platform) outcomes(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		n := Notice{At: time.Now()}
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.record.Add("notice id=%s status=%s again_ms=%v", n.ID, n.Status, n.AgainMS)
		p.mu.Lock()
		if _, ok := p.notices[n.ID]; !ok {
			p.notices[n.ID] = n
		}
		p.mu.Unlock()
		if p.OnNotice != nil {
			p.OnNotice(n)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
