package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"bluebelltray/io/bbtedge"
)

// printEdgeStatus prints the status of a host on a platform with a store as
// tables: what it believes, the other hosts, and what it owns.
func printEdgeStatus(w io.Writer, s bbtedge.Status) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintf(tw, "host\t%s in %s\n", s.Host, s.Zone)
	fmt.Fprintf(tw, "ready\t%t, leaving %t\n", s.Ready, s.Leaving)
	fmt.Fprintf(tw, "configuration\tversion %d, platform revision %d\n", s.ConfigVersion, s.Revision)
	fmt.Fprintf(tw, "platform answered\t%s\n", ageOf(s.PlatformAgeMs))
	fmt.Fprintf(tw, "owner\t%s\n", s.Owner)
	fmt.Fprintf(tw, "requests in hand\t%d\n", s.Requests)
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
		fmt.Fprintf(tw, "service\t%s: %d waiting, %d running, %.0f permits/s, %.0f repeats left\n",
			sv.Name, sv.Waiting, sv.Running(), sv.PermitsPerSecond, sv.RetriesLeft)
		for _, e := range sv.Endpoints {
			fmt.Fprintf(tw, "endpoint\t%s: %d of %d slots, %d unread, %.0f ms of prompts, %.0f us a token, %.0f ms a gap%s%s\n",
				e.ID, e.Running, e.Slots, e.AwaitingFirstEvent, e.BacklogMs, e.PrefillMicrosPerToken, e.EventGapMs, markIf(!e.Available, ", closed"), markIf(e.Cold, ", cold"))
		}
	}
}

// ageOf says how long ago the platform answered.
func ageOf(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

// markIf returns a mark if a condition holds.
func markIf(on bool, mark string) string {
	if on {
		return mark
	}
	return ""
}
