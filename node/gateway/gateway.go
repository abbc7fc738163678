// Package gateway serves opaque HTTP requests: it selects a route and a target for each, relays the target's answer unchanged, and
// repeats or resumes what may be repeated. What the messages look like on a platform's wire is left to a Protocol.
package gateway

import (
	"net/http"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
)

// Request is one opaque request. It is immutable.
type Request struct {
	ID  fleet.RequestID
	Job string // of a batch item; empty for an online request
	// OwnedAsOf is, for a batch item, as of when its instance last knew from the store that the job is open and its own.
	OwnedAsOf time.Time
	Method    string
	URI       string // request target as the client sent it
	Host      string
	Header    http.Header // end-to-end headers, without those that a Protocol sets itself
	Body      []byte
	Route     *routetable.Route
	Service   string // backend of the route that was drawn for the request
	Version   int64  // of the routing table
	Arrived   time.Time
	Deadline  time.Time // the earlier one of the client's deadline and the route's timeout
}

// Attempt is what a Protocol needs to know of one try.
type Attempt struct {
	Target    slots.Target
	Remaining time.Duration // until the request's deadline
	Resume    bool          // the stream continues after the event with the id After
	After     int64
}

// Reply is what the header of a target's response says.
type Reply struct {
	NotRun      bool // the target did not run the request and will not
	OtherTarget bool // another target has the address
	Events      bool // the body is an event stream
	Complete    bool // the response bears the mark that makes a success count
}

// Protocol translates between the gateway and the headers of a platform's messages.
type Protocol interface {
	// Header returns the header of a try.
	Header(r *Request, a Attempt) http.Header
	// Mine tells whether a response is the one to the request.
	Mine(id fleet.RequestID, header http.Header) bool
	// Reply decodes the header of a response.
	Reply(status int, header http.Header) Reply
}
