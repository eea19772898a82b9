package endpoints

import "fmt"

// BudgetError says that a list needs more disk space than the budget of its Store.
type BudgetError struct {
	Budget int64 // bytes
	Needed int64 // bytes, at least
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("the list of endpoints is not stored: %d bytes needed, %d allowed", e.Needed, e.Budget)
}

// FileError says that a file of a Store could not be used, or only in part.
type FileError struct {
	Name string
	Err  error
}

func (e *FileError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }
