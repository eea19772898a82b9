package rollout

import (
	"errors"
	"strings"
	"testing"
)

const validPlan = `version = "v"
[[stage]]
relays = 1
[[stage]]
share = 1.0
[[agent]]
relay = 0
zone = "a"
address = "127.0.0.1:1"
[[agent]]
relay = 1
zone = "a"
address = "127.0.0.1:2"
`

// Guards against lost stages and defaults: a valid plan is parsed, and omitted keys have their default values.
func TestParsePlan(t *testing.T) {
	p, err := ParsePlan("plan", []byte(validPlan))
	if err != nil || p.relaysAfter(0) != 1 || p.relaysAfter(1) != 2 || p.Gate.FalsePositiveRate != 0.01 {
		t.Fatalf("got plan %+v, error %v; want stages of 1 and 2 relays, and false_stop 0.01", p, err)
	}
}

// Guards against a rollout by a plan that makes no sense: an invalid plan is an error that begins with the file's name, and an
// invalid value is an *InvalidPlanError that names the key.
func TestInvalidPlan(t *testing.T) {
	agent := func(relay, keys string) string { return validPlan + "[[agent]]\nrelay = " + relay + "\n" + keys }
	for _, c := range []struct{ text, key string }{
		{"", "version"},
		{"bake = 10\n" + validPlan, ""},
		{"bake = \"-1s\"\n" + validPlan, ""},
		{"speed = 1\n" + validPlan, ""},
		{"on_death = \"x\"\n" + validPlan, "on_death"},
		{"longest_bake = \"1s\"\n" + validPlan, "longest_bake"},
		{"most_in_change = 0\n" + validPlan, "most_in_change"},
		{validPlan + "[[stage]]\nrelays = 1\n", "stage[2]"},
		{validPlan + "[[stage]]\nrelays = 3\n", "stage[2]"},
		{validPlan + "[[stage]]\nshare = 1.1\n", "stage[2]"},
		{validPlan + "[gate]\nfalse_stop = 0.0\n", "gate.false_stop"},
		{validPlan + "[gate]\nworse_by = 2.0\n", "gate.worse_by"},
		{agent("1", "zone = \"a\"\naddress = \"127.0.0.1:3\"\n"), "agent[2].relay"},
		{agent("2", "zone = \"a\"\naddress = \"127.0.0.1:2\"\n"), "agent[2].address"},
		{agent("2", "address = \"127.0.0.1:4\"\n"), "agent[2].zone"},
	} {
		_, err := ParsePlan("plan", []byte(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), "plan") {
			t.Errorf("plan %q: got error %v, want one that begins with the plan's name", c.text, err)
		}
		var invalid *InvalidPlanError
		if c.key != "" && (!errors.As(err, &invalid) || invalid.Key != c.key) {
			t.Errorf("plan %q: got error %v, want an *InvalidPlanError for %s", c.text, err, c.key)
		}
	}
}
