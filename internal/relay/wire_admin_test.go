package relay

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// Masks for replies of the admin endpoint.
var (
	// maskSeconds hides times, ages and the remaining duration of an operator's order.
	maskSeconds = mask{regexp.MustCompile(`"(age_s|known_s|for_s|until_s)":[0-9.e+-]+`), `"$1":SECONDS`}
	// maskProcess hides values that differ between processes and over time: the incarnation, the digest of the facts, and the
	// values of facts, such as the sequence number of a heartbeat.
	maskProcess = mask{regexp.MustCompile(`"(incarnation|digest|value)":\d+`), `"$1":NUMBER`}
	// maskVersion hides the version of the program, which is the key of the facts of kind "member".
	maskVersion = mask{regexp.MustCompile(`"kind":"member","key":"\w*"`), `"kind":"member","key":"VERSION"`}
)

// sendAdminCommand sends a line to an admin endpoint and returns the whole reply.
func sendAdminCommand(tb testing.TB, addr, line string) string {
	tb.Helper()
	conn, err := (&net.Dialer{}).DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, line); err != nil {
		tb.Fatal(err)
	}
	reply, err := io.ReadAll(conn)
	if err != nil {
		tb.Fatal(err)
	}
	return string(reply)
}

// writeModifiedConfig writes the platform's configuration after change has modified its top level, its settings and their limits.
// It returns the path of the file.
func (p *platform) writeModifiedConfig(change func(top, settings, limits map[string]any)) string {
	p.t.Helper()
	path := p.writeConfig()
	text, err := os.ReadFile(path)
	if err != nil {
		p.t.Fatal(err)
	}
	var top map[string]any
	if err := json.Unmarshal(text, &top); err != nil {
		p.t.Fatal(err)
	}
	settings, isObject := top["settings"].(map[string]any)
	limits, hasLimits := settings["limits"].(map[string]any)
	if !isObject || !hasLimits {
		p.t.Fatalf("configuration has settings %v, want an object with limits", top["settings"])
	}
	change(top, settings, limits)
	if text, err = json.Marshal(top); err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

// waitUntilReady waits until the relay reports that it serves clients.
func (p *platform) waitUntilReady() {
	p.t.Helper()
	p.waitUntil("the relay reports that it is healthy", p.isHealthy)
}

// isHealthy reports whether the relay reports that it serves clients.
func (p *platform) isHealthy() bool {
	p.t.Helper()
	resp, err := p.getHealth()
	return err == nil && resp.StatusCode == http.StatusOK
}

// writeConfigWithPeer writes the configuration of a relay in a fleet of two, whose other relay is represented by a socket for
// gossip, and returns the path of the file.
func (p *platform) writeConfigWithPeer(other *net.UDPConn, change func(top map[string]any)) string {
	own := listenUDP(p.t)
	addr := own.LocalAddr().String()
	_ = own.Close() // the relay listens at this address
	return p.writeModifiedConfig(func(top, settings, limits map[string]any) {
		top["peer_listen"], top["peers"] = addr, []string{addr, other.LocalAddr().String()}
		top["peers_all"] = other.LocalAddr().String()
		settings["n_instances"], limits["peers"] = 2, true
		change(top)
	})
}

// listenUDP opens a socket for gossip. It is closed when the test ends.
func listenUDP(tb testing.TB) *net.UDPConn {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Operators' scripts match replies of the admin endpoint. The test compares them byte for byte, with all optional features on.
func TestAdminRepliesOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	p.startWithConfig(p.writeConfigWithPeer(listenUDP(t), func(top map[string]any) {
		top["fleet"], top["zones"], top["newcomers"] = true, true, true
	}))
	p.waitUntil("the relay serves clients", func() bool { return sendAdminCommand(t, p.admin, "health\n") == "OK\n" })
	p.exchangeRaw(clientRequest("POST /unknown", "hi"))
	p.exchangeRaw(clientRequest("POST /status", "hi", "X-Envelope: dest=9"))
	p.submitAccepted("status", "delivered", "25")
	p.waitUntil("the delivery is counted", func() bool {
		return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), `{lane="status",result="completed"} 1`)
	})
	text := ""
	for _, line := range []string{"health", "counters", "diagnostics", "diagnostics now", "zone status", "zone",
		"zone close a", "zone evacuate nowhere 10m", "zone evacuate a soon", "zone evacuate a 10m", "zone restore a",
		"zone restore a now", "servers", "unknown", "", strings.Repeat("x", 200)} {
		text += section(fmt.Sprintf("%.30s", line), sendAdminCommand(t, p.admin, line+"\n"))
	}
	text += section("fleet", p.fleetView())
	compareWire(t, "admin.txt", applyMasks(text, maskSeconds, maskProcess, maskVersion))
}

