package bbtedge

import (
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Guards against requests that a host sends to itself or to another host, since an entry
// of a server has their address: they would come back, and callers get its answers.
func TestEndpointAtAHostsAddressIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		a := w.join("a", s)
		b := w.join("b", s, "a")
		time.Sleep(2 * time.Second)
		closeAll(a, b)
		a.settings.Ready, a.settings.Directory, a.settings.Platform = "a:2", "a:3", "p:1"
		var changes []bbtcatalog.Change
		for id, addr := range map[string]string{"own": "a:1", "other": "b:1", "ready": "a:2", "directory": "a:3", "platform": "p:1", "sound": "a:9"} {
			changes = append(changes, bbtcatalog.Change{Revision: 9, Endpoint: &bbtcatalog.Endpoint{ID: id, Service: "plain", Address: addr}})
		}
		a.applyUpdate(time.Now(), bbtcatalog.Update{Revision: 9, Changes: changes}, "platform")
		for id, want := range map[string]bool{"own": false, "other": false, "ready": false, "directory": false, "platform": false, "sound": true, "i-0": true} {
			if got := a.scheduler.HasEndpoint(id); got != want {
				t.Errorf("got endpoint %s used %t, want %t", id, got, want)
			}
		}
		if got := a.excludedEndpoints; got != 5 {
			t.Errorf("got %d endpoints counted as excluded, want 5", got)
		}
	})
}
