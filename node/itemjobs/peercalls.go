package itemjobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/intake"
)

// maxPeerWait bounds how long a read by a peer waits for a result.
const maxPeerWait = 5 * time.Second

// submissionPath is where jobs are submitted to a peer. The calls about one job are below it.
const submissionPath = "/v1/item-jobs"

// errNotOwner means that the called instance does not own the job.
var errNotOwner = eris.New("peer does not own the job")

// peerCalls makes the calls between instances about jobs.
type peerCalls struct{ client *gateway.PeerClient }

// do calls a peer. The status 404 becomes errNotOwner, others a *gateway.PeerStatusError. maxWait is the time that the peer may take in addition to
// the usual one.
func (c peerCalls) do(ctx context.Context, method, address, path string, query url.Values, body []byte, maxWait time.Duration) ([]byte, error) {
	return c.doAdmitted(ctx, method, address, path, query, body, maxWait, nil)
}

// doAdmitted is do with a function that may refuse to read the response; see gateway.PeerClient.DoAdmitted.
func (c peerCalls) doAdmitted(ctx context.Context, method, address, path string, query url.Values, body []byte, maxWait time.Duration, admit func(size int64) error) ([]byte, error) {
	response, err := c.client.DoAdmitted(ctx, method, address, submissionPath+path, query, body, maxWait, admit)
	if statusOf(err) == http.StatusNotFound {
		return nil, errNotOwner
	}
	return response, err
}

// statusOf returns the status with which a peer answered a call that failed, or 0 if it did not answer.
func statusOf(err error) int {
	var status *gateway.PeerStatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// outcomeStatus returns the status with which a peer is told the outcome of a submission.
func outcomeStatus(o Outcome) int {
	switch o {
	case Accepted:
		return http.StatusOK
	case Unavailable:
		return http.StatusServiceUnavailable
	case OverTokenLimit:
		return http.StatusTooManyRequests
	case Invalid:
		return http.StatusRequestEntityTooLarge
	case Refused:
		return http.StatusConflict
	default:
		return http.StatusInternalServerError
	}
}

// statusOutcome is the reverse of outcomeStatus. Any status that is not one of these leaves the outcome open.
func statusOutcome(status int) Outcome {
	for _, o := range []Outcome{Accepted, Unavailable, OverTokenLimit, Invalid, Refused} {
		if outcomeStatus(o) == status {
			return o
		}
	}
	return MayBeAccepted
}

// read reads a page of results. admit is called with its size in bytes before it is read.
func (c peerCalls) read(ctx context.Context, address string, caller itemjob.Caller, id itemjob.ID, after int, maxWait time.Duration,
	admit func(size int64) error) (Page, error) {
	query := callerQuery(caller)
	query.Set("after", strconv.Itoa(after))
	query.Set("wait_ms", strconv.FormatInt(maxWait.Milliseconds(), 10))
	body, err := c.doAdmitted(ctx, http.MethodGet, address, "/"+string(id)+"/results", query, nil, maxWait, admit)
	if err != nil {
		return Page{}, err
	}
	var page Page
	return page, json.Unmarshal(body, &page)
}

func (c peerCalls) body(ctx context.Context, address string, caller itemjob.Caller, id itemjob.ID, item string) ([]byte, error) {
	query := callerQuery(caller)
	query.Set("item", item)
	return c.do(ctx, http.MethodGet, address, "/"+string(id)+"/body", query, nil, 0)
}

// callerQuery returns the parameters by which a call about a job states on whose behalf it is made.
func callerQuery(caller itemjob.Caller) url.Values {
	query := url.Values{}
	if caller.Account != "" {
		query.Set("account", caller.Account)
	}
	if caller.Unrestricted {
		query.Set("unrestricted", "true")
	}
	return query
}

// callerIn is the reverse of callerQuery. Peers of earlier builds, which know no accounts, state nothing.
func callerIn(query url.Values) itemjob.Caller {
	return itemjob.Caller{Account: query.Get("account"), Unrestricted: query.Get("unrestricted") == "true"}
}

// adoption is a job that an instance hands over to a peer.
type adoption struct {
	progress
	Departing []slots.Target `json:"departing,omitempty"` // see gateway.Board.Departing
}

func (c peerCalls) adopt(ctx context.Context, address string, id itemjob.ID, handedOver progress, departing []slots.Target) error {
	body, err := encodeJSON(adoption{handedOver, departing})
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPost, address, "/"+string(id)+"/adopt", nil, body, peerAdoptTimeout)
	return err
}

// submission is a job that an instance forwards to a peer. The parts are encoded as in the store; see encodeParts.
type submission struct {
	Record itemjob.Record `json:"record"`
	Parts  [][]byte       `json:"parts"`
	// Unrestricted is itemjob.Caller.Unrestricted of the client; its account is in the record.
	Unrestricted bool `json:"unrestricted,omitempty"`

	Departing []slots.Target `json:"departing,omitempty"` // see gateway.Board.Departing
}

// submit forwards a job to a peer. The error is the cause of an outcome other than Accepted.
func (c peerCalls) submit(ctx context.Context, address string, record itemjob.Record, sub Submission, departing []slots.Target) (Outcome, error) {
	parts, err := encodeParts(sub.Items)
	if err != nil {
		return Invalid, err
	}
	body, err := json.Marshal(submission{record, parts, sub.Unrestricted, departing})
	if err != nil {
		return Invalid, err
	}
	_, err = c.client.Do(ctx, http.MethodPost, address, submissionPath, nil, body, submitTimeout)
	var notSent *gateway.PeerNotSentError
	switch {
	case err == nil:
		return Accepted, nil
	case errors.As(err, &notSent):
		return Unavailable, err
	}
	return statusOutcome(statusOf(err)), err
}

