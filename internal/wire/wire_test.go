package wire

import (
	"strings"
	"testing"
)

// beginLine is a line that starts instance 0 with valid settings and without gossip.
const beginLine = `["begin",0,7,{"categories":[{"aim_s":1,"deadline_s":5,"group":"all","idempotency":"retryable","points":1}],` +
	`"discovery":"automatic","limits":{"max_attempts":4,"max_open":20},"n_instances":1,"quantum_s":0.005,"news":1,` +
	`"shapes":["k"],"specifics":{"max_calls":3,"bundle_max":[1]},"weights":"off"}]`

// run serves the lines of a session and returns all replies.
func run(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

// Gossip messages must be sent and received in base64. A received report that a destination rejects must keep an instance
// from sending to it; an empty message must have no effect.
func TestGossip(t *testing.T) {
	withGossip := strings.Replace(strings.Replace(beginLine, `"max_open":20`, `"max_open":20,"peers":true`, 1), `"off"`, `"nominal"`, 1)
	list := `["manifest",0,[[0,5,"h1",4,"in_service",0,null]]]`
	call := `["call",0,"m",false,0,false,false,null,4.5,null,0,5]`
	out, err := run(t, `["round",1]`, withGossip, list, `["update",0,"SAVED",1,0]`, call, `["your_turn"]`,
		`["round",2]`, `["answer",0,"m","h1",0,"QueueFull",700,0.1,false,null]`, `["your_turn"]`)
	if err != nil || !strings.Contains(out, `["announce",0,"*","YwW8BegH"]`) {
		t.Errorf("reply without a gossip message about the rejection: %s, error %v", out, err)
	}
	out, err = run(t, `["round",1]`, withGossip, list, `["update",0,"SAVED",1,0]`, `["peer_data",0,1,"YwW8BegH"]`, call,
		`["your_turn"]`)
	if err != nil || strings.Contains(out, `["relay"`) {
		t.Errorf("message sent although gossip reported the destination as closed: %s, error %v", out, err)
	}
	out, err = run(t, `["round",1]`, withGossip, list, `["update",0,"SAVED",1,0]`, `["peer_data",0,1,null]`, call, `["your_turn"]`)
	if err != nil || !strings.Contains(out, `["relay",0,"m","h1"`) {
		t.Errorf("message not sent after an empty gossip message: %s, error %v", out, err)
	}
}

// Each batch must have one reply that ends with "ready". Unknown events, and events for unknown instances, are ignored.
func TestServe(t *testing.T) {
	list := `["manifest",0,[[0,5,"h1",1,"in_service",0,null]]]`
	other := `["manifest",0,[[0,6,"h2",1,"in_service",0,null]]]`
	call := func(id, dest string) string {
		return `["call",0,"` + id + `",false,0,false,false,null,4.5,null,0,` + dest + `]`
	}
	tests := []struct {
		name     string
		lines    []string
		want     []string
		unwanted []string
	}{
		{"an empty batch", []string{`["round",1]`, `["your_turn"]`}, []string{`["ready"]`}, nil},
		{"a message is forwarded", []string{`["round",1]`, beginLine, list, `["update",0,"SAVED",1,0]`, call("m", "5"),
			`["your_turn"]`}, []string{`["relay",0,"m","h1",1.5]`}, nil},
		{"a list replaced in a batch", []string{`["round",1]`, beginLine, list, `["update",0,"SAVED",1,0]`, other,
			`["update",0,"INCREMENTAL",2,0]`, call("m", "5"), call("n", "6"), `["your_turn"]`},
			[]string{`"m","h1"`, `"n","h2"`}, nil},
		{"killed and restarted in one batch", []string{`["round",1]`, beginLine, list, `["update",0,"SAVED",1,0]`,
			call("m", "5"), `["killed",0]`, beginLine, `["update",0,"SAVED",1,0]`, call("n", "5"), `["your_turn"]`},
			[]string{`"n","h1"`}, []string{`"m"`}},
		{"unknown events and instances", []string{`["round",1]`, beginLine, `["eclipse",0,4]`, `["left",9,"m"]`,
			`["your_turn"]`}, []string{`["ready"]`}, nil},
		{"bad settings", []string{`["round",1]`, `["begin",3,7,{"weights":"heavy","discovery":"automatic"}]`,
			`["your_turn"]`}, []string{`["die",3,`, "weights"}, nil},
	}
	for _, tt := range tests {
		out, err := run(t, tt.lines...)
		if err != nil {
			t.Errorf("%s: serving the session failed: %v", tt.name, err)
		}
		for _, want := range tt.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: %s is missing in the reply %s", tt.name, want, out)
			}
		}
		for _, unwanted := range tt.unwanted {
			if strings.Contains(out, unwanted) {
				t.Errorf("%s: unexpected %s in the reply %s", tt.name, unwanted, out)
			}
		}
	}
}

// A malformed line must end the session with an error whose text is a single line, and its batch must have no reply.
func TestMalformedLines(t *testing.T) {
	for _, bad := range []string{`nonsense`, `["round","x"]`, `["answer",0,"m","h",0,"Odd"]`, `["call",0,5]`,
		`["update",0,"FULL",1,9]`, `["begin",0,1,[]]`} {
		out, err := run(t, `["round",1]`, beginLine, bad, `["your_turn"]`)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("line %s: got error %v, want an error of one line", bad, err)
		}
		if out != "" {
			t.Errorf("line %s: got reply %q, want none", bad, out)
		}
	}
}

// Serving an arbitrary line must not panic.
func FuzzServe(f *testing.F) {
	f.Add(beginLine)
	f.Add(`["answer",0,"m","h",0,"Ok",null,0.1,true,{"x0":1}]`)
	f.Fuzz(func(t *testing.T, line string) {
		_, _ = run(t, `["round",1]`, line, `["your_turn"]`)
	})
}
