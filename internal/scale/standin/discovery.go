package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Discovery is a stand-in for discovery: it serves the list of destinations to one relay and receives its
// notifications of failed messages.
type Discovery struct {
	list   *List
	server *http.Server
	done   sync.WaitGroup

	control, outcomes counter
	notices           atomic.Int64
	wholeLists        atomic.Int64
}

// OpenDiscovery starts to serve a list at a TCP address.
func OpenDiscovery(address string, list *List) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{list: list}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ConnContext: withConn}
	d.done.Go(func() { _ = d.server.Serve(meteredListener{listener, &d.control}) })
	return d, nil
}

// Close closes the listener and all connections.
func (d *Discovery) Close() {
	_ = d.server.Close()
	d.done.Wait()
}

// Control returns the traffic of list requests and watches, without that of notifications.
func (d *Discovery) Control() Traffic { return d.control.traffic() }

// Outcomes returns the traffic of notifications. The head of the first request of each connection counts as Control.
func (d *Discovery) Outcomes() Traffic { return d.outcomes.traffic() }

// Notices returns the number of messages for which the relay sent a notification.
func (d *Discovery) Notices() int64 { return d.notices.Load() }

// WholeLists returns how often the whole list was sent.
func (d *Discovery) WholeLists() int64 { return d.wholeLists.Load() }

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/outcomes" && r.Method == http.MethodPost:
		assign(r, &d.outcomes)
		d.takeNotices(w, r)
	case r.URL.Path == "/catalog/members" && r.Method == http.MethodGet:
		assign(r, &d.control)
		d.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// takeNotices counts the notifications in the body of a request, one per line, and rejects the request if one has no
// id.
func (d *Discovery) takeNotices(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var notice struct {
			ID string `json:"id"`
		}
		if err := json.Unmarshal(lines.Bytes(), &notice); err != nil || notice.ID == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.notices.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// watch sends the list or its changes since the requested version. With stream=1 it then sends each further change
// until the connection ends.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil || since < 0 || since > d.list.Version() {
		since = 0
	}
	out := http.NewResponseController(w)
	version, err := d.write(w, since)
	if err != nil || r.URL.Query().Get("stream") != "1" {
		return
	}
	for out.Flush() == nil {
		if version, err = d.next(w, r, version); err != nil {
			return
		}
	}
}

// write sends the whole list if since is 0, else the changes after that version.
func (d *Discovery) write(w http.ResponseWriter, since int) (version int, err error) {
	if since == 0 {
		d.wholeLists.Add(1)
		return d.list.WriteWhole(w)
	}
	return d.list.WriteSince(w, since)
}

// errWatchEnded is returned when the relay has closed the connection of its watch.
var errWatchEnded = errors.New("the watch has ended")

// next waits for a change after a version and sends it; if there is none within keepAliveInterval, it sends an empty
// line.
func (d *Discovery) next(w http.ResponseWriter, r *http.Request, version int) (int, error) {
	changed := d.list.await(version)
	if changed == nil {
		return d.list.WriteSince(w, version)
	}
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return version, errWatchEnded
	case <-changed:
		return d.list.WriteSince(w, version)
	case <-timer.C:
		_, err := w.Write([]byte("\n"))
		return version, err
	}
}
