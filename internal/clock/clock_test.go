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

// A pair must distinguish a step of the wall clock from elapsed time, and convert moments to wall times and back by its readings.
func TestPair(t *testing.T) {
	before := Pair{At: instant.Boot.Add(time.Hour), Wall: 1.7e18}
	after := Pair{At: before.At.Add(time.Minute), Wall: before.Wall + Wall(time.Minute-10*time.Second)}
	if by := before.SteppedBy(after); by != -10*time.Second {
		t.Errorf("got a wall clock step of %v, want -10s", by)
	}
	at := before.At.Add(-5 * time.Second)
	if wall := before.WallOf(at); wall != before.Wall-Wall(5*time.Second) || before.InstantOf(wall) != at {
		t.Errorf("moment %v was converted to wall time %v, and back to moment %v", at, wall, before.InstantOf(wall))
	}
	if before.WallOf(0) != 0 || before.InstantOf(0) != 0 {
		t.Error("zero moment or zero wall time was not converted to zero")
	}
}

// Now must return readings of the system's monotonic clock, so that moments are comparable between all processes of a boot.
func TestNowMatchesSystemClock(t *testing.T) {
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
		t.Errorf("got moment %v, want it between the system clock readings %v and %v", now, before, after)
	}
	if d := time.Until(Deadline(now.Add(time.Hour))); d > time.Hour || d < time.Hour-time.Minute {
		t.Errorf("the deadline for a moment in one hour is in %v", d)
	}
}

// wallClockReaders holds the packages that may read the wall clock with the standard library, with the reason. All other packages
// of the relay read it with this package.
var wallClockReaders = map[string]string{
	"internal/clock": "the only package that reads the wall clock",
}

// wallTimeMethods holds the methods of time.Time that return a wall time as a number.
var wallTimeMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro"}

// relayPackages holds the directories of the packages that run in a relay.
var relayPackages = []string{"policy", "internal/relay", "internal/journal", "internal/endpoints", "internal/fleet", "internal/zones",
	"internal/settings", "internal/clock", "internal/instant", "internal/atomicfile", "cmd/relay"}

// wallTimeConverters holds the files outside this package that may convert a time.Time to a wall time, or a number to a moment. The
// handover messages, format 1 of the journal and the file of zone orders hold moments as wall times; the header of a journal
// segment holds a moment as a number.
var wallTimeConverters = map[string]bool{"internal/relay/handover/link.go": true, "internal/journal/v1.go": true, "internal/zones/zones.go": true,
	"internal/journal/header.go": true}

// No package of the relay except those listed may read the wall clock or convert a number to a moment. Messages were lost in
// issue 31 because a wall time was subtracted from a moment.
func TestWallClockIsReadInOnePlace(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, dir := range relayPackages {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			rel, err := filepath.Rel(root, path)
			if err == nil && wallClockReaders[filepath.ToSlash(filepath.Dir(rel))] == "" && !wallTimeConverters[filepath.ToSlash(rel)] {
				reportWallTimes(t, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// reportWallTimes reports an error for each call in a source file that returns a wall time and each conversion of a number to a
// moment.
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
			t.Errorf("%s: a number is converted to a moment", files.Position(call.Pos()))
		}
		for _, name := range wallTimeMethods {
			if selector.Sel.Name == name && len(call.Args) == 0 {
				t.Errorf("%s: call of %s returns a wall time", files.Position(call.Pos()), name)
			}
		}
		return true
	})
}
