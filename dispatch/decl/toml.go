package decl

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// file is the structure of one declaration file.
type file struct {
	Services []service `toml:"service"`
	Teams    []team    `toml:"team"`
	Domains  []domain  `toml:"domain"`
	Servers  []server  `toml:"server"`
}

type service struct {
	Name  string `toml:"name"`
	Kinds []kind `toml:"kind"`
}

type kind struct {
	Name       string     `toml:"name"`
	Priority   uint32     `toml:"priority"`
	Urgent     bool       `toml:"urgent"`
	Repeatable bool       `toml:"repeatable"`
	TimeLimit  duration   `toml:"time_limit"`
	Slots      uint32     `toml:"slots"`
	Objective  *objective `toml:"objective"`
}

type objective struct {
	ResponseTime duration `toml:"response_time"`
	Target       float64  `toml:"target"`
}

type team struct {
	Name       string `toml:"name"`
	QuotaSlots uint32 `toml:"quota_slots"`
}

type domain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    *bool  `toml:"out,omitempty"`
}

type server struct {
	Name string `toml:"name"`
	Out  bool   `toml:"out"`
}

// duration is written in the format of time.ParseDuration, for example "1.5s".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d duration) proto() *durationpb.Duration { return durationpb.New(time.Duration(d)) }

// Declared is the content of a set of declaration files. A domain without the key "out" and a
// server that is not mentioned keep the state set by operators.
type Declared struct {
	config      *poplargwv1.Config
	outDeclared map[string]bool
	sources     elementSources
}

// Parse reads and validates declaration files, given by name. Errors of the decoder and of unknown
// keys name the file; a value that is not allowed is reported as a *FieldError.
func Parse(files map[string][]byte) (*Declared, error) {
	d := &Declared{config: &poplargwv1.Config{}, outDeclared: make(map[string]bool), sources: make(elementSources)}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		var f file
		meta, err := toml.Decode(string(files[name]), &f)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return nil, fmt.Errorf("%s: %s: unknown key", name, unknown[0])
		}
		d.sources.add(name, &f)
		d.add(&f)
	}
	if err := Validate(d.config); err != nil {
		return nil, d.sources.locate(err)
	}
	return d, nil
}

// Config returns the declared configuration. Where the files do not declare an out state, it comes
// from current, which may be nil.
func (d *Declared) Config(current *poplargwv1.Config) *poplargwv1.Config {
	c := clone(d.config)
	for _, domain := range c.GetDomains() {
		if !d.outDeclared[domain.GetName()] {
			domain.Out = isDomainOut(current, domain.GetName())
		}
	}
	declared := make(map[string]bool)
	for _, s := range c.GetServers() {
		declared[s.GetServer()] = true
	}
	// A server in service needs no override. Keeping one would show a change each time an operator
	// removed it.
	c.Servers = slices.DeleteFunc(c.Servers, func(s *poplargwv1.ServerOverride) bool { return !s.GetOut() })
	for _, s := range current.GetServers() {
		if !declared[s.GetServer()] {
			c.Servers = append(c.Servers, &poplargwv1.ServerOverride{Server: s.GetServer(), Out: s.GetOut()})
		}
	}
	return c
}

// Format encodes a configuration as one declaration file.
func Format(c *poplargwv1.Config) ([]byte, error) {
	var f file
	for _, s := range c.GetServices() {
		f.Services = append(f.Services, formatService(s))
	}
	for _, t := range c.GetTeams() {
		f.Teams = append(f.Teams, team{t.GetName(), t.GetQuotaSlots()})
	}
	for _, d := range c.GetDomains() {
		f.Domains = append(f.Domains, domain{d.GetName(), d.GetRegion(), new(d.GetOut())})
	}
	for _, s := range c.GetServers() {
		f.Servers = append(f.Servers, server{s.GetServer(), s.GetOut()})
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(f); err != nil {
		return nil, fmt.Errorf("encode declarations: %w", err)
	}
	return b.Bytes(), nil
}

func formatService(s *poplargwv1.Service) service {
	out := service{Name: s.GetName()}
	for _, k := range s.GetKinds() {
		f := kind{k.GetName(), k.GetPriority(), k.GetUrgent(), k.GetRepeatable(),
			duration(k.GetTimeLimit().AsDuration()), k.GetSlots(), nil}
		if o := k.GetObjective(); o != nil {
			f.Objective = &objective{duration(o.GetResponseTime().AsDuration()), o.GetTarget()}
		}
		out.Kinds = append(out.Kinds, f)
	}
	return out
}

// add appends the elements of a file to the configuration.
func (d *Declared) add(f *file) {
	for _, s := range f.Services {
		d.config.Services = append(d.config.Services, s.proto())
	}
	for _, t := range f.Teams {
		d.config.Teams = append(d.config.Teams, &poplargwv1.Team{Name: t.Name, QuotaSlots: t.QuotaSlots})
	}
	for _, v := range f.Domains {
		d.outDeclared[v.Name] = v.Out != nil
		out := v.Out != nil && *v.Out
		d.config.Domains = append(d.config.Domains, &poplargwv1.FailureDomain{Name: v.Name, Region: v.Region, Out: out})
	}
	for _, s := range f.Servers {
		d.config.Servers = append(d.config.Servers, &poplargwv1.ServerOverride{Server: s.Name, Out: s.Out})
	}
}

func (s service) proto() *poplargwv1.Service {
	out := &poplargwv1.Service{Name: s.Name}
	for _, k := range s.Kinds {
		p := &poplargwv1.Kind{Name: k.Name, Priority: k.Priority, Urgent: k.Urgent, Repeatable: k.Repeatable,
			TimeLimit: k.TimeLimit.proto(), Slots: k.Slots}
		if o := k.Objective; o != nil {
			p.Objective = &poplargwv1.Objective{ResponseTime: o.ResponseTime.proto(), Target: o.Target}
		}
		out.Kinds = append(out.Kinds, p)
	}
	return out
}
