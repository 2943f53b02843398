package bbtschedule

import (
	"slices"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtshare"
)

// tierWeights returns the weights of client accounts for services that keep room for
// their more urgent tiers, nil if the configuration does not call for it: a service of
// model engines has to have routes of several tiers, and the most urgent one a latency
// objective that leaves time to wait. Then the other services do the same.
func (s *Scheduler) tierWeights(cfg *bbtcatalog.Config) map[string]float64 {
	if s.tierRoomObjective <= 0 || !slices.ContainsFunc(cfg.Services, func(sv bbtcatalog.Service) bool { return s.callsForTiers(cfg, &sv) }) {
		return nil
	}
	weights := make(map[string]float64, len(cfg.Accounts))
	for i := range cfg.Accounts {
		if a := &cfg.Accounts[i]; a.Rate > 0 {
			weights[a.Name] = a.Rate
		}
	}
	return weights
}

// callsForTiers reports whether the routes of a service call for room that is kept for
// their tiers.
func (s *Scheduler) callsForTiers(cfg *bbtcatalog.Config, sv *bbtcatalog.Service) bool {
	var urgent *bbtcatalog.Route
	several := false
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if !r.AllowsService(sv.Name) {
			continue
		}
		several = several || urgent != nil && r.Tier != urgent.Tier
		if urgent == nil || r.Tier < urgent.Tier {
			urgent = r
		}
	}
	return sv.ModelEngine && several && urgent.LatencyObjective >= s.tierRoomObjective
}

// setTiers makes the service keep room for its tiers if weights is not nil.
func (sv *service) setTiers(weights map[string]float64) {
	sv.queue.tiersFirst = weights != nil
	if weights == nil {
		sv.tiers = nil
		return
	}
	if sv.tiers == nil {
		sv.tiers = &tiers{clocks: make(map[int]*bbtshare.Clock)}
	}
	t := sv.tiers
	t.weights, t.mean = weights, 0
	for _, w := range weights {
		t.mean += w / float64(len(weights))
	}
	if t.mean <= 0 {
		t.mean = 1
	}
}
