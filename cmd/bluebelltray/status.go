package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"bluebelltray/io/bbtdaemon"
	"bluebelltray/io/bbtedge"
	"github.com/cockroachdb/errors"
)

// statusTimeout bounds each request for a page of a host.
const statusTimeout = 5 * time.Second

// statusCmd shows the status of a running host.
type statusCmd struct {
	Address  string `arg:"" help:"Where the host shows its status, as IP:port: its caller address, or its page for metrics on a platform with a store."`
	Counters bool   `help:"Show the counters too."`
	JSON     bool   `help:"Print the page as it is, in JSON."`
}

// Run requests the host's pages and prints them.
func (c *statusCmd) Run() error { return c.show(os.Stdout) }

// show writes the host's pages to w.
func (c *statusCmd) show(w io.Writer) error {
	var page json.RawMessage
	if err := readPage(c.Address, "/status", &page); err != nil {
		return err
	}
	if err := c.print(w, page); err != nil {
		return err
	}
	if !c.Counters {
		return nil
	}
	var vars map[string]any
	if err := readPage(c.Address, "/debug/vars", &vars); err != nil {
		return err
	}
	return printJSON(w, vars)
}

// print writes the status page of a bbtedge.Edge or a bbtdaemon.Daemon.
func (c *statusCmd) print(w io.Writer, page json.RawMessage) error {
	if c.JSON {
		return printJSON(w, page)
	}
	var edge struct {
		bbtedge.Status
		Revision *uint64 `json:"platform-revision"` // absent from a daemon's page
	}
	if err := json.Unmarshal(page, &edge); err == nil && edge.Revision != nil {
		edge.Status.Revision = *edge.Revision
		printEdgeStatus(w, edge.Status)
		return nil
	}
	var s bbtdaemon.Status
	if err := json.Unmarshal(page, &s); err != nil || s.Host == "" {
		return errors.New("response is not the status page of a host")
	}
	printStatus(w, s)
	return nil
}

// printJSON prints a value in indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

// printStatus prints the status of a bbtdaemon.Daemon as a table.
func printStatus(w io.Writer, s bbtdaemon.Status) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintf(tw, "host\t%s\n", s.Host)
	fmt.Fprintf(tw, "serving\t%t\n", s.Serving)
	fmt.Fprintf(tw, "view fresh\t%t\n", s.Fresh)
	fmt.Fprintf(tw, "leaving\t%t\n", s.Leaving)
	fmt.Fprintf(tw, "configuration\t%s\n", s.Configuration)
	if s.Refused != "" {
		fmt.Fprintf(tw, "refused configuration\t%s\n", s.Refused)
	}
	fmt.Fprintf(tw, "host list\t%d\n", s.HostList)
	fmt.Fprintf(tw, "requests\t%d\n", s.Requests)
	for _, o := range s.OwnedEndpoints {
		fmt.Fprintf(tw, "owns\t%s\t%d of %d slots, %d permits outstanding, %d requests of other owners, %d more permits available%s\n",
			o.Endpoint, o.UsableSlots, o.Slots, o.Outstanding, o.Foreign, o.Headroom, textIf(o.Cold, ", cold"))
	}
	for _, q := range s.Queues {
		fmt.Fprintf(tw, "queue\t%s\t%d waiting\n", q.Pool, q.Waiting)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(tw, "peer\t%s\t%s\t%s\n", p.Host, p.Zone, p.State)
	}
}

// readPage requests a JSON page of a host and decodes it into v.
func readPage(addr, path string, v any) error {
	c := http.Client{Timeout: statusTimeout}
	resp, err := c.Get("http://" + addr + path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("read %s: status %d", path, resp.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(v), "decode %s", path)
}
