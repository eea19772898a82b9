package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/compat"
	"milletsail/internal/fleet"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/admin"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/gossip"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// The stages of a planned end, from the signal on. Connections go on coming for up to 0.4 s, and the process
// may be killed after 3.7 s.
const (
	acceptPhase          = time.Second             // until then new connections are taken
	startCallsPhase      = 2900 * time.Millisecond // until then calls begin
	finishCallsPhase     = 3500 * time.Millisecond // until then calls come to their end
	idlePollInterval     = 50 * time.Millisecond   // between looks whether all is done
	responseWriteTimeout = 100 * time.Millisecond  // for answers that are being written
	exitDeadline         = 3650 * time.Millisecond // until then clients may read the last answers
)

// ReadConfig reads and checks a configuration file, as config.Read does; for programs that only know this package.
func ReadConfig(path string) (*config.Config, error) { return config.Read(path) }

// listMemoryShare is the share of a relay's memory that one list may be as long as: an entry takes no more room in the table
// than as JSON.
const listMemoryShare = 0.5

// Run runs a relay until ctx ends, and then brings it to an orderly end: it goes on serving for as long as
// clients may still come, and leaves what is not delivered by then to the journal in dir. Each address that
// comes on addresses takes the place of the one in cfg.
func Run(ctx context.Context, cfg *config.Config, dir string, addresses <-chan string) error {
	list := &endpointList{settings: &cfg.Settings, clocks: clock.ReadPair()}
	cfg.Policy.Directory = list
	d, err := policy.New(cfg.Policy, cfg.RandomSeed)
	if err != nil {
		return err
	}
	counters := metrics.New(cfg.Policy.Classes)
	var operators *admin.Server
	if cfg.Admin != "" {
		if operators, err = admin.Listen(cfg.Admin, counters); err != nil {
			return err
		}
		defer func() { _ = operators.Close() }()
		go operators.Serve()
	}
	clients, err := frontend.Listen(cfg, &counters.Reasons)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = clients.Close() }()
	acquired, err := handover.Acquire(ctx, dir)
	if err != nil && ctx.Err() != nil {
		return nil // told to end before there was anything to bring to an end
	}
	if err != nil {
		return err
	}
	defer acquired.Ownership.Release()
	kept, found, err := loadJournal(ctx, cfg, dir)
	if err != nil && ctx.Err() != nil {
		return nil // nothing was taken on by this process
	}
	if err != nil {
		return err
	}
	defer kept.Close()
	if found.Records > 0 {
		slog.Info("journal read", "file", found.File, "records", found.Records, "live", len(kept.Entries()), "torn", found.Torn, "by wall clock", found.UsedWallClock)
	}

	live, stop := context.WithCancel(context.Background())
	defer stop()
	deciding, endOwnerTasks := context.WithCancel(live)
	defer endOwnerTasks()
	s := cfg.Settings
	l := &loop{cfg: cfg, dispatcher: d, journal: kept, metrics: counters, inbox: make(chan event, inboxCapacity), calls: live,
		messages: map[string]*message{}, endpoints: list,
		pool: upstream.NewPool(settings.Seconds(s.Limits.ConnTimeoutS), cfg.Policy.IdleConnTimeout,
			max(1, int(frontend.UpstreamShare*float64(cfg.Limits.Sockets))), &counters.UpstreamRequests),
		clients: clients, owner: acquired.Ownership,
		handover: handoverState{completed: make(chan struct{}), endOwnerTasks: endOwnerTasks}}
	l.watcher = discovery.New(cfg.Discovery, discovery.RequestJitter(&cfg.Settings), func(b discovery.Batch) { l.enqueue(batchReceived{b}) },
		func() { l.enqueue(watchEnded{}) })
	l.watcher.MaxListSize = int64(listMemoryShare * cfg.Limits.MemoryMB * 1e6)
	l.watcher.Immediate = acquired.Predecessor != nil // the process before had a watch until now, and no other relay starts for that
	notifications := notifier.New(cfg.Discovery, func(ids []string) { l.enqueue(notificationsReceived{ids}) })
	l.notifier = notifications
	l.gossip = gossip.New(gossipOptions(cfg), l.receiveGossip)
	if cfg.Fleet && l.gossip != nil {
		l.fleet = l.newFleetService(dir)
		operators.Handle("fleet", admin.WithoutArguments(l.fleet.JSON))
	}
	srv := frontend.NewServer(cfg, &counters.Reasons,
		func(s *frontend.Submission) { l.enqueue(messageArrived{s}) }, func(s *frontend.Submission) { l.enqueue(clientLeft{s}) })
	handover.ListenForSuccessors(deciding, dir, &counters.Reasons, func(link *handover.Link) { l.enqueue(successorRequested{link}) })
	l.openEndpoints(dir)
	defer func() { l.endpoints.close() }()
	l.openZones(dir)
	if l.zones != nil {
		operators.Handle("zone", l.handleZoneCommand)
	}
	if cfg.CanaryAnalysis {
		operators.Handle("servers", admin.WithoutArguments(func() string { return l.askLoop(l.canaryStatus) }))
	}
	operators.Handle("diagnostics", admin.WithoutArguments(counters.Reasons.Text))
	l.restore(acquired.Predecessor, acquired.Offer) // clients wait to be served until this is done
	var work sync.WaitGroup
	work.Go(func() { l.run(live) })
	work.Go(func() { l.watcher.Run(deciding) })
	work.Go(func() { notifications.Run(deciding) })
	work.Go(func() { l.gossip.Run(deciding) })
	work.Go(func() { l.fleet.Run(deciding) })
	if acquired.Predecessor != nil {
		go l.followPredecessor(acquired.Predecessor, acquired.Offer)
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(clients) }()
	counters.Serving.Store(true)

	work.Go(func() { followDiscovery(live, addresses, l.watcher, notifications) }) // to the end: notices are owed while it drains too
	select {
	case err = <-served:
	case <-l.handover.completed:
		counters.Serving.Store(false)
		l.drainAfterHandover(ctx, srv)
	case <-ctx.Done():
		counters.Serving.Store(false)
		l.shutDown(srv)
	}
	stop()
	work.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// gossipOptions are those of the configuration.
