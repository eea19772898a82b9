package rollout

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against an update that is lost when the agent's process ends during it: the next process repeats the update and keeps the
// fencing token.
func TestInterruptedUpdate(t *testing.T) {
	f := newTestFleet(t, 1)
	f.runners[0].blocked = make(chan struct{})
	version := checksum(t, f.newProgram)
	for _, q := range []request{
		{Operation: operationStore, FencingToken: 1, Checksum: version, Path: f.newProgram},
		{Operation: operationUpdate, FencingToken: 1, Checksum: version},
	} {
		if _, err := call(t.Context(), f.plan.Agents[0].Address, q); err != nil {
			t.Fatal(err)
		}
	}
	f.servers[0].Close()
	close(f.runners[0].blocked)
	server, err := NewServer(0, f.agentDir(0), f.oldProgram, f.runners[0])
	if err != nil {
		t.Fatal(err)
	}
	server.work.Wait()
	server.Close()
	if f.running(t, f.newProgram) != 1 || server.state.Version != version || server.state.FencingToken != 1 {
		t.Errorf("restarted agent: got state %+v, want the new version and fencing token 1", server.state)
	}
}

// Guards against updates by a superseded controller or from outside. An agent rejects requests with a stale fencing token, unknown
// operations, programs that it has not stored and paths outside its directory, and listens on loopback addresses only.
func TestRejectedRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	address, version := f.plan.Agents[0].Address, checksum(t, f.newProgram)
	if _, err := call(t.Context(), address, request{Operation: operationStatus, FencingToken: 7}); err != nil {
		t.Fatal(err)
	}
	stale := request{Operation: operationUpdate, FencingToken: 6, Checksum: version}
	if _, err := call(t.Context(), address, stale); !errors.Is(err, ErrStaleToken) {
		t.Errorf("request with a stale token: got error %v, want ErrStaleToken", err)
	}
	var rejected *AgentError
	for _, q := range []request{
		{Operation: "erase", FencingToken: 7},
		{Operation: operationUpdate, FencingToken: 7, Checksum: version},
		{Operation: operationUpdate, FencingToken: 7, Checksum: "../../old"},
		{Operation: operationStore, FencingToken: 7, Checksum: version, Path: f.oldProgram},
		{Operation: operationStore, FencingToken: 7, Checksum: version, Path: "nothing"},
	} {
		if _, err := call(t.Context(), address, q); !errors.As(err, &rejected) {
			t.Errorf("request %+v: got error %v, want an *AgentError", q, err)
		}
	}
	// A file in place of the directory of programs makes all writes fail, as a full disk does.
	versions := filepath.Join(f.agentDir(0), versionsName)
	if err := errors.Join(os.RemoveAll(versions), os.WriteFile(versions, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	unwritable := request{Operation: operationStore, FencingToken: 7, Checksum: version, Path: f.newProgram}
	if _, err := call(t.Context(), address, unwritable); err == nil {
		t.Error("storing a program without a writable directory succeeded, want an error")
	}
	if _, err := (&Server{}).Listen("0.0.0.0:0"); err == nil {
		t.Error("listening on 0.0.0.0 succeeded, want an error: agents listen on loopback only")
	}
	if f.running(t, f.oldProgram) != 1 {
		t.Error("the relay was updated by a rejected request")
	}
}
