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
	cmd := &cobra.Command{Use: "stand", Short: "Run a small stand-in for a system around the cell", Example: "  plantainwinch stand platform"}
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
		Short:   "Run an executor that echoes requests, and put it on the platform's list",
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
	f.StringVar(&vm.Service, "service", "render", "service that it belongs to")
	f.IntVar(&vm.Slots, "slots", 8, "requests that it runs at once")
	f.IntVar(&vm.Connections, "connections", 64, "connections that it takes")
	return cmd
}

func newStandWorker() *cobra.Command {
	var listen, platform, memory string
	vm := winch.VM{Role: winch.RoleWorker}
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Run a worker whose tasks only take time, and put it on the platform's list",
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
		Long: "Run what entries of a region need: a store with the operator's configuration, worker VMs whose\n" +
			"tasks only take time, and an advice service that allows all. A command is a team's name and how\n" +
			"long a task takes, such as \"choir 2s\". The teams choir and duct have the keys key-of-choir and\n" +
			"key-of-duct; the queue is called jobs.",
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
	f.IntVar(&domains, "domains", 1, "failure domains")
	f.IntVar(&s.Workers, "workers", 2, "worker VMs in each failure domain")
	f.Int64Var(&s.Milli, "milli", 16000, "processors of each worker VM, in thousandths")
	return cmd
}

// serveStand serves until the command's context ends.
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

// registerTries bounds how long a stand-in waits for the platform.
const registerTries = 50

// register puts a VM on the platform's list.
func register(platform string, vm winch.VM) error {
	data, err := json.Marshal(vm)
	if err != nil {
		return merry.Wrap(err)
	}
	for range registerTries {
		if err = post(platform, data); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return merry.Errorf("the platform at %s does not answer (%v): start it first, or name it with --platform", platform, err)
}

func post(platform string, data []byte) error {
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
