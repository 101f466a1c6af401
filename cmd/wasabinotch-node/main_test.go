package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// runMainVariable makes the test binary run the command instead of the tests.
const runMainVariable = "WASABINOTCH_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a process that SIGHUP ends because it arrives before the settings are read.
func TestHangupDuringTheStartEndsNoProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "entry", "--settings", path)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the FIFO waits until the process reads its settings.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := settings.Close(); err != nil { // the settings are empty, which is invalid
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if status := cmd.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
		t.Errorf("the process was ended by %v", status.Signal())
	}
}
