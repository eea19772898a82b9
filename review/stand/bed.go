package stand

import (
	"context"
	"fmt"
)

// Bed is a relay with its stand-ins: a platform, and endpoints of one destination each.
type Bed struct {
	Platform *Platform
	Relay    *Relay
	Process  *Process
	Clients  *Clients
	ends     []*Endpoint
}

// StartBed starts a platform, as many endpoints as destinations, and a relay, and waits until the relay is ready.
func StartBed(ctx context.Context, record *Record, root, dir string, settings Object, destinations int,
	answer func(*Call) []byte) (*Bed, error) {
	return StartLimitedBed(ctx, record, root, dir, settings, DefaultLimits, destinations, answer)
}

// StartLimitedBed is StartBed for a relay with other limits.
func StartLimitedBed(ctx context.Context, record *Record, root, dir string, settings Object, limits Limits, destinations int,
	answer func(*Call) []byte) (*Bed, error) {
	b := &Bed{}
	var hosts []Member
	for i := range destinations {
		e, err := StartEndpoint(ctx, fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			b.Close()
			return nil, err
		}
		b.ends = append(b.ends, e)
		hosts = append(hosts, Member{Host: e.Name, Dial: e.Address, Site: "a", Class: "m2", Block: i + 1, Health: "SERVING", Share: 1})
	}
	if err := b.start(ctx, record, root, dir, settings, limits, hosts); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bed) start(ctx context.Context, record *Record, root, dir string, settings Object, limits Limits,
	hosts []Member) (err error) {
	if b.Platform, err = StartPlatform(ctx, record, hosts); err != nil {
		return err
	}
	if b.Relay, err = NewRelay(ctx, record, root, dir, false); err != nil {
		return err
	}
	b.Relay.Limits = limits
	b.Clients = &Clients{Address: b.Relay.Listen}
	if err = b.Relay.WriteConfig(b.Platform.Address, b.Platform.Known(), settings); err != nil {
		return err
	}
	if b.Process, err = b.Relay.Start(ctx); err != nil {
		return err
	}
	return b.Relay.WaitReady(ctx)
}

// Crashed reports whether the relay's process has ended by itself.
func (b *Bed) Crashed() bool {
	select {
	case <-b.Process.Done:
		return true
	default:
		return false
	}
}

// Close ends all that StartBed started.
func (b *Bed) Close() {
	if b.Clients != nil {
		b.Clients.Close()
	}
	if b.Process != nil {
		b.Process.Kill()
	}
	if b.Platform != nil {
		b.Platform.Close()
	}
	for _, e := range b.ends {
		e.Close()
	}
}
