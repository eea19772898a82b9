// Package relay is the relay process: it accepts messages from clients over HTTP, and delivers them to the endpoints of their
// destinations. Package policy decides when and where each message is sent; this package executes those decisions on sockets
// and on disk, in one event loop.
package relay
