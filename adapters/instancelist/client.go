// Package instancelist is the client of the platform's lagging list of live and leaving instances.
package instancelist

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/core/fleet"
)

// ErrUnavailable means that the list gave no usable answer. Keep the state known and poll again.
var ErrUnavailable = eris.New("instance list is unavailable")

// DefaultCallTimeout bounds one poll.
const DefaultCallTimeout = 2 * time.Second

// EntryInstance is one of our own instances as the list knows it.
type EntryInstance struct {
	ID            fleet.InstanceID
	PeerAddress   string // IP number and port of the peers' listener
	FailureDomain fleet.FailureDomain
	Leaving       bool
}

// Changes is what changed after a revision.
type Changes struct {
	Revision         int64 // pass it to the next call
	Targets          []fleet.Target
	Entries          []EntryInstance
	RemovedTargets   []fleet.TargetID
	RemovedInstances []fleet.InstanceID
	Unreadable       int // instances that were left out
}

// Client polls the instance list. It is safe for concurrent use.
type Client struct {
	api     *platform.Client
	timeout time.Duration
}

// NewClient returns a client of the list at baseURL ("http://ip:port"). A timeout of 0 means DefaultCallTimeout.
func NewClient(baseURL string, httpClient *http.Client, timeout time.Duration) (*Client, error) {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	api, err := platform.NewClient(baseURL, platform.WithClient(keepingClient{httpClient}))
	if err != nil {
		return nil, eris.Wrapf(err, "parse the instance list's address %q", baseURL)
	}
	return &Client{api: api, timeout: timeout}, nil
}

// Changes returns what changed after the revision since; 0 asks for everything. Instances that cannot be read are left out. The errors are
// ErrUnavailable.
func (c *Client) Changes(ctx context.Context, since int64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, kept := keepAnswer(ctx)
	res, err := c.api.ListInstances(ctx, platform.ListInstancesParams{Since: platform.NewOptInt64(since)})
	if err != nil {
		readable, unreadable, looseErr := decodeEach(kept)
		if looseErr != nil {
			return Changes{}, eris.Wrapf(ErrUnavailable, "list changes since %d: %v", since, err)
		}
		changes := convert(readable)
		changes.Unreadable = unreadable
		return changes, nil
	}
	switch res := res.(type) {
	case *platform.InstanceChanges:
		return convert(res), nil
	case *platform.ErrorStatusCode:
		return Changes{}, eris.Wrapf(ErrUnavailable, "status %d: %s", res.StatusCode, res.Response.Message.Value)
	}
	return Changes{}, eris.Wrapf(ErrUnavailable, "unexpected answer %T", res)
}

func convert(res *platform.InstanceChanges) Changes {
	changes := Changes{Revision: res.Revision}
	for _, instance := range res.Instances {
		changes.add(instance)
	}
	return changes
}

// add files one instance. The generated decoder has checked kind and state.
func (c *Changes) add(instance platform.Instance) {
	gone := instance.State == platform.InstanceStateGone
	entry := instance.Kind == platform.InstanceKindEntry
	switch {
	case entry && gone:
		c.RemovedInstances = append(c.RemovedInstances, fleet.InstanceID(instance.ID))
	case entry:
		c.Entries = append(c.Entries, EntryInstance{
			ID:            fleet.InstanceID(instance.ID),
			PeerAddress:   instance.Address,
			FailureDomain: fleet.FailureDomain(instance.FailureDomain),
			Leaving:       instance.State == platform.InstanceStateLeaving,
		})
	case gone:
		c.RemovedTargets = append(c.RemovedTargets, fleet.TargetID(instance.ID))
	default:
		c.Targets = append(c.Targets, target(instance))
	}
}

func target(instance platform.Instance) fleet.Target {
	t := fleet.Target{
		ID:            fleet.TargetID(instance.ID),
		Kind:          fleet.KindEngine,
		Address:       instance.Address,
		FailureDomain: fleet.FailureDomain(instance.FailureDomain),
		State:         fleet.TargetLive,
	}
	if instance.Kind == platform.InstanceKindService {
		t.Kind = fleet.KindService
		t.Service = instance.Name.Or("")
	}
	if instance.State == platform.InstanceStateLeaving {
		t.State = fleet.TargetLeaving
	}
	return t
}
