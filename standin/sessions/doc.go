// Package sessions holds whole sessions on virtual time as golden files: the request of a caller, the calls that targets saw, the answer
// and the decisions, for the good path and for each fault.
package sessions