// drop notifies a peer that it does not own a job since a revision of its record. It is no error if the peer does not have the job.
func (c peerCalls) drop(ctx context.Context, address string, id itemjob.ID, since kv.Revision) error {
	query := url.Values{"since": {strconv.FormatInt(int64(since), 10)}}
	_, err := c.do(ctx, http.MethodPost, address, "/"+string(id)+"/drop", query, nil, 0)
	if errors.Is(err, errNotOwner) {
		return nil
	}
	return err
}

// peerAdoptTimeout is the time that a peer gets for the store calls by which it takes a job over.
const peerAdoptTimeout = 2 * time.Second

// Handle registers the handlers for the calls of peers.
func (s *Service) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/item-jobs/{job}/results", s.servePage)
	mux.HandleFunc("GET /v1/item-jobs/{job}/body", s.serveBody)
	mux.HandleFunc("POST /v1/item-jobs/{job}/adopt", s.serveAdopt)
	mux.HandleFunc("POST /v1/item-jobs/{job}/drop", s.serveDrop)
	mux.HandleFunc("POST /v1/item-jobs", s.serveSubmit)
}

func (s *Service) servePage(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil || after < 0 || wait < 0 {
		http.Error(w, "after and wait_ms must be numbers of at least 0", http.StatusBadRequest)
		return
	}
	page, ok := s.ReadOwned(r.Context(), callerIn(r.URL.Query()), itemjob.ID(r.PathValue("job")), after, min(time.Duration(wait)*time.Millisecond, maxPeerWait))
	if !ok {
		http.Error(w, errNotOwner.Error(), http.StatusNotFound)
		return
	}
	if !s.memory.reservePage(&page) {
		http.Error(w, errPagesFull.Error(), http.StatusServiceUnavailable)
		return
	}
	defer page.Release()
	body, err := encodeJSON(page)
	if err != nil {
		klog.ErrorS(err, "Page of results cannot be encoded", "job", r.PathValue("job"))
		http.Error(w, "page cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // if the write fails, the peer reads the store
}

func (s *Service) serveBody(w http.ResponseWriter, r *http.Request) {
	body, ok := s.BodyOwned(callerIn(r.URL.Query()), itemjob.ID(r.PathValue("job")), r.URL.Query().Get("item"))
	if !ok {
		http.Error(w, errNotOwner.Error(), http.StatusNotFound)
		return
	}
	_, _ = io.Copy(w, bytes.NewReader(body)) // if the write fails, the peer reads the store
}

func (s *Service) serveAdopt(w http.ResponseWriter, r *http.Request) {
	received := s.Now()
	decoded, err := s.memory.encode(r.Context(), max(r.ContentLength, 0))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var handedOver adoption
	ok := decodePeerRequest(w, r, &handedOver)
	decoded() // taking up the job waits for the same memory
	if !ok {
		return
	}
	if size := handedOver.outputBytes(); s.memory.kept.Reserve(size) {
		handedOver.release = func() { s.memory.kept.Release(size) }
		defer handedOver.releaseMemory()
	} else {
		klog.InfoS("Outputs of a job that is handed over do not fit into the memory for items, its unfinished items run again", "job", r.PathValue("job"), "bytes", size)
		handedOver.Partials, handedOver.Finished = nil, nil
	}
	s.Board.MarkDeparting(handedOver.Departing, r.RemoteAddr)
	handedOver.submittedBy = received.Add(-handedOver.Age)
	if err := s.Adopt(context.WithoutCancel(r.Context()), itemjob.ID(r.PathValue("job")), &handedOver.progress); err != nil {
		klog.ErrorS(err, "Job was not taken up", "job", r.PathValue("job"))
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Service) serveDrop(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = int64(ended) // from an earlier version, which does not name the revision
	}
	if !s.DropOwned(itemjob.ID(r.PathValue("job")), kv.Revision(since), "a peer reported that it was ended or taken over") {
		http.Error(w, errNotOwner.Error(), http.StatusNotFound)
	}
}

func (s *Service) serveSubmit(w http.ResponseWriter, r *http.Request) {
	received := s.Now()
	recorded, err := s.BeginSubmission(r.Context(), max(r.ContentLength, 0))
	if err != nil {
		http.Error(w, err.Error(), outcomeStatus(Unavailable))
		return
	}
	defer recorded()
	var sub submission
	if !decodePeerRequest(w, r, &sub) {
		return
	}
	sub.Record.SetSubmitted(received.Add(-sub.Record.KnownAge))
	var items []itemjob.Item
	for _, part := range sub.Parts {
		unpacked, err := decodePart(part)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		items = append(items, unpacked...)
	}
	s.Board.MarkDeparting(sub.Departing, r.RemoteAddr)
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.WithoutCancel(r.Context()), "job-submit"), submitTimeout)
	defer cancel()
	if outcome, cause := s.accept(ctx, sub.Record, itemjob.Caller{Account: sub.Record.Account, Unrestricted: sub.Unrestricted}, items); outcome != Accepted {
		http.Error(w, fmt.Sprint(cause), outcomeStatus(outcome))
	}
}

// maxPeerRequestBytes bounds the body of a peer's call. The largest job that clients may submit fits.
const maxPeerRequestBytes = 16 << 20

// decodePeerRequest decodes the body of a peer's call. If that fails, it responds with 400, or with 503 if there is no memory for the body, and returns
// false.
func decodePeerRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPeerRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if intake.IsRefusal(err) {
		status = http.StatusServiceUnavailable
	}
	klog.ErrorS(err, "Request of a peer cannot be decoded", "path", r.URL.Path, "status", status)
	http.Error(w, err.Error(), status)
	return false
}
