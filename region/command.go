package region

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
)

const (
	// commandTimeout bounds a request to another entry for a job's command. The store is read
	// after it.
	commandTimeout = 250 * time.Millisecond
	// commandsReadDelay is how long after a takeover the commands of all jobs are read, so that
	// the workers' reports of what runs come first.
	commandsReadDelay = time.Second
)

var errNoCommand = merry.New("the store holds no command for the job")

// readCommands reads the commands of the jobs that have not ended, once a takeover is done.
// Keepers ask for them, and while the store is unresponsive or this failure domain is partitioned
// no other source may be left.
func (l *leadership) readCommands(ctx context.Context) {
	for duty.Sleep(ctx, commandsReadDelay); ctx.Err() == nil; duty.Sleep(ctx, retryDelay) {
		values, _, err := l.node.Table.Read(ctx, prefixCommands)
		if err != nil {
			l.node.Log.Info("commands of jobs not read; retrying", zap.Error(err))
			continue
		}
		for _, v := range values {
			l.node.commands.Add(strings.TrimPrefix(v.Key, prefixCommands), string(v.Data))
		}
		return
	}
}

// commandResponse answers a keeper's request for the command of a job that this entry accepted.
func (n *Node) commandResponse(request proto.CommandRequest) proto.CommandResponse {
	text, known := n.commands.Get(request.Job)
	return proto.CommandResponse{Known: known, Command: text}
}

// command returns the command of a job for this entry's keeper. It asks the entry that accepted
// the job first, since requests of all keepers would saturate the planner's link. If that entry
// no longer has the command, it asks the planner, and then reads the store.
func (n *Node) command(ctx context.Context, job, origin string) (string, error) {
	if text, known := n.commands.Get(job); known {
		return text, nil
	}
	for _, name := range []string{origin, n.cell.holder()} {
		if text, known := n.requestCommand(ctx, job, name); known {
			return text, nil
		}
	}
	values, _, err := n.Table.Read(ctx, keyCommand(job))
	if err != nil {
		return "", err
	}
	for _, v := range values {
		if v.Key == keyCommand(job) {
			return string(v.Data), nil
		}
	}
	return "", errNoCommand
}

// requestCommand asks another entry for the command of a job.
func (n *Node) requestCommand(ctx context.Context, job, name string) (string, bool) {
	if name == "" || name == n.Name {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if !n.connect(ctx, name) {
		return "", false
	}
	var response proto.CommandResponse
	err := n.Peers.Request(ctx, name, proto.KindCommand, proto.CommandRequest{Job: job}, &response)
	return response.Command, err == nil && response.Known
}
