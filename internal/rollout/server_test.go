package rollout

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// An agent whose process ends during an update repeats the update when it starts again.
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
		t.Errorf("%+v", server.state)
	}
}

// An agent rejects requests with a stale token, unknown operations, programs that it does not have, and paths outside its
// directory; and listens on loopback addresses only.
func TestRejectedRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	address, version := f.plan.Agents[0].Address, checksum(t, f.newProgram)
	if _, err := call(t.Context(), address, request{Operation: operationStatus, FencingToken: 7}); err != nil {
		t.Fatal(err)
	}
	stale := request{Operation: operationUpdate, FencingToken: 6, Checksum: version}
	if _, err := call(t.Context(), address, stale); !errors.Is(err, ErrStaleToken) {
		t.Errorf("a stale token: %v", err)
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
			t.Errorf("%+v: %v", q, err)
		}
	}
	// Nothing can be written in the directory of programs, as on a full disk.
	versions := filepath.Join(f.agentDir(0), versionsName)
	if err := errors.Join(os.RemoveAll(versions), os.WriteFile(versions, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	unwritable := request{Operation: operationStore, FencingToken: 7, Checksum: version, Path: f.newProgram}
	if _, err := call(t.Context(), address, unwritable); err == nil {
		t.Error("a program is stored on a full disk")
	}
	if _, err := (&Server{}).Listen("0.0.0.0:0"); err == nil {
		t.Error("an agent listens beyond loopback")
	}
	if f.running(t, f.oldProgram) != 1 {
		t.Error("the relay was updated")
	}
}
