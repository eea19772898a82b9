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

// A valid plan is parsed, with the defaults of keys that it does not have.
func TestParsePlan(t *testing.T) {
	p, err := ParsePlan("plan", []byte(validPlan))
	if err != nil || p.relaysAfter(0) != 1 || p.relaysAfter(1) != 2 || p.Gate.FalsePositiveRate != 0.01 {
		t.Fatalf("%+v, %v", p, err)
	}
}

// An invalid plan is an error that starts with its name; an invalid value is an *InvalidPlanError with its key.
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
			t.Errorf("%q: %v", c.text, err)
		}
		var invalid *InvalidPlanError
		if c.key != "" && (!errors.As(err, &invalid) || invalid.Key != c.key) {
			t.Errorf("%q: %v, want an error for %s", c.text, err, c.key)
		}
	}
}
