// Package relay runs the decisions of package policy as a relay on sockets: clients hand messages in over HTTP, and the relay
// delivers them to their destinations' endpoints.
package relay
