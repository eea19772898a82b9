package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-copies"] = upgradeCopies }

// upgradeCopies plays an upgrade shortly after clumps of messages for several destinations. The relay has the least memory that
// the terms allow, so some calls of the clumps can't start at once for lack of memory.
func upgradeCopies(b *bench) []string {
	b.limits("memory_mb", 32)
	const destinations, clump = 8, 20
	work := func(int, []string) (time.Duration, int, int) {
		return 250*time.Millisecond + rand.N(350*time.Millisecond), 200, 0
	}
	var hosts []host
	for dest := 1; dest <= destinations; dest++ {
		hosts = append(hosts, b.endpoints.open(fmt.Sprintf("s-%d", dest), "grosskunde", dest, work))
	}
	b.platform.set(hosts...)
	b.known()
	b.inherit()
	oldAdmin, newAdmin := freeAddr(), freeAddr()
	before := b.relay.start(oldAdmin)
	b.relay.waitReady()
	time.Sleep(time.Second)
	body := strings.Repeat("x", 5000)
	var sending sync.WaitGroup
	for range clump {
		for dest := 1; dest <= destinations; dest++ {
			sending.Go(func() { b.clients.send(newID(), "resultado", dest, "", body, 24*time.Second) })
		}
	}
	time.Sleep(400 * time.Millisecond)
	if b.trouble {
		b.relay.start(newAdmin)
		if !waitYes(b.rec, newAdmin) {
			fail("the new process did not say yes within 6 s")
		}
		before.signal(syscall.SIGTERM)
		select {
		case <-before.done:
		case <-time.After(3700 * time.Millisecond):
			before.signal(syscall.SIGKILL)
		}
	}
	sending.Wait()
	time.Sleep(8 * time.Second)
	return secondCopies(b.endpoints.runsOf(), 100*time.Millisecond)
}
