package region

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

var errNoCommand = merry.New("the store holds no command of the job")

// sentCommands names the jobs whose commands a keeper has been told in a session, those
// of the last half of what it remembers.
type sentCommands struct {
	known map[string]bool
	order []string
}

// add notes that a job's command is told, and reports whether it has to be.
func (s *sentCommands) add(job string) bool {
	if s.known[job] {
		return false
	}
	if s.known == nil {
		s.known = make(map[string]bool)
	}
	if len(s.order) == proto.KeptCommands/2 {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[job] = true
	s.order = append(s.order, job)
	return true
}

// commanded reports whether the command of a start's job is known here. If it is not, as
// after a takeover, it is read from the store, and the start is sent after that.
func (l *lead) commanded(o proto.Order) bool {
	job := o.Task.Job
	if _, known := l.planner.Command(job); known {
		return true
	}
	waiting, reading := l.commandless[job]
	l.commandless[job] = append(waiting, o)
	if !reading {
		l.group.Go(func() { l.readCommand(job) })
	}
	return false
}

// readCommand reads the command of a job and sends the starts that wait for it.
func (l *lead) readCommand(job string) {
	values, _, err := l.node.Table.Read(l.ctx, keyCommand(job))
	i := slices.IndexFunc(values, func(v winch.Value) bool { return v.Key == keyCommand(job) })
	if err == nil && i < 0 {
		err = errNoCommand
	}
	l.post(func() {
		waiting := l.commandless[job]
		delete(l.commandless, job)
		if err != nil {
			l.node.Log.Info("command not read", zap.String("job", job), zap.Error(err))
			for _, o := range waiting {
				l.unsent(o)
			}
			return
		}
		l.planner.SetCommand(job, string(values[i].Data))
		l.send(waiting)
	})
}
