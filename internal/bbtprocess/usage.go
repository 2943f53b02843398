package bbtprocess

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// PeakMemory returns the most memory that the process has had resident, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb << 10, nil
		}
	}
	return 0, errors.New("no VmHWM in the process's status")
}

// OpenFiles returns how many descriptors the process has open.
func (p *Process) OpenFiles() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), err
}
