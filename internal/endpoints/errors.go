package endpoints

import "fmt"

// BudgetError says that a list does not fit into the bytes that a Store may use.
type BudgetError struct {
	Budget int64
	Needed int64 // at least
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("the list of endpoints is not stored: %d bytes needed, %d allowed", e.Needed, e.Budget)
}

// FileError says what is wrong with a file of a Store.
type FileError struct {
	Name string
	Err  error
}

func (e *FileError) Error() string { return e.Name + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }
