package fleet

import (
	"fmt"

	"eelgrassproxy.example/api/platform"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/service"
)

func (f *Fleet) startEngines() error {
	domains := f.Deployment.Domains()
	for i := range f.Deployment.Replicas {
		id := fleet.TargetID(fmt.Sprintf("engine-%d", i+1))
		if err := f.StartEngine(id, domains[i%len(domains)], f.engineOptions(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) engineOptions(i int) engine.Options {
	options := engine.DefaultOptions()
	if f.Engine != nil {
		options = f.Engine(i)
	}
	options.MaxRunning = engineMaxRunning
	options.Seed = f.Seed + uint64(i)
	if f.EmptyEngines {
		return options
	}
	options.Models = []engine.Model{{Name: f.Deployment.Model, Version: f.Deployment.Version, Adapters: []string{Adapter}}}
	return options
}

// StartEngine starts one engine and lists it.
func (f *Fleet) StartEngine(id fleet.TargetID, domain fleet.FailureDomain, options engine.Options) error {
	e := engine.New(options)
	f.Engines[id] = e
	address, err := f.serve(string(id), domain, e)
	if err != nil {
		return err
	}
	f.list(string(id), platform.InstanceKindEngine, "", address, domain)
	return nil
}

func (f *Fleet) startServices() error {
	domains := f.Deployment.Domains()
	for i := range serviceReplicas {
		id := fleet.TargetID(fmt.Sprintf("%s-%d", f.Deployment.Service, i+1))
		s := service.New(serviceTime, f.Ledger)
		f.Services[id] = s
		address, err := f.serve(string(id), domains[i%len(domains)], s)
		if err != nil {
			return err
		}
		f.list(string(id), platform.InstanceKindService, f.Deployment.Service, address, domains[i%len(domains)])
	}
	return nil
}

// list puts a part on the instance list.
func (f *Fleet) list(id string, kind platform.InstanceKind, name, address string, domain fleet.FailureDomain) {
	entry := platform.Instance{ID: id, Kind: kind, Address: address, FailureDomain: string(domain), State: platform.InstanceStateLive}
	if name != "" {
		entry.Name = platform.NewOptString(name)
	}
	f.List.Set(entry)
}

// StopTarget ends a target like a crash: its listener and connections close.
func (f *Fleet) StopTarget(id fleet.TargetID) {
	f.mu.Lock()
	server := f.servers[string(id)]
	f.mu.Unlock()
	_ = server.Close()
	if e := f.Engines[id]; e != nil {
		e.Close()
	}
}
