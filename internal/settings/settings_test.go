package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"milletsail/policy"
)

// validSettings is a settings object in which all values are known.
const validSettings = `{"categories":[{"name":"a","aim_s":0.5,"deadline_s":5,"group":"all","idempotency":"dedup","points":2}],
	"discovery":"subscribe","limits":{"max_attempts":4,"max_retry_after_s":9},"n_instances":3,"shapes":["m1","m2"],
	"specifics":{"bundle_max":[7],"loses_worth":"halving","separate_routes":[false,true]},"weights":"rough"}`

// decode decodes validSettings, in which replacement takes the place of the text old.
func decode(t *testing.T, old, replacement string) *Settings {
	t.Helper()
	var s Settings
	if err := json.Unmarshal([]byte(strings.Replace(validSettings, old, replacement, 1)), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// Settings must be converted into those of package policy. The maximum Retry-After must be set only if retry_after is enabled.
func TestPolicy(t *testing.T) {
	converted, err := decode(t, "", "").Policy()
	if err != nil {
		t.Fatal(err)
	}
	if !converted.Subscribe || converted.Weights != policy.WeightsRough || converted.FleetSize != 3 || converted.MaxRetryAfter != 0 {
		t.Errorf("got settings %+v, want subscription, rough weights, 3 relays and no Retry-After", converted)
	}
	class := converted.Classes[0]
	if class.Effect != policy.IdempotentWithKey || class.LatencyObjective != 500*time.Millisecond || !class.ExponentialDecay {
		t.Errorf("got class %+v, want idempotency by key, an objective of 500ms and exponential decay", class)
	}
	if kinds := converted.Kinds; len(kinds) != 2 || kinds[0].MaxBatch != 7 || kinds[1].MaxBatch != 1 || !kinds[1].SeparateRoutes {
		t.Errorf("got kinds %+v, want batches of 7 and 1, and separate routes for the second", kinds)
	}
	converted, err = decode(t, `"max_attempts":4`, `"retry_after":true`).Policy()
	if err != nil || converted.MaxRetryAfter != 9*time.Second {
		t.Errorf("with retry_after enabled: got a maximum of %v, error %v, want 9s", converted.MaxRetryAfter, err)
	}
}

// An unknown value must be an error that names its key, so that the operator can find it.
func TestUnknownValues(t *testing.T) {
	for _, c := range []struct{ old, replacement, key string }{
		{`"subscribe"`, `"guess"`, "discovery"},
		{`"rough"`, `"heavy"`, "weights"},
		{`"dedup"`, `"once"`, "categories[0].idempotency"},
	} {
		if _, err := decode(t, c.old, c.replacement).Policy(); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("value %s: got error %v, want one that names %s", c.replacement, err, c.key)
		}
	}
}
