package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bluebelltray/core/bbtschedule"
	"bluebelltray/io/bbtedge"
)

// showStatus returns the command's output for a host with the given status page.
func showStatus(t *testing.T, page string, c statusCmd) (string, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(page))
	}))
	defer srv.Close()
	c.Address = strings.TrimPrefix(srv.URL, "http://")
	var out bytes.Buffer
	err := c.show(&out)
	return out.String(), err
}

// ownerPage returns the status page of the owner.
func ownerPage(t *testing.T) string {
	t.Helper()
	page, err := json.Marshal(bbtedge.Status{
		Host: "10.0.0.1", Zone: "edin-a", Owner: "10.0.0.1", ConfigVersion: 7, Share: 0.5, PlatformAgeMs: -1,
		Hosts:    map[string]string{"10.0.0.2": "alive"},
		Deficits: []bbtschedule.Deficit{{Account: "salons", Units: 12}},
		Services: []bbtschedule.ServiceStatus{{Name: "plain", Waiting: 3, RetriesLeft: 4, Endpoints: []bbtschedule.EndpointStatus{
			{ID: "i-1", Running: 2, Slots: 6, Cold: true}, {ID: "i-2", Running: 1, Slots: 6, Available: true}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func TestStatusShowsTheStateOfAnOwner(t *testing.T) {
	got, err := showStatus(t, ownerPage(t), statusCmd{})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"version 7", "never", "10.0.0.2 alive", "0.50", "salons has used 12", "3 waiting, 3 running", "4 retries left",
		"i-1: 2 of 6 slots", "unavailable, cold",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got no %q in\n%s", want, got)
		}
	}
}

func TestStatusInJSONIsThePage(t *testing.T) {
	page := ownerPage(t)
	got, err := showStatus(t, page, statusCmd{JSON: true})
	if err != nil {
		t.Fatal(err)
	}
	var want, have any
	if err := json.Unmarshal([]byte(page), &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(got), &have); err != nil {
		t.Fatalf("got %v in %s", err, got)
	}
	a, _ := json.Marshal(want)
	b, _ := json.Marshal(have)
	if !bytes.Equal(a, b) {
		t.Errorf("got %s, want %s", b, a)
	}
}

func TestStatusRejectsOtherPages(t *testing.T) {
	if got, err := showStatus(t, `{"other":1}`, statusCmd{}); err == nil || got != "" {
		t.Errorf("got %q, %v, want an error", got, err)
	}
}
