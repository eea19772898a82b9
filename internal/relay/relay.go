package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"

	"milletsail/internal/clock"
	"milletsail/internal/compat"
	"milletsail/internal/fleet"
	"milletsail/internal/journal"
	"milletsail/internal/relay/admin"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/gossip"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// ReadConfig reads and validates a configuration file. It is config.Read, for programs that import only this package.
func ReadConfig(path string) (*config.Config, error) { return config.Read(path) }

// Run runs a relay until ctx ends, and then shuts it down gracefully: it continues to serve for as long as clients may still
// connect, and leaves undelivered messages in the journal in the state directory dir. Each address received from addresses
// replaces the address of discovery in cfg. Run also returns once a successor has taken over and the client connections and calls
// of this process have ended.
//
// Run is long because it shows the order of the start in one place; resources are closed in the reverse order.
func Run(ctx context.Context, cfg *config.Config, dir string, addresses <-chan string) error {
	if cfg.SetSoftMemoryLimit != nil { // until applyPlan knows whether there is a predecessor
		cfg.SetSoftMemoryLimit(memory.InHandover(memoryLimits(cfg, 0)).SoftLimit)
	}
	list := &endpointList{settings: &cfg.Settings, clocks: clock.ReadPair()}
	cfg.Policy.Directory = list
	dispatcher, err := policy.New(cfg.Policy, cfg.RandomSeed)
	if err != nil {
		return err
	}
	counters := metrics.New(cfg.Policy.Classes)
	adminServer, err := openAdmin(ctx, cfg, counters)
	if err != nil {
		return err
	}
	defer func() { _ = adminServer.Close() }()
	clients, err := frontend.Listen(ctx, cfg, &counters.Reasons)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = clients.Close() }()
	acquired, err := handover.Acquire(ctx, dir)
	if err != nil {
		return ignoreIfDone(ctx, err)
	}
	defer acquired.Ownership.Release()
	openedJournal, err := openJournal(ctx, cfg, dir)
	if err != nil {
		return ignoreIfDone(ctx, err)
	}
	defer func() { _ = openedJournal.Close() }()

	processCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // the shutdown takes place after ctx has ended
	defer stop()
	ownerCtx, stopOwnerTasks := context.WithCancel(processCtx)
	defer stopOwnerTasks()
	eventLoop := &loop{cfg: cfg, dispatcher: dispatcher, journal: openedJournal, endpoints: list, clients: clients,
		metrics: counters, inbox: make(chan event, inboxCapacity), messages: map[string]*message{}, messageMemory: new(memory.Pool), keptMemory: new(memory.Pool),
		pool:  newPool(cfg, counters),
		owner: acquired.Ownership, handover: handoverState{completed: make(chan struct{}), stopOwnerTasks: stopOwnerTasks}}
	tasks := eventLoop.newTasks(dir, acquired, adminServer)
	server := frontend.NewServer(cfg, &counters.Reasons,
		func(s *frontend.Submission) { eventLoop.enqueue(messageArrived{s}) },
		func(s *frontend.Submission) { eventLoop.enqueue(clientLeft{s}) })
	handover.ListenForSuccessors(ownerCtx, dir, &counters.Reasons,
		func(link *handover.Link) { eventLoop.enqueue(successorRequested{link}) })
	eventLoop.openEndpoints(ctx, dir)
	defer func() { eventLoop.endpoints.close() }()
	eventLoop.applyPlan(acquired.Predecessor != nil)
	eventLoop.openZones(dir)
	eventLoop.handleCommands(adminServer)
	eventLoop.restore(processCtx, acquired.Predecessor, acquired.Offer) // clients are served only after this

	// Run waits for all goroutines in this group. The others end with the connections that they serve.
	var goroutines sync.WaitGroup
	goroutines.Go(func() { eventLoop.run(processCtx) })
	for _, task := range tasks.owner {
		goroutines.Go(func() { task(ownerCtx) })
	}
	if acquired.Predecessor != nil {
		go eventLoop.followPredecessor(acquired.Predecessor, acquired.Offer)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(clients) }()
	counters.Serving.Store(true)
	// Runs until the end of the process, since notifications are posted to discovery's address during the shutdown, too.
	goroutines.Go(func() { followDiscovery(processCtx, addresses, tasks.discoveryClients...) })
	err = eventLoop.waitForEnd(ctx, server, served)
	stop()
	goroutines.Wait()
	return err
}

// ignoreIfDone returns err, or nil if ctx has ended: a process that is stopped before it has started has not failed.
func ignoreIfDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// openAdmin opens the admin endpoint and serves it in a goroutine, which ends when the server is closed. It returns nil if no
// endpoint is configured.
func openAdmin(ctx context.Context, cfg *config.Config, counters *metrics.Metrics) (*admin.Server, error) {
	if cfg.Admin == "" {
		return nil, nil //nolint:nilnil // a nil Server is one without an endpoint
	}
	server, err := admin.Listen(ctx, cfg.Admin, counters)
	if err != nil {
		return nil, err
	}
	go server.Serve()
	return server, nil
}

