// Package standincmd implements "eelgrassctl standin": each stand-in of the platform and of targets as a process of its own.
package standincmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/instancelist"
	"eelgrassproxy.example/standin/service"
	"eelgrassproxy.example/standin/store"
	"eelgrassproxy.example/standin/weights"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const help = `usage: eelgrassctl standin KIND -listen ADDRESS [FLAGS]

  store    key-value service (JSON mapping of the etcd v3 API)
  list     instance list, read from -entries FILE and again after each change of the file
  weights  rate-limited weight store
  engine   model engine
  service  plain service
`

// kinds maps each stand-in to the function that adds its flags and returns the constructor of its handler.
var kinds = map[string]func(*flag.FlagSet) func(context.Context) (http.Handler, error){
	"store":   newStore,
	"list":    newList,
	"weights": newWeights,
	"engine":  newEngine,
	"service": newService,
}

// Run serves one stand-in until ctx ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || kinds[args[0]] == nil {
		fmt.Fprint(stderr, help)
		return exitUsage
	}
	flags := flag.NewFlagSet("eelgrassctl standin "+args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "IP number and port to listen on")
	build := kinds[args[0]](flags)
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if err := serve(ctx, *listen, build, stdout); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", flags.Name(), err)
		return exitFailed
	}
	return exitOK
}

func serve(ctx context.Context, listen string, build func(context.Context) (http.Handler, error), stdout io.Writer) error {
	handler, err := build(ctx)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, "listening on", l.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newStore(*flag.FlagSet) func(context.Context) (http.Handler, error) {
	return func(context.Context) (http.Handler, error) { return store.New(store.Options{}), nil }
}

func newWeights(flags *flag.FlagSet) func(context.Context) (http.Handler, error) {
	rate := flags.Int64("bytes-per-second", 100<<20, "transfer rate of all transfers together")
	return func(context.Context) (http.Handler, error) {
		return weights.New(weights.Options{BytesPerSecond: *rate}), nil
	}
}

func newEngine(flags *flag.FlagSet) func(context.Context) (http.Handler, error) {
	model := flags.String("model", "bench-assist", "model that is loaded from the start")
	version := flags.String("version", "1", "version of the model")
	adapter := flags.String("adapter", "quotes-style", "adapter that is loaded from the start")
	ignore := flags.Bool("ignore-fencing", false, "accept orders with a stale fencing number")
	return func(context.Context) (http.Handler, error) {
		options := engine.DefaultOptions()
		options.Models = []engine.Model{{Name: *model, Version: *version, Adapters: []string{*adapter}}}
		options.IgnoreFencing = *ignore
		return engine.New(options), nil
	}
}

func newService(flags *flag.FlagSet) func(context.Context) (http.Handler, error) {
	took := flags.Duration("service-time", 20*time.Millisecond, "duration of each call")
	return func(context.Context) (http.Handler, error) { return service.New(*took, &service.Ledger{}), nil }
}

// entriesPoll is how often the file of the instance list is looked at.
const entriesPoll = time.Second

func newList(flags *flag.FlagSet) func(context.Context) (http.Handler, error) {
	file := flags.String("entries", "", "YAML file with a list of id, kind, name, address, failure_domain and state (required)")
	lag := flags.Duration("lag", 0, "time until a change shows")
	return func(ctx context.Context) (http.Handler, error) {
		list := instancelist.New(instancelist.Options{Lag: *lag})
		known := map[string]entry{}
		if err := update(list, *file, known); err != nil {
			return nil, err
		}
		go follow(ctx, list, *file, known)
		return list, nil
	}
}

// entry is one line of the instance list's file.
type entry struct {
	ID            string `yaml:"id"`
	Kind          string `yaml:"kind"`
	Name          string `yaml:"name"`
	Address       string `yaml:"address"`
	FailureDomain string `yaml:"failure_domain"`
	State         string `yaml:"state"`
}

// follow applies changes of the file; a file that cannot be read for a moment leaves the list as it is.
func follow(ctx context.Context, list *instancelist.Server, file string, known map[string]entry) {
	ticker := time.NewTicker(entriesPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = update(list, file, known)
		}
	}
}

func update(list *instancelist.Server, file string, known map[string]entry) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var entries []entry
	if err := yaml.UnmarshalWithOptions(data, &entries, yaml.DisallowUnknownField()); err != nil {
		return fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		if known[e.ID] != e {
			known[e.ID] = e
			list.Set(e.wire())
		}
	}
	for id := range known {
		if !present[id] {
			delete(known, id)
			list.Remove(id)
		}
	}
	return nil
}

func (e entry) wire() platform.Instance {
	i := platform.Instance{
		ID:            e.ID,
		Kind:          platform.InstanceKind(e.Kind),
		Address:       e.Address,
		FailureDomain: e.FailureDomain,
		State:         platform.InstanceState(e.State),
	}
	if e.State == "" {
		i.State = platform.InstanceStateLive
	}
	if e.Name != "" {
		i.Name = platform.NewOptString(e.Name)
	}
	return i
}
