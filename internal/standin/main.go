// Command standin runs one stand-in for the platform or an endpoint as a separate
// process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"bluebelltray/internal/bbtstandin"
	"github.com/alecthomas/kong"
)

// platformCmd runs the platform.
type platformCmd struct {
	Listen string `help:"TCP address to listen on." default:"127.0.0.1:0"`
}

// engineCmd runs a model engine.
type engineCmd struct {
	Listen  string        `help:"TCP address to listen on." default:"127.0.0.1:0"`
	Slots   int           `help:"Requests in the batch." default:"8"`
	Between time.Duration `help:"Time between tokens." default:"2ms"`
	Fencing bool          `help:"Refuse orders with an old fencing number."`
}

// serviceCmd runs a plain service.
type serviceCmd struct {
	Listen string        `help:"TCP address to listen on." default:"127.0.0.1:0"`
	Delay  time.Duration `help:"Time a call takes." default:"5ms"`
}

// cli defines the subcommands.
type cli struct {
	Platform platformCmd `cmd:"" help:"Run the configuration service and host list."`
	Engine   engineCmd   `cmd:"" help:"Run a model engine."`
	Service  serviceCmd  `cmd:"" help:"Run a plain service."`
}

// Run serves the platform until the process ends.
func (c *platformCmd) Run() error { return serve(c.Listen, bbtstandin.NewPlatform()) }

// Run serves the engine until the process ends.
func (c *engineCmd) Run() error {
	speed := bbtstandin.DefaultEngineSpeed()
	speed.Slots, speed.TokenInterval = c.Slots, c.Between
	return serve(c.Listen, bbtstandin.NewEngine(speed, c.Fencing))
}

// Run serves the plain service until the process ends.
func (c *serviceCmd) Run() error { return serve(c.Listen, bbtstandin.NewService(c.Delay)) }

// serve prints the bound address and answers requests.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, h)
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Description("Runs one stand-in for the platform or an endpoint."))
	ctx.FatalIfErrorf(ctx.Run())
}
