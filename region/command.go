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
	// commandTime bounds the question to the entry that accepted a job for its command; the
	// store is read after it.
	commandTime = 250 * time.Millisecond
	// commandsPause is how long after a takeover the commands of all jobs are read: what the
	// workers run is heard first.
	commandsPause = time.Second
)

var errNoCommand = merry.New("the store holds no command of the job")

// readCommands reads the commands of the jobs that have not ended, once a takeover is done:
// keepers ask for them, and while the store is away, or this failure domain is cut off, nobody
// else may have them.
func (l *lead) readCommands(ctx context.Context) {
	for duty.Pause(ctx, commandsPause); ctx.Err() == nil; duty.Pause(ctx, retryPause) {
		values, _, err := l.node.Table.Read(ctx, prefixCommands)
		if err != nil {
			l.node.Log.Info("commands not read", zap.Error(err))
			continue
		}
		for _, v := range values {
			l.node.commands.Add(strings.TrimPrefix(v.Key, prefixCommands), string(v.Data))
		}
		return
	}
}

// giveCommand answers a keeper that asks for the command of a job that this entry accepted.
func (n *Node) giveCommand(ask proto.CommandAsk) proto.CommandGive {
	text, known := n.commands.Get(ask.Job)
	return proto.CommandGive{Known: known, Command: text}
}

// command gets the command of a job for this entry's keeper: from the entry that accepted
// the job, so that the planner's link is not filled with what most keepers need. If that
// entry does not have it any more, the planner may, and the store has it.
func (n *Node) command(ctx context.Context, job, origin string) (string, error) {
	if text, known := n.commands.Get(job); known {
		return text, nil
	}
	for _, name := range []string{origin, n.cell.holder()} {
		if text, known := n.askCommand(ctx, job, name); known {
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

func (n *Node) askCommand(ctx context.Context, job, name string) (string, bool) {
	if name == "" || name == n.Name {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	var give proto.CommandGive
	err := n.Peers.Ask(ctx, name, proto.KindCommand, proto.CommandAsk{Job: job}, &give)
	return give.Command, err == nil && give.Known
}
