package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"bluebelltray/io/bbtedge"
)

// printEdgeStatus prints the status of a bbtedge.Edge as a table: the host's own
// state, its peers and, if it is the owner, which is elected to schedule all hosts'
// requests, its limits, services and endpoints.
func printEdgeStatus(w io.Writer, s bbtedge.Status) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintf(tw, "host\t%s in %s\n", s.Host, s.Zone)
	fmt.Fprintf(tw, "ready\t%t, leaving %t\n", s.Ready, s.Leaving)
	fmt.Fprintf(tw, "configuration\tversion %d, platform revision %d\n", s.ConfigVersion, s.Revision)
	fmt.Fprintf(tw, "platform answered\t%s\n", formatAge(s.PlatformAgeMs))
	fmt.Fprintf(tw, "owner\t%s\n", s.Owner)
	fmt.Fprintf(tw, "requests in progress\t%d\n", s.Requests)
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		fmt.Fprintf(tw, "peer\t%s %s\n", id, s.Hosts[id])
	}
	if s.Owner != s.Host {
		return
	}
	fmt.Fprintf(tw, "share of limits\t%.2f\n", s.Share)
	for _, d := range s.Deficits {
		fmt.Fprintf(tw, "account\t%s has used %.0f of its burst\n", d.Account, d.Units)
	}
	for _, sv := range s.Services {
		fmt.Fprintf(tw, "service\t%s: %d waiting, %d running, %.0f permits/s, %.0f retries left\n",
			sv.Name, sv.Waiting, sv.Running(), sv.PermitsPerSecond, sv.RetriesLeft)
		for _, e := range sv.Endpoints {
			fmt.Fprintf(tw, "endpoint\t%s: %d of %d slots, %d awaiting their first event, %.0f ms of prompt backlog, %.0f us per prompt token, %.0f ms per event or call%s%s\n",
				e.ID, e.Running, e.Slots, e.AwaitingFirstEvent, e.BacklogMs, e.PrefillMicrosPerToken, e.EventGapMs, textIf(!e.Available, ", unavailable"), textIf(e.Cold, ", cold"))
		}
	}
}

// formatAge formats the age of the platform's last answer; a negative one means
// that there was none.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

// textIf returns text if a condition holds, else nothing.
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
