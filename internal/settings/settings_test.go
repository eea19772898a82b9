package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"milletsail/policy"
)

const validSettings = `{"categories":[{"name":"a","aim_s":0.5,"deadline_s":5,"group":"all","idempotency":"dedup","points":2}],
	"discovery":"subscribe","limits":{"max_attempts":4,"max_retry_after_s":9},"n_instances":3,"shapes":["m1","m2"],
	"specifics":{"bundle_max":[7],"loses_worth":"halving","separate_routes":[false,true]},"weights":"rough"}`

// decode decodes settings with some text replaced.
func decode(t *testing.T, old, replacement string) *Settings {
	t.Helper()
	var s Settings
	if err := json.Unmarshal([]byte(strings.Replace(validSettings, old, replacement, 1)), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// Settings are converted into those of the policy; Retry-After counts only where it is enabled.
func TestPolicy(t *testing.T) {
	converted, err := decode(t, "", "").Policy()
	if err != nil {
		t.Fatal(err)
	}
	if !converted.Subscribe || converted.Weights != policy.WeightsRough || converted.FleetSize != 3 || converted.MaxRetryAfter != 0 {
		t.Errorf("%+v", converted)
	}
	class := converted.Classes[0]
	if class.Effect != policy.IdempotentWithKey || class.LatencyObjective != 500*time.Millisecond || !class.ExponentialDecay {
		t.Errorf("class %+v", class)
	}
	if kinds := converted.Kinds; len(kinds) != 2 || kinds[0].MaxBatch != 7 || kinds[1].MaxBatch != 1 || !kinds[1].SeparateRoutes {
		t.Errorf("kinds %+v", kinds)
	}
	converted, err = decode(t, `"max_attempts":4`, `"retry_after":true`).Policy()
	if err != nil || converted.MaxRetryAfter != 9*time.Second {
		t.Errorf("with Retry-After: %v, %v", converted.MaxRetryAfter, err)
	}
}

// An unknown value is an error that names its key.
func TestUnknownValues(t *testing.T) {
	for _, c := range []struct{ old, replacement, key string }{
		{`"subscribe"`, `"guess"`, "discovery"},
		{`"rough"`, `"heavy"`, "weights"},
		{`"dedup"`, `"once"`, "categories[0].idempotency"},
	} {
		if _, err := decode(t, c.old, c.replacement).Policy(); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v, want an error for %s", c.replacement, err, c.key)
		}
	}
}
