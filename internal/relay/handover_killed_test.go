package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/notifier"
)

// A predecessor that is killed after the handover never reports the results of its calls in flight, so an endpoint may have
// executed them. The successor has to repeat a retryable message, and has to report a fragile one as undeliverable instead of
// sending it twice.
func TestPredecessorKilledWithCallsInFlight(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.openClientSocket()
	old := p.start()
	p.submitAccepted("order", "unsafe", "25")
	p.submitAccepted("status", "safe", "25")
	p.nextCall()
	p.nextCall()
	p.startSuccessor()
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.kill(old)
	if id := p.nextCall(); id != "safe" {
		t.Errorf("message %s was sent again, want the retryable one", id)
	}
	p.waitUntil("both messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.notifications(); len(n) != 1 || n[0] != (journal.Notification{ID: "unsafe", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notifications %v, want one: the fragile message is undeliverable", n)
	}
}

// runOwnerKilledAt is the main function of a child process that owns a state directory and kills itself at a step of a handover.
func runOwnerKilledAt(step, dir string) {
	die := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) }
	o, err := journal.AcquireOwnership(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "acquire ownership:", err)
		os.Exit(1)
	}
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "handover"), Net: "unix"})
	if err != nil {
		fmt.Fprintln(os.Stderr, "listen:", err)
		os.Exit(1)
	}
	go func() {
		defer die()
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		if request, err := in.ReadString('\n'); err != nil || request != `{"step":"ask"}`+"\n" {
			return
		}
		switch step {
		case "offered", "released":
			offer := `{"offer":{"out":[{"id":"m","attempt":0,"class":"status","dest":7,"host":"h1"}],"learned":null,"clients":0}}`
			if _, err := io.WriteString(conn, offer+"\n"); err != nil {
				return
			}
			if step == "released" {
				_, _ = in.ReadString('\n')
				o.Release()
			}
		case "half an offer":
			_, _ = io.WriteString(conn, `{"offer":{"out":[`)
		}
	}()
	fmt.Println("ready")
	select {}
}

// A predecessor that is killed in the middle of a handover must not lose a message: after each step of the handover, the
// successor has to start from the journal and deliver the message there exactly once.
func TestPredecessorKilledAtEachStep(t *testing.T) {
	for _, step := range []string{"asked", "half an offer", "offered", "released"} {
		t.Run(step, func(t *testing.T) {
			p := newPlatform(t)
			p.addHost("h1", 7)
			p.openClientSocket()
			j := openTestJournal(t, p.stateDir, 3)
			j.Accept(&journal.Entry{ID: "m", Class: "status", Dest: 7, ExpiresAt: clock.Now().Add(time.Minute)})
			commit(t, j)
			c := exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0])
			c.Env = append(os.Environ(), childKillStepVariable+"="+step, childStateVariable+"="+p.stateDir)
			out, err := c.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Process.Kill() })
			if word, err := bufio.NewReader(out).ReadString('\n'); err != nil {
				t.Fatalf("predecessor not ready: read %q, error %v", word, err)
			}
			p.startSuccessor()
			_ = c.Wait()
			p.waitUntil("the message has ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			if got := p.calls(); len(got) != 1 || len(p.notifications()) != 0 {
				t.Errorf("calls %v, notifications %v; want one call and no notification", got, p.notifications())
			}
		})
	}
}
