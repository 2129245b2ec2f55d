package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"plantainwinch/conf"
	"plantainwinch/platform/fake"
	"plantainwinch/stand"
	"plantainwinch/winch"
)

func newStand() *cobra.Command {
	cmd := &cobra.Command{Use: "stand", Short: "Run a simple substitute for a system that the cell depends on", Example: "  plantainwinch stand platform"}
	cmd.AddCommand(newStandPlatform(), newStandExecutor(), newStandWorker(), newStandSite())
	return cmd
}

func newStandPlatform() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a key-value service and VM list in memory",
		Example: "  plantainwinch stand platform --listen 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := &stand.Platform{}
			return serveStand(cmd, listen, p.Handler(), nil)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to serve on")
	return cmd
}

func newStandExecutor() *cobra.Command {
	var listen, platform string
	vm := winch.VM{Role: winch.RoleExecutor}
	cmd := &cobra.Command{
		Use:     "executor",
		Short:   "Run an executor that echoes requests, and add it to the platform's list",
		Example: "  plantainwinch stand executor --name e1 --domain d1 --service render --listen 127.0.0.1:7100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vm.Address = listen
			e := &stand.Executor{Name: vm.ID, Slots: vm.Slots}
			return serveStand(cmd, listen, e.Handler(), func() error { return register(platform, vm) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7100", "address to serve on")
	f.StringVar(&platform, "platform", "127.0.0.1:7000", "address of the platform")
	f.StringVar(&vm.ID, "name", "executor-1", "name of the VM")
	f.StringVar(&vm.Domain, "domain", "d1", "failure domain")
	f.StringVar(&vm.Service, "service", "render", "service of the executor")
	f.IntVar(&vm.Slots, "slots", 8, "maximum number of requests that run at once")
	f.IntVar(&vm.Connections, "connections", 64, "maximum number of connections")
	return cmd
}

func newStandWorker() *cobra.Command {
	var listen, platform, memory string
	vm := winch.VM{Role: winch.RoleWorker}
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Run a worker that only simulates the run time of tasks, and add it to the platform's list",
		Example: "  plantainwinch stand worker --name w1 --domain d1 --processors 16 --memory 32GB --listen 127.0.0.1:7200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			size, err := conf.ParseBytes(memory)
			if err != nil {
				return merry.Prepend(err, "--memory")
			}
			vm.Address, vm.Size.Memory = listen, size
			w := &stand.Worker{VM: vm, Fence: true}
			return serveStand(cmd, listen, w.Handler(), func() error { return register(platform, vm) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7200", "address to serve on")
	f.StringVar(&platform, "platform", "127.0.0.1:7000", "address of the platform")
	f.StringVar(&vm.ID, "name", "worker-1", "name of the VM")
	f.StringVar(&vm.Domain, "domain", "d1", "failure domain")
	f.StringVar(&vm.Rack, "rack", "rack-1", "rack")
	f.IntVar(&vm.Size.Processors, "processors", 16, "processors")
	f.StringVar(&memory, "memory", "32GB", "memory")
	f.IntVar(&vm.Size.Accelerators, "accelerators", 0, "accelerators")
	return cmd
}

func newStandSite() *cobra.Command {
	s := fake.Platform{Teams: []fake.Team{{Name: "choir"}, {Name: "duct"}}}
	domains := 1
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run a platform with a transactional store, workers and an advice service",
		Long: "Run what the entries of a region need: a store with the operator's configuration, worker VMs that\n" +
			"only simulate the run time of tasks, and an advice service that grants every request. The command of a\n" +
			"task is a team's name and the task's run time, such as \"choir 2s\". The teams choir and duct have the\n" +
			"keys key-of-choir and key-of-duct; the queue is called jobs.",
		Example: "  plantainwinch stand site --store 127.0.0.1:7000 --advice 127.0.0.1:7005",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for i := range domains {
				s.Domains = append(s.Domains, fmt.Sprintf("d%d", i+1))
			}
			if err := s.Start(); err != nil {
				return merry.Errorf("%v: choose free ports", err)
			}
			defer s.Stop()
			fmt.Fprintln(cmd.OutOrStdout(), "site serves its store on", s.StoreAddress, "and advice on", s.AdviceAddress)
			<-cmd.Context().Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.StoreAddress, "store", "127.0.0.1:7000", "address of the store")
	f.StringVar(&s.AdviceAddress, "advice", "127.0.0.1:7005", "address of the advice service")
	f.IntVar(&domains, "domains", 1, "number of failure domains")
	f.IntVar(&s.Workers, "workers", 2, "number of worker VMs in each failure domain")
	f.Int64Var(&s.Milli, "milli", 16000, "processors of each worker VM, in thousandths of a processor")
	return cmd
}

// serveStand serves h on the address listen until the command's context ends. It calls ready, if given, once the
// server accepts connections.
func serveStand(cmd *cobra.Command, listen string, h http.Handler, ready func() error) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return merry.Errorf("--listen %s: %v: choose a free port", listen, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = server.Serve(ln) })
	defer server.Close()
	if ready != nil {
		if err := ready(); err != nil {
			return err
		}
	}
	fmt.Fprintln(cmd.OutOrStdout(), cmd.Name(), "serves on", ln.Addr())
	<-cmd.Context().Done()
	return nil
}

// maxRegisterAttempts limits how often register tries to reach a platform that has not started yet.
const maxRegisterAttempts = 50

// register adds a VM to the platform's list. It retries, as the platform may still be starting.
func register(platform string, vm winch.VM) error {
	data, err := json.Marshal(vm)
	if err != nil {
		return merry.Wrap(err)
	}
	for range maxRegisterAttempts {
		if err = postVM(platform, data); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return merry.Errorf("cannot register at the platform at %s (%v): start it first, or set its address with --platform", platform, err)
}

// postVM sends an encoded VM to the platform once.
func postVM(platform string, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+platform+"/VMs", bytes.NewReader(data))
	if err != nil {
		return merry.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.ToLower(resp.Status))
	}
	return nil
}