// fleetView returns the reply to the command "fleet", once it contains the relay's own fact and one about a destination's pace.
func (p *platform) fleetView() (view string) {
	p.t.Helper()
	p.waitUntil("the reply has facts of the kinds member and pace", func() bool {
		view = sendAdminCommand(p.t, p.admin, "fleet\n")
		return strings.Contains(view, `"kind":"member"`) && strings.Contains(view, `"kind":"pace"`)
	})
	return view
}

// The test compares the replies of the admin endpoint byte for byte with all optional features off.
func TestAdminRepliesWithoutFeaturesOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	p.start()
	p.waitUntil("the relay serves clients", func() bool { return sendAdminCommand(t, p.admin, "health\n") == "OK\n" })
	text := ""
	for _, line := range []string{"health", "counters", "diagnostics", "zone status", "servers", "fleet"} {
		text += section(line, sendAdminCommand(t, p.admin, line+"\n"))
	}
	compareWire(t, "admin_without_parts.txt", text)
}

// nextDatagram returns the next datagram that begins with the given bytes, and drops others.
func nextDatagram(t *testing.T, conn *net.UDPConn, prefix string) []byte {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		buffer := make([]byte, 1<<10)
		size, err := conn.Read(buffer)
		if err != nil {
			t.Fatalf("received no datagram that begins with %x: %v", prefix, err)
		}
		if strings.HasPrefix(string(buffer[:size]), prefix) {
			return buffer[:size]
		}
	}
}

// rejectCall answers a call with 429 and a wait of 700 ms, which the relay reports to other relays.
func rejectCall(recordedRequest) string {
	return "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 700\r\nContent-Length: 0\r\n\r\n"
}

// Relays of different versions exchange gossip. The test compares the datagrams that report a rejection: in the policy's own format
// with the option "fleet" off, and as a fact with it on. With the option on, it also compares the request that a new relay sends
// when it joins. Package fleet tests all bytes of the facts' format.
func TestGossipOnTheWire(t *testing.T) {
	text := ""
	for _, fleet := range []bool{false, true} {
		p, other := newPlatform(t), listenUDP(t)
		p.hosts = []Member{memberAt(startRecorder(t, rejectCall).addr)}
		p.startWithConfig(p.writeConfigWithPeer(other, func(top map[string]any) { top["fleet"] = fleet }))
		if fleet {
			text += section("a newcomer asks", hex.Dump(nextDatagram(t, other, "F\x01\x04")))
		}
		p.submitAccepted("status", "m", "25")
		if fleet {
			text += section("a refusal, as a fact", formatFact(nextDatagram(t, other, "F\x01\x00\x02")))
		} else {
			text += section("a refusal, as the module's note", formatRejection(t, nextDatagram(t, other, "c")))
		}
	}
	compareWire(t, "notes.txt", text)
}

// formatRejection formats the policy's report of a rejection, with the age at its end masked.
func formatRejection(t *testing.T, datagram []byte) string {
	t.Helper()
	const lengthWithoutAge = 4 // a type byte, the destination, and the wait in two bytes
	if len(datagram) <= lengthWithoutAge {
		t.Fatalf("report of a rejection is too short: %x", datagram)
	}
	if _, size := binary.Uvarint(datagram[lengthWithoutAge:]); size != len(datagram)-lengthWithoutAge {
		t.Fatalf("report of a rejection does not end with an age: %x", datagram)
	}
	return hex.Dump(datagram[:lengthWithoutAge]) + "AGE\n"
}

// formatFact formats a datagram with one fact, number by number. It masks the incarnation, the fact's sequence number and its
// age, which vary between runs.
func formatFact(datagram []byte) string {
	const headLength = 4 // type byte, version, flags, kind
	text := fmt.Sprintf("% x\n", datagram[:headLength])
	rest := datagram[headLength:]
	for _, name := range []string{"origin", "INCARNATION", "NUMBER", "value", "AGE", "length of the key"} {
		value, size := binary.Uvarint(rest)
		rest = rest[max(0, size):]
		if name == strings.ToUpper(name) {
			text += name + "\n"
		} else {
			text += fmt.Sprintf("%s %d\n", name, value)
		}
	}
	return text + fmt.Sprintf("key %q\n", rest)
}
