package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
)

// The control operations read the whole answer; the caller bounds them in time by ctx. Their errors are those of Start.

// Cancel ends a run. It succeeds also if the engine does not know the run or the run has ended.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	_, err := control[*api.CancelStreamNoContent](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.CancelStream(ctx, api.CancelStreamParams{RequestID: id})
	})
	return err
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, address string) (fleet.LoadReport, error) {
	load, err := control[*api.Load](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.GetLoad(ctx)
	})
	if err != nil {
		return fleet.LoadReport{}, err
	}
	return reportOf(load, time.Now()), nil
}

// Order sends an order and returns what the engine holds afterwards. An engine that checks fencing numbers and knows a higher one
// gives ErrStaleFence.
func (c *Client) Order(ctx context.Context, address string, order api.Order) (*api.EngineState, error) {
	state, err := control[*api.EngineState](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.Order(ctx, &order)
	})
	return state, withStatus(err, http.StatusConflict, ErrStaleFence)
}

// State returns what the engine holds.
func (c *Client) State(ctx context.Context, address string) (*api.EngineState, error) {
	return control[*api.EngineState](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.GetState(ctx)
	})
}

// CacheEvents returns the published cache events after a sequence. A jump in the sequence is a gap: the events in it are lost.
func (c *Client) CacheEvents(ctx context.Context, address string, since int64) (*api.CacheEvents, error) {
	return control[*api.CacheEvents](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.GetCacheEvents(ctx, api.GetCacheEventsParams{Since: api.NewOptInt64(since)})
	})
}

// ExportKV returns the engine's cached blocks of the given hashes, in the engine's own encoding.
func (c *Client) ExportKV(ctx context.Context, address string, blocks []string) ([]byte, error) {
	exported, err := control[*api.ExportKVOK](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.ExportKV(ctx, &api.ExportRequest{Blocks: blocks})
	})
	if err != nil {
		return nil, err
	}
	return io.ReadAll(exported)
}

// ImportKV gives an engine the blocks that another one exported, and returns the number of blocks that it then holds.
func (c *Client) ImportKV(ctx context.Context, address string, blocks []byte) (int, error) {
	result, err := control[*api.ImportResult](ctx, address, func(ctx context.Context) (any, error) {
		return c.generated.ImportKV(ctx, api.ImportKVReq{Data: bytes.NewReader(blocks)})
	})
	if err != nil {
		return 0, err
	}
	return int(result.Blocks), nil
}

// control runs an operation whose answer the generated client decodes into a T.
func control[T any](ctx context.Context, address string, operation func(context.Context) (any, error)) (T, error) {
	var none T
	ctx, recorded := begin(ctx, false)
	result, err := operation(api.WithServerURL(ctx, httpcall.BaseURL(address)))
	if err != nil {
		return none, translate(err, recorded.called)
	}
	wanted, ok := result.(T)
	if !ok {
		return none, unexpectedResult(result)
	}
	return wanted, nil
}

// withStatus adds a more precise error to a StatusError of the given status.
func withStatus(err error, status int, precise error) error {
	var answered *StatusError
	if errors.As(err, &answered) && answered.Status == status {
		return fmt.Errorf("%w: %w", precise, err)
	}
	return err
}
