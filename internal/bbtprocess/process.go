package bbtprocess

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a running program.
type Process struct {
	cmd  *exec.Cmd
	addr string
}

// start runs a program.
func start(stderr io.Writer, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Stderr = stderr
	// The program is killed when the test process ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", path)
	}
	return &Process{cmd: cmd}, nil
}

// startStandin runs a stand-in and reads the address that it prints on standard output.
func startStandin(stderr io.Writer, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Stderr = stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", path)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, errors.Wrapf(err, "read address of %v", args)
	}
	return &Process{cmd: cmd, addr: strings.TrimSpace(line)}, nil
}

// Addr returns the address on which a stand-in listens; it is empty for hosts.
func (p *Process) Addr() string { return p.addr }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Freeze suspends the process and returns once the kernel reports it as stopped.
func (p *Process) Freeze(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return Await(ctx, "the process is stopped", p.stopped)
}

// stopped reports whether the kernel reports the process as stopped. In the stat
// file the state follows the program's name, which is in parentheses.
func (p *Process) stopped() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T")
}

// Kill kills the process and waits for it to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // the process may have exited already
	_ = p.cmd.Wait()
}

// Wait waits for the process to exit and returns its error.
func (p *Process) Wait() error { return p.cmd.Wait() }
