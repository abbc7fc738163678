// Package gateway forwards opaque HTTP requests: it chooses a target for each, relays the target's response unchanged, and retries or resumes
// the requests that may be repeated. A Protocol implements the headers of a platform's messages. The package also exchanges load and
// membership with the other instances, and maintains the routing table and the list of targets from the store.
package gateway

import (
	"net/http"
	"time"

	"eelgrassproxy.example/core/accounts"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
)

// Request is one opaque request. It is immutable.
type Request struct {
	ID  fleet.RequestID
	Job string // of a batch item; empty for an online request
	// OwnershipConfirmed is, for a batch item, the time of the latest confirmation from the store that its job is open and owned by this instance.
	OwnershipConfirmed time.Time
	Method             string
	URI                string // request URI as the client sent it
	Host               string
	Header             http.Header // end-to-end headers, without those that a Protocol sets itself
	Body               []byte
	Route              *routetable.Route
	Account            *accounts.Account // of the caller; nil for a request without one
	// Accounts means that the configuration has client accounts. What the request's own headers state about its account is then not passed on.
	Accounts bool
	Service  string // service of the route that was drawn for the request
	Version  int64  // of the routing table
	Arrived  time.Time
	Resume   bool // the client asks for the rest of a stream, after the event After
	After    int64
	Deadline time.Time // the earlier of the client's deadline and the end of the route's timeout
	// Weight is the share of the account under shortage, see accounts.Directory.Weight.
	Weight float64
	// Tokens is the number of tokens of the prompt and, at most, of the response, or 0 if the request states none.
	Tokens int64
	// MaxTokens is the number of tokens that the response may have at most, or an upper bound of it; 0 if the request states none. It bounds the size of
	// a stream.
	MaxTokens int64
	// Parts are the parts of the prompt that other requests may share, in their order.
	Parts []poison.Part
}

// Attempt holds the properties of one try that a Protocol puts into its header.
type Attempt struct {
	Target    slots.Target
	Remaining time.Duration // until the request's deadline
	Resume    bool          // the stream is to continue after the event After
	After     int64         // id of the last event that was passed on, with Resume
}

// ResponseInfo holds the information in the header of a target's response.
type ResponseInfo struct {
	NotRun       bool // the target says that it did not run the request and will not
	NotRunStatus bool // the status tells clients that the request was not run and will not be
	OtherTarget  bool // the address belongs to another target than the one meant
	Events       bool // the body is an event stream
	Unidentified bool // the header does not name the request that the response belongs to
	Leaving      bool // the target is leaving; says nothing about the request itself. Meaningless with OtherTarget
	Complete     bool // the response has the platform's completion mark: a header of the target without which a success is not accepted
}

// Protocol encodes and decodes the headers of a platform's messages. Implementations must be safe for concurrent use.
type Protocol interface {
	// Header returns the header of a try.
	Header(r *Request, a Attempt) http.Header
	// Matches reports whether a response with this header belongs to the request with this ID, or does not name a request.
	Matches(id fleet.RequestID, header http.Header) bool
	// DecodeResponse decodes the header of a response.
	DecodeResponse(status int, header http.Header) ResponseInfo
}
