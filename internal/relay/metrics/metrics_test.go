package metrics

import (
	"testing"

	"milletsail/policy"
)

// A message of a class that the settings no longer have is counted nowhere; all others by class and result.
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
		t.Errorf("text:\n%s", got)
	}
}
