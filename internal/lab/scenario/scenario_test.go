package scenario

import (
	"slices"
	"strings"
	"testing"

	"milletsail/scenarios"
)

const minimalScenario = `length = "5s"
[fleet]
relays = 3
zones = ["a", "b"]
[[class]]
name = "status"
[[destination]]
count = 2
endpoints = 2
`

// A scenario that can't be run must be rejected with one error that gives the line of the wrong value.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ name, text, at, what string }{
		{"unknown key", minimalScenario + "colour = 3\n", ":10:", `unknown key "destination.colour"`},
		{"no unit", strings.Replace(minimalScenario, `"5s"`, `"5"`, 1), ":1:", "no duration with its unit"},
		{"wrong unit", strings.Replace(minimalScenario, `"5s"`, `"5 kg"`, 1), ":1:", "no duration with its unit"},
		{"wrong type", strings.Replace(minimalScenario, "relays = 3", `relays = "three"`, 1), ":3:", "fleet.relays"},
		{"no TOML", minimalScenario + "[[fault\n", ":10:", ""},
		{"no relays", strings.Replace(minimalScenario, "relays = 3", "relays = 0", 1), ":3:", "fleet.relays: is not 1 to 500"},
		{"no class", "[[destination]]\n", ":1:", "class: is missing"},
		{"effect", strings.Replace(minimalScenario, `name = "status"`, "name = \"status\"\neffect = \"magic\"", 1), ":7:", `"magic" is not`},
		{"limit without a rate", minimalScenario + "limit = \"rate\"\n", ":7:", "destination[0].rate"},
		{"kind", minimalScenario + "[[fault]]\nat = \"1s\"\nkind = \"flood\"\n", ":12:", `"flood" is no kind of fault`},
		{"relay", minimalScenario + "[[fault]]\nkind = \"kill\"\nat = \"1s\"\nrelays = [0, 3]\n", ":13:", "there is no relay 3"},
		{"second fault", minimalScenario + "[[fault]]\nkind = \"kill\"\n[[fault]]\nkind = \"kill\"\nzone = \"z\"\n", ":14:", `there is no zone "z"`},
		{"endpoint", minimalScenario + "[[fault]]\nkind = \"down\"\nfor = \"1s\"\nendpoints = [\"d9-e0\"]\n", ":13:", `there is no endpoint "d9-e0"`},
		{"destination", minimalScenario + "[[fault]]\nkind = \"down\"\nfor = \"1s\"\ndestinations = [2]\n", ":13:", "there is no destination 2"},
		{"no time", minimalScenario + "[[fault]]\nkind = \"down\"\n", ":10:", "needs a duration above 0"},
		{"no size", minimalScenario + "[[fault]]\nkind = \"slow\"\nfor = \"1s\"\n", ":10:", "needs a size above 0"},
		{"no share", minimalScenario + "[[fault]]\nkind = \"errors\"\nfor = \"1s\"\nsize = 1.5\n", ":13:", "is not a share"},
		{"too late", minimalScenario + "[[fault]]\nkind = \"kill\"\nat = \"6s\"\n", ":12:", "after the end"},
		{"no socket", minimalScenario + "[[fault]]\nkind = \"upgrade\"\n", ":11:", "shared_socket"},
		{"relays of an endpoint fault", minimalScenario + "[[fault]]\nkind = \"down\"\nfor = \"1s\"\nrelays = [0]\n", ":13:", "does not affect relays"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse("x.toml", []byte(c.text))
			if err == nil {
				t.Fatalf("the invalid scenario was accepted: %+v", s)
			}
			if got := err.Error(); !strings.HasPrefix(got, "x.toml"+c.at) || !strings.Contains(got, c.what) || strings.Contains(got, "\n") {
				t.Errorf("got error %s; want one that begins with x.toml%s and contains %s", got, c.at, c.what)
			}
		})
	}
}

// Values that the file leaves out must get their defaults, also in list entries, and an explicit 0 must stay 0.
func TestDefaults(t *testing.T) {
	s, err := Parse("x.toml", []byte(minimalScenario+"service_cv = 0\n"))
	if err != nil {
		t.Fatal(err)
	}
	if d := s.Destinations[0]; d.Workers != defaultDestination.Workers || d.ServiceCV != 0 || d.Endpoints != 2 {
		t.Errorf("destination does not combine file and defaults: %+v", d)
	}
	if len(s.Hosts) != 4 || s.Hosts[3].Name != "d1-e1" || s.Hosts[3].Dest != 1 {
		t.Errorf("endpoints of the scenario: got %+v, want 4 with d1-e1 last", s.Hosts)
	}
}

// A fault must affect the same relays each time that it is asked for, and only the given share of those that it may affect.
func TestAffected(t *testing.T) {
	s, err := Parse("x.toml", []byte(strings.Replace(minimalScenario, "relays = 3", "relays = 20", 1)+
		"[[fault]]\nkind = \"kill\"\nshare = 0.35\n[[fault]]\nkind = \"drain\"\nendpoints = [\"d0-e1\"]\n[[fault]]\nkind = \"kill\"\nzone = \"b\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if a, b := s.AffectedRelays(0), s.AffectedRelays(0); len(a) != 7 || !slices.Equal(a, b) {
		t.Errorf("got affected relays %v, then %v; want the same 7 both times", a, b)
	}
	if got := s.AffectedRelays(2); len(got) != 10 || slices.ContainsFunc(got, func(r int) bool { return r%2 == 0 }) {
		t.Errorf("got affected relays %v; want the 10 with odd numbers, in zone b", got)
	}
	if h := s.Hosts[len(s.Hosts)-1]; h.Name != "d0-e1-n1" || h.AddedByFault != 2 || s.Hosts[h.Replaces].Name != "d0-e1" {
		t.Errorf("got replacement endpoint %+v, want d0-e1-n1 in place of d0-e1", h)
	}
}

// Every scenario that ships with the program must be valid.
func TestScenarios(t *testing.T) {
	for _, name := range scenarios.Names() {
		text, err := scenarios.Get(name)
		if err == nil {
			_, err = Parse(name, text)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
