// Package shim builds a program against a modified standard library, for tests in the lab alone: while the program
// runs, its wall clock can be stepped and its system calls can be made to fail in the ways that Linux documents. The
// program's own source is unchanged, and so is its monotonic clock.
//
// The modifications are applied with `go build -overlay`. A small file, named by $LAB_SHIM and mapped into the
// program's memory, controls them; without it the program behaves as usual. Releases are not built this way.
package shim

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// shimSource is the file that the overlay adds to package syscall.
//
//go:embed syscall.txt
var shimSource embed.FS

// patch inserts text at one place of a file of the standard library.
type patch struct {
	file   string // path below GOROOT/src
	after  *regexp.Regexp
	insert string // text to insert after the match
}

// wallPatches make time.Now add the configured step to the wall clock.
var wallPatches = []patch{
	{"time/time.go", regexp.MustCompile(`(?s)\nimport \(\n`), "\t\"syscall\"\n"},
	{"time/time.go", regexp.MustCompile(`(?s)\nfunc Now\(\) Time \{\n\tsec, nsec, mono := runtimeNow\(\)\n`), "\tsec, nsec = syscall.LabStep(sec, nsec)\n"},
}

// callPatches returns the patches that make system calls fail.
func callPatches() (all []patch) {
	const file = "syscall/zsyscall_linux_amd64.go"
	for _, c := range []struct{ function, check string }{
		{"openat", "if err = labOpen(path); err != nil {\n\t\treturn -1, err\n\t}\n\tdefer func() { labOpened(path, fd, err) }()\n"},
		{"Close", "labClosed(fd)\n"},
		{"read", "if p, err = labTransfer(fd, p, labRead); err != nil {\n\t\treturn -1, err\n\t}\n"},
		{"write", "if p, err = labTransfer(fd, p, labWrite); err != nil {\n\t\treturn -1, err\n\t}\n"},
		{"Fsync", "if err = labFile(fd, labSync); err != nil {\n\t\treturn err\n\t}\n"},
		{"Ftruncate", "if err = labFile(fd, labTruncate); err != nil {\n\t\treturn err\n\t}\n"},
		{"Renameat", "if err = labPath(newpath, labRename); err != nil {\n\t\treturn err\n\t}\n"},
		{"accept4", "if err = labFail(labAccept); err != nil {\n\t\treturn -1, err\n\t}\n\tdefer func() { labConnected(fd, err) }()\n"},
		{"connect", "if err = labFail(labConnect); err != nil {\n\t\treturn err\n\t}\n"},
		{"bind", "if err = labFail(labBind); err != nil {\n\t\treturn err\n\t}\n"},
		{"socket", "if err = labFail(labSocket); err != nil {\n\t\treturn -1, err\n\t}\n\tdefer func() { labConnected(fd, err) }()\n"},
	} {
		all = append(all, patch{file, regexp.MustCompile(`\nfunc ` + c.function + `\([^\n]*\{\n`), "\t" + c.check})
	}
	return all
}

// Build compiles a package of this module against the modified library, into the file out. It writes the modified
// sources to dir.
func Build(dir, pkg, out string) error {
	overlay, err := writeOverlay(dir)
	if err != nil {
		return err
	}
	text, err := exec.Command("go", "build", "-overlay", overlay, "-o", out, pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("building %s with the shim: %w: %s", pkg, err, text)
	}
	return nil
}

// writeOverlay writes the modified sources and the overlay file, and returns the overlay file's path.
func writeOverlay(dir string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	src := filepath.Join(strings.TrimSpace(string(root)), "src")
	sources := map[string][]byte{}
	for _, p := range append(callPatches(), wallPatches...) {
		path := filepath.Join(src, p.file)
		if sources[path] == nil {
			if sources[path], err = os.ReadFile(path); err != nil {
				return "", err
			}
		}
		at := p.after.FindIndex(sources[path])
		if at == nil {
			return "", fmt.Errorf("%s: no match for %s: the patch does not fit this version of Go", p.file, p.after)
		}
		sources[path] = bytes.Join([][]byte{sources[path][:at[1]], sources[path][at[1]:]}, []byte(p.insert))
	}
	shim, err := shimSource.ReadFile("syscall.txt")
	if err != nil {
		return "", err
	}
	sources[filepath.Join(src, "syscall", "lab_shim.go")] = shim
	replace := map[string]string{}
	for path, text := range sources {
		own := filepath.Join(dir, filepath.Base(filepath.Dir(path))+"_"+filepath.Base(path))
		if err := os.WriteFile(own, text, 0o600); err != nil {
			return "", err
		}
		replace[path] = own
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, text, 0o600)
}
