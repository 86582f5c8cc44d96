package server

import (
	"context"
	"encoding/json"
	"net/http"

	"poplargw.example/daemon/agent"
)

// agentRole implements role for an agent.
type agentRole struct {
	agent *agent.Agent
}

func newAgent(p *process) role {
	return agentRole{agent.New(agent.Options{Settings: p.settings, Client: p.client, Log: p.log, Metrics: p.metrics})}
}

func (r agentRole) run(ctx context.Context) error   { return r.agent.Run(ctx) }
func (r agentRole) drain(ctx context.Context) error { return r.agent.Drain(ctx) }
func (r agentRole) ready() bool                     { return r.agent.Ready() }

func (r agentRole) handlers() handlers {
	return handlers{peers: r.agent.PeerHandler(), local: r.agent.LocalHandler()}
}

func (r agentRole) addOperatorHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.agent.Status())
	})
}
