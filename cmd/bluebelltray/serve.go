package main

import (
	"os"

	"bluebelltray/io/bbtapp"
	"bluebelltray/io/bbtsettings"
)

// serveCmd runs an entry host.
type serveCmd struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"The host's settings file."`
}

// Run serves requests until a signal stops the process.
func (c *serveCmd) Run() error {
	s, err := bbtsettings.Load(c.Settings)
	if err != nil {
		return &exitError{code: exitUnusable, err: err}
	}
	bbtapp.LimitMemory()
	log := bbtapp.NewLogger(s, os.Stderr)
	defer log.Sync()
	app, err := bbtapp.New(s, log)
	if err != nil {
		return err
	}
	return app.Run()
}
