package metrics

import (
	"testing"

	"milletsail/policy"
)

// Guards against counting a result under a wrong label, and against a panic for a message whose class is no longer in the
// settings (index -1): that one must not be counted.
func TestTextCountsResultsByClass(t *testing.T) {
	m := New([]policy.Class{{Name: "a"}})
	m.CountResult(0, Rejected)
	m.CountResult(-1, Failed)
	m.Pending.Add(2)
	want := `relay_downstream_requests{lane="a",result="completed"} 0
relay_downstream_requests{lane="a",result="rejected"} 1
relay_downstream_requests{lane="a",result="failed"} 0
relay_upstream_requests 0
relay_pending 2
relay_members 0
relay_members_unavailable 0
`
	if got := string(m.Text()); got != want {
		t.Errorf("wrong metrics text:\n%s", got)
	}
}