// newPool returns the pool of connections to endpoints, without memory for calls: applyPlan gives it its share.
func newPool(cfg *config.Config, counters *metrics.Metrics) *upstream.Pool {
	pool := upstream.NewPool(settings.Seconds(cfg.Settings.Limits.ConnTimeoutS), cfg.Policy.IdleConnTimeout, 1, &counters.UpstreamRequests)
	pool.Memory = new(memory.Pool)
	return pool
}

// idleCapacity returns the maximum number of idle connections to endpoints, by the upstream share of the relay's sockets and by the
// memory for them.
func idleCapacity(cfg *config.Config, plan memory.Plan) int {
	sockets := int(frontend.UpstreamShare * float64(cfg.Limits.Sockets))
	return max(1, min(sockets, int(plan.Share(memory.IdleEndpointConnections)/memory.EndpointConnectionSize)))
}

// tasks are the components for which Run starts goroutines beside the loop.
type tasks struct {
	owner            []func(context.Context) // run while this process owns the state directory
	discoveryClients []discoveryClient       // are told a new address of discovery
}

// newTasks creates the components that communicate with discovery and with other relays. Run starts them.
func (l *loop) newTasks(dir string, acquired *handover.Acquired, adminServer *admin.Server) tasks {
	l.watcher = discovery.New(l.cfg.Discovery, discovery.RequestJitter(&l.cfg.Settings),
		func(b discovery.Batch) { l.enqueue(batchReceived{b}) }, func() { l.enqueue(watchEnded{}) })
	l.watcher.MaxListSize = memoryLimits(l.cfg, 0).MaxListBytes()
	l.watcher.Immediate = acquired.Predecessor != nil // after a handover no other relay starts at the same time
	notifications := notifier.New(l.cfg.Discovery, func(ids []string) { l.enqueue(notificationsReceived{ids}) })
	l.notifier = notifications
	l.gossip = gossip.New(gossipOptions(l.cfg), l.receiveGossip)
	if l.cfg.Fleet && l.gossip != nil {
		l.fleet = l.newFleetService(dir)
		adminServer.Handle("fleet", admin.WithoutArguments(l.fleet.JSON))
	}
	return tasks{owner: []func(context.Context){l.watcher.Run, notifications.Run, l.gossip.Run, l.fleet.Run},
		discoveryClients: []discoveryClient{l.watcher, notifications}}
}

// handleCommands registers the commands of the admin endpoint that this package answers.
func (l *loop) handleCommands(adminServer *admin.Server) {
	if l.zones != nil {
		adminServer.Handle("zone", l.handleZoneCommand)
	}
	if l.cfg.CanaryAnalysis {
		adminServer.Handle("servers", admin.WithoutArguments(func() string { return l.queryLoop(l.canaryStatus) }))
	}
	adminServer.Handle("diagnostics", admin.WithoutArguments(l.metrics.Reasons.Text))
}

// waitForEnd waits until ctx ends or a successor has taken over, and shuts the relay down. It returns an error if serving fails.
func (l *loop) waitForEnd(ctx context.Context, server *frontend.Server, served <-chan error) error {
	select {
	case err := <-served:
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
	case <-l.handover.completed:
		slog.Info("relay ending", "reason", "a successor has taken over")
		l.metrics.Serving.Store(false)
		l.drainAfterHandover(ctx, server)
	case <-ctx.Done():
		slog.Info("relay ending", "reason", "signal", "messages", l.metrics.Pending.Load(), "clients", l.clients.Count())
		l.metrics.Serving.Store(false)
		l.shutdownGracefully(ctx, server)
	}
	return nil
}

// gossipOptions returns the options of the gossip transport from the configuration.
func gossipOptions(cfg *config.Config) gossip.Options {
	return gossip.Options{Allowed: cfg.Policy.Gossip, Listen: cfg.PeerListen, Broadcast: cfg.PeersAll, Peers: cfg.Peers,
		Self: cfg.Settings.Ordinal}
}

// discoveryClient is a client of discovery whose address can be changed.
type discoveryClient interface{ Redirect(discovery string) }

// followDiscovery redirects the clients, in the given order, to each address received from addresses until ctx ends.
func followDiscovery(ctx context.Context, addresses <-chan string, clients ...discoveryClient) {
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

// FormatVersions returns the versions of the journal's and the gossip messages' format that this program reads and writes.
func FormatVersions() compat.FormatVersions {
	return compat.FormatVersions{Journal: compat.Format{Writes: journal.Format, Reads: journal.ReadableFormats},
		Gossip: compat.Format{Writes: fleet.FormatVersion, Reads: []int{fleet.FormatVersion}}}
}

// version returns the first eight characters of the revision that this program was built from, or "" if it is unknown.
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