func gossipOptions(cfg *config.Config) gossip.Options {
	return gossip.Options{Allowed: cfg.Policy.Gossip, Listen: cfg.PeerListen, Broadcast: cfg.PeersAll, Peers: cfg.Peers, Self: cfg.Settings.Ordinal}
}

// redirectable is a client of discovery.
type redirectable interface{ Redirect(discovery string) }

// followDiscovery moves discovery's clients, in their order, to each new address of discovery until ctx ends.
func followDiscovery(ctx context.Context, addresses <-chan string, clients ...redirectable) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-addresses:
			slog.Info("discovery moved", "address", address)
			for _, client := range clients {
				client.Redirect(address)
			}
		}
	}
}

// FormatVersions returns the formats that this version reads and writes.
func FormatVersions() compat.FormatVersions {
	return compat.FormatVersions{Journal: compat.Format{Writes: journal.Format, Reads: journal.ReadableFormats},
		Gossip: compat.Format{Writes: fleet.FormatVersion, Reads: []int{fleet.FormatVersion}}}
}

// version is what this program was built from, in short.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(8, len(s.Value))]
		}
	}
	return ""
}

// drainAfterHandover brings a relay to its end whose place a newer process has taken: it stays for as long as clients keep its
// connections or calls are out, but after a signal to end no longer than drain does.
func (l *loop) drainAfterHandover(ctx context.Context, srv *frontend.Server) {
	srv.StartDraining()
	_ = l.clients.Close()
	end, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if clock.Sleep(end, finishCallsPhase) {
			cancel()
		}
	})()
	for l.clients.Count() > 0 || !l.isIdle() {
		if !clock.Sleep(end, idlePollInterval) {
			break
		}
	}
	l.closeConnections(srv, clock.Now().Add(responseWriteTimeout))
}

// shutDown brings a relay to its end. No request that was read goes unanswered: answers close their
// connections, and those that stay unused are closed last.
func (l *loop) shutDown(srv *frontend.Server) {
	begun := clock.Now()
	until := func(stage time.Duration) time.Duration { return clock.Until(begun.Add(stage)) }
	srv.StartDraining()
	time.Sleep(until(acceptPhase))
	_ = l.clients.Close()
	for until(startCallsPhase) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.enqueue(shutdownStarted{})
	for until(finishCallsPhase) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.closeConnections(srv, begun.Add(exitDeadline))
}

// closeConnections closes the clients' connections: those that rest at once, the others once the answers that are being written
// are out. The process ends when the clients have read these, or at a moment.
func (l *loop) closeConnections(srv *frontend.Server, by instant.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), responseWriteTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		slog.Warn("connections left", "err", err)
	}
	// No request is taken up any more: what is left of the others ends with the process.
	for l.clients.ResponsesUnread() && clock.Now() < by {
		time.Sleep(idlePollInterval / 10)
	}
}

// isBusy tells whether a message is held, or a request that may become one is still being written.
func (l *loop) isBusy() bool { return l.clients.Busy() || !l.isIdle() }

// isIdle tells whether nothing is held.
func (l *loop) isIdle() bool {
	q := idleQuery{make(chan bool, 1)}
	l.enqueue(q)
	return <-q.idle
}
