package notifier

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"milletsail/internal/journal"
)

// BenchmarkNotificationBurst measures how fast the notifier posts many notifications that are queued at once, to a platform that
// answers without delay.
func BenchmarkNotificationBurst(b *testing.B) {
	for _, notifications := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(notifications), func(b *testing.B) {
			var posts, size atomic.Int64
			platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				posts.Add(1)
				size.Add(n)
				w.WriteHeader(http.StatusNoContent)
			}))
			defer platform.Close()
			arrived := make(chan int, notifications)
			n := New(strings.TrimPrefix(platform.URL, "http://"), func(ids []string) { arrived <- len(ids) })
			go n.Run(b.Context())
			for b.Loop() {
				for i := range notifications {
					n.Enqueue(journal.Notification{ID: fmt.Sprintf("%016x", i), Status: StatusDeferred, RetryAfterMS: 500})
				}
				for left := notifications; left > 0; {
					left -= <-arrived
				}
			}
			all := float64(notifications) * float64(b.N)
			b.ReportMetric(all/b.Elapsed().Seconds(), "notices/s")
			b.ReportMetric(float64(size.Load())/all, "B/notice")
			b.ReportMetric(all/float64(posts.Load()), "notices/post")
		})
	}
}
