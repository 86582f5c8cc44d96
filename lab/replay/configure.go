package replay

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/lab/testbed"
)

// config returns the first configuration: the service, kinds and failure domains of the header.
func (s *System) config() *poplargwv1.Config {
	service := &poplargwv1.Service{Name: s.o.Header.Service}
	for _, k := range s.o.Header.Kinds {
		service.Kinds = append(service.Kinds, &poplargwv1.Kind{Name: k.Name, Priority: uint32(k.Priority),
			Urgent: k.Urgent, Repeatable: true, Slots: 1, TimeLimit: durationpb.New(taskTimeLimit)})
	}
	c := &poplargwv1.Config{Services: []*poplargwv1.Service{service}}
	for _, d := range s.o.Header.Domains {
		c.Domains = append(c.Domains, &poplargwv1.FailureDomain{Name: d, Region: s.o.Header.Region})
	}
	return c
}

func (s *System) operatorClient(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].IP, testbed.PortOperators))
}

// apply applies a configuration on top of the base version. A configuration that is not accepted
// is an error.
func (s *System) apply(c *poplargwv1.Config, base uint64) error {
	res, err := s.operatorClient(0).Apply(context.Background(), connect.NewRequest(&poplargwv1.ApplyRequest{
		BaseVersion: base, ChangeId: uuid.NewString(), Author: "replay", Config: c}))
	if err != nil {
		return err
	}
	if res.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		return fmt.Errorf("configuration not accepted: %v: %s", res.Msg.GetState(), res.Msg.GetMessage())
	}
	return nil
}

// setDomainOut takes a failure domain out of service or returns it to service.
func (s *System) setDomainOut(name string, out bool) error {
	res, err := s.operatorClient(0).GetConfig(context.Background(), connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return err
	}
	record := res.Msg.GetRecord()
	c := proto.Clone(record.GetConfig()).(*poplargwv1.Config)
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			d.Out = out
		}
	}
	return s.apply(c, record.GetVersion())
}
