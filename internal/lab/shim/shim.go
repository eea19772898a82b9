// Package shim builds a program against a changed standard library, for tests of the lab alone: its wall clock can be
// stepped and its system calls can be made to fail while it runs, as Linux documents that they may. The program itself
// is compiled as it is released, and its monotonic clock is untouched.
//
// The changes go into a build by `go build -overlay`. What they do is steered by a small file that the program maps into
// its memory, named by $LAB_SHIM: without one a program behaves as any other. No release is built this way.
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

// added is the source that the overlay adds to package syscall.
//
//go:embed syscall.txt
var shimSource embed.FS

// patch changes one place of a file of the standard library.
type patch struct {
	file   string // below the tool chain's src
	after  *regexp.Regexp
	insert string // inserted behind the match
}

// wallPatches let package time add the step of the wall clock to each of its readings.
var wallPatches = []patch{
	{"time/time.go", regexp.MustCompile(`(?s)\nimport \(\n`), "\t\"syscall\"\n"},
	{"time/time.go", regexp.MustCompile(`(?s)\nfunc Now\(\) Time \{\n\tsec, nsec, mono := runtimeNow\(\)\n`), "\tsec, nsec = syscall.LabStep(sec, nsec)\n"},
}

// callPatches let the system calls fail. Each names the call as Call does.
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

// Build compiles a package of this module against the changed library, into the file out. It keeps the changed sources in
// a folder of its own below dir.
func Build(dir, pkg, out string) error {
	overlay, err := writeOverlay(dir)
	if err != nil {
		return err
	}
	text, err := exec.Command("go", "build", "-overlay", overlay, "-o", out, pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", pkg, err, text)
	}
	return nil
}

// writeOverlay writes the changed sources and the overlay's own file, and gives the path of that.
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
			return "", fmt.Errorf("%s: nothing matches %s: this tool chain has another form", p.file, p.after)
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
