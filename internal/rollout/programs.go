package rollout

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// versionsName is the subdirectory of an agent's directory that holds the stored programs. The name of each file is its checksum.
const versionsName = "versions"

// CurrentProgram returns the path of the program that a relay runs, from the state in its agent's directory. Without a stored
// state it returns initial.
func CurrentProgram(dir, initial string) (string, error) {
	state, err := readAgentState(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return initial, nil
	}
	return programPath(dir, state.Version), err
}

// programPath returns the path of a stored program. The checksum comes from a request and may hold separators: only its last
// element is used, so that the path can't leave the directory.
func programPath(dir, checksum string) string {
	return filepath.Join(dir, versionsName, filepath.Base(checksum))
}

func (s *Server) programPath(checksum string) string { return programPath(s.dir, checksum) }

// ChecksumError is the error for a program that does not have the expected checksum.
type ChecksumError struct{ Path, Got, Want string }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("%s has checksum %.12s, not %.12s", e.Path, e.Got, e.Want)
}

// storeProgram copies a program into the agent's directory, atomically, and returns its checksum. It returns a *ChecksumError if
// want is not empty and differs from the checksum.
func (s *Server) storeProgram(path, want string) (checksum string, err error) {
	checksum, err = Checksum(path)
	if err != nil {
		return "", err
	}
	if want != "" && checksum != want {
		return "", &ChecksumError{path, checksum, want}
	}
	target := s.programPath(checksum)
	if stored, err := Checksum(target); err == nil && stored == checksum {
		return checksum, nil
	}
	temporary := target + ".new"
	if err := copyProgram(path, temporary); err != nil {
		return "", err
	}
	return checksum, os.Rename(temporary, target)
}

// copyProgram copies a file and syncs the copy. It removes the copy if it fails.
func copyProgram(from, to string) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }()
	target, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o700)
	if err != nil {
		return err
	}
	_, err = io.Copy(target, source)
	if err = errors.Join(err, target.Sync(), target.Close()); err != nil {
		return errors.Join(err, os.Remove(to))
	}
	return nil
}
