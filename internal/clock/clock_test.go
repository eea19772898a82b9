package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletsail/internal/instant"
)

// A step of the wall clock is told from the time that passes; translations go by the readings of a pair.
func TestPair(t *testing.T) {
	before := Pair{At: instant.Boot.Add(time.Hour), Wall: 1.7e18}
	after := Pair{At: before.At.Add(time.Minute), Wall: before.Wall + Wall(time.Minute-10*time.Second)}
	if by := before.SteppedBy(after); by != -10*time.Second {
		t.Errorf("stepped by %v", by)
	}
	at := before.At.Add(-5 * time.Second)
	if wall := before.WallOf(at); wall != before.Wall-Wall(5*time.Second) || before.InstantOf(wall) != at {
		t.Errorf("%v is at %v, and back at %v", at, wall, before.InstantOf(wall))
	}
	if before.WallOf(0) != 0 || before.InstantOf(0) != 0 {
		t.Error("long ago does not stay so")
	}
}

// Moments mean the same to all processes of a boot: they are those of the system's monotonic clock.
func TestNowIsTheMachines(t *testing.T) {
	read := func() instant.Time {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			t.Fatal(err)
		}
		return instant.Boot.Add(time.Duration(now.Nano()))
	}
	before := read()
	now := Now()
	after := read()
	if now < before.Add(-time.Millisecond) || now > after.Add(time.Millisecond) {
		t.Errorf("%v is not between %v and %v", now, before, after)
	}
	if d := time.Until(Deadline(now.Add(time.Hour))); d > time.Hour || d < time.Hour-time.Minute {
		t.Errorf("a deadline in an hour is in %v", d)
	}
}

// wallReaders are the packages that may take a wall time from the standard library, with the reason. All others of the
// relay get one from this package.
var wallReaders = map[string]string{
	"internal/clock": "the one place where the wall clock is read",
}

// wallMethods give a wall time, or compare one with the present.
var wallMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// relayPackages are the parts of the program that run in a relay.
var relayPackages = []string{"policy", "internal/relay", "internal/journal", "internal/endpoints", "internal/fleet", "internal/zones",
	"internal/settings", "internal/clock", "internal/instant", "internal/atomicfile", "cmd/relay"}

// translators are the files beside this package that turn a time of the standard library into a wall time, or a number into
// a moment: on the link of a handover, in format 1 of the journal and in the file of orders moments are written as wall times,
// and a segment's header holds one as a number.
var translators = map[string]bool{"internal/relay/handover/link.go": true, "internal/journal/v1.go": true, "internal/zones/zones.go": true,
	"internal/journal/header.go": true}

// No part of the relay reads the wall clock by itself, or makes a moment out of a number: a difference between such a
// reading and a moment is what lost messages in issue 31.
func TestWallClockIsReadInOnePlace(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range relayPackages {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			rel, err := filepath.Rel(root, path)
			if err == nil && wallReaders[filepath.ToSlash(filepath.Dir(rel))] == "" && !translators[filepath.ToSlash(rel)] {
				reportWallTimes(t, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// reportWallTimes fails the test for each call of a source file that gives a wall time, and each conversion to a moment.
func reportWallTimes(t *testing.T, path string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if from, ok := selector.X.(*ast.Ident); ok && from.Name == "instant" && selector.Sel.Name == "Time" {
			t.Errorf("%s: a number becomes a moment", files.Position(call.Pos()))
		}
		for _, name := range wallMethods {
			if selector.Sel.Name == name && len(call.Args) == 0 {
				t.Errorf("%s: %s gives a wall time", files.Position(call.Pos()), name)
			}
		}
		return true
	})
}
