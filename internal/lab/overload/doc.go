// Package overload has tests that run real relay processes beside clients that overload them: crowds of unfinished requests,
// floods on one connection, and clients that leave before their response. Its code is in test files alone.
package overload
