package batch

import "github.com/rotisserie/eris"

// Errors of this package; test for them with errors.Is.
var (
	// ErrInvalidRecord means that a stored record cannot be decoded or has an unknown state.
	ErrInvalidRecord = eris.New("batch record is invalid")
	// ErrJobTooLarge means that the record of the job would exceed MaxJobBytes.
	ErrJobTooLarge = eris.New("job is too large for its record")
	// ErrInvalidSubmission means that a submission lacks a required field or has a value that is out of range.
	ErrInvalidSubmission = eris.New("submission is invalid")
	// ErrTransition means that the record's state does not allow the transition.
	ErrTransition = eris.New("state does not allow the transition")
)
