package region

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/proto"
)

// commandTime bounds the question to the entry that accepted a job for its command; the
// store is read after it.
const commandTime = 250 * time.Millisecond

var errNoCommand = merry.New("the store holds no command of the job")

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
