package placement

// This file defines the queue of a pool. It keeps tasks grouped by stage of a request, so that the
// cost of a change does not grow with the tasks that wait.

import "slices"

// taskQueue holds the queued tasks of a pool. The zero value is empty.
type taskQueue struct {
	groups  []*taskGroup // in the order of their first task; some may be empty
	byStage map[*jobStage]*taskGroup
	tasks   int
	// byPriority is the number of tasks of each priority.
	byPriority map[int]int
}

// taskGroup holds the queued tasks of one stage of a request.
type taskGroup struct {
	tasks            []*task
	order            order // set by Scheduler.taskGroups
	crossDomainBytes int64 // bytes that cross failure domains if one of the tasks runs elsewhere
}

// push adds a task at the end of its group.
func (q *taskQueue) push(p *task) {
	if q.byStage == nil {
		q.byStage = map[*jobStage]*taskGroup{}
		q.byPriority = map[int]int{}
	}
	g := q.byStage[p.stage]
	if g == nil {
		g = &taskGroup{crossDomainBytes: p.crossDomainBytes()}
		q.byStage[p.stage] = g
		q.groups = append(q.groups, g)
	}
	g.tasks = append(g.tasks, p)
	q.tasks++
	q.byPriority[p.job.rank.priority]++
}

// remove removes a task if it is queued.
func (q *taskQueue) remove(p *task) {
	g := q.byStage[p.stage]
	if g == nil {
		return
	}
	if i := slices.Index(g.tasks, p); i >= 0 {
		g.tasks = slices.Delete(g.tasks, i, i+1)
		q.removed(g, p)
	}
}

// take removes the first n tasks of a group and returns them.
func (q *taskQueue) take(g *taskGroup, n int) []*task {
	l := slices.Clone(g.tasks[:n])
	g.tasks = g.tasks[n:]
	for _, p := range l {
		q.removed(g, p)
	}
	return l
}

// removed takes account of a task that was removed from a group.
func (q *taskQueue) removed(g *taskGroup, p *task) {
	q.tasks--
	q.byPriority[p.job.rank.priority]--
	if len(g.tasks) == 0 {
		delete(q.byStage, p.stage)
	}
}

// compact removes empty groups.
func (q *taskQueue) compact() {
	q.groups = slices.DeleteFunc(q.groups, func(g *taskGroup) bool { return len(g.tasks) == 0 })
}

// ahead returns the number of tasks that are at least as urgent as a priority.
func (q *taskQueue) ahead(priority int) int {
	n := 0
	for p, k := range q.byPriority {
		if p <= priority {
			n += k
		}
	}
	return n
}
