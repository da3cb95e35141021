package relay

import (
	"context"
	"slices"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// forwardJob is a set of objects to forward to the children of this member in the
// tree with the given root.
type forwardJob struct {
	root    place.Instance
	objects []store.Object
}

// enqueue queues a job for the goroutine that forwards. If the queue is full it
// drops the job: the peers find the change when they compare digests, and pull it.
func (r *Relay) enqueue(job forwardJob) {
	if len(job.objects) == 0 {
		return
	}
	select {
	case r.queue <- job:
	default:
		r.log.Warn("The queue of changes to forward is full; peers will pull this change.")
	}
}

// ForwardQueued runs the queued forward jobs and returns when none is left. Run
// does the same in the background.
func (r *Relay) ForwardQueued(ctx context.Context) {
	for {
		select {
		case job := <-r.queue:
			r.forward(ctx, job)
		default:
			return
		}
	}
}

// forward sends the objects of a job to the children of this member.
func (r *Relay) forward(ctx context.Context, job forwardJob) {
	children := childrenOf(job.root, r.self.Instance, r.view().zone)
	for _, part := range split(job.objects) {
		message := &wire.Settings{Root: string(job.root), Objects: part}
		tasks := make([]func(), 0, len(children))
		for _, child := range children {
			tasks = append(tasks, func() { r.forwardTo(ctx, child, message) })
		}
		r.parallel(tasks)
	}
}

// forwardTo sends objects to one child and compares the digest in the answer with
// its own.
func (r *Relay) forwardTo(ctx context.Context, child place.Instance, message *wire.Settings) {
	answer, err := r.call(ctx, child, message)
	if err != nil {
		r.log.WithError(err).WithField("peer", child).Debug("Forwarding a change to a peer failed; the peer will pull it.")
		return
	}
	if digest, ok := answer.(*wire.SettingsDigest); ok {
		r.compare(child, digest)
	}
}

// childrenOf returns the children of self in the tree of the root. The root comes
// first, the other members follow in the order of their rendezvous hashes, and the
// member at index i forwards to the treeWidth members from index i*treeWidth+1. It
// returns nil if self is not a member.
func childrenOf(root, self place.Instance, members []place.Instance) []place.Instance {
	others := slices.DeleteFunc(slices.Clone(members), func(m place.Instance) bool { return m == root })
	order := append([]place.Instance{root}, rank(string(root), others)...)
	index := slices.Index(order, self)
	if index < 0 {
		return nil
	}
	first := min(index*treeWidth+1, len(order))
	return order[first:min(first+treeWidth, len(order))]
}

// split splits objects into parts that fit into one message each.
func split(objects []store.Object) [][]wire.SettingsObject {
	var parts [][]wire.SettingsObject
	for len(objects) > 0 {
		part := fitMessage(objects)
		parts = append(parts, part)
		objects = objects[len(part):]
	}
	return parts
}

// fitMessage returns as many of the first objects as fit into one message, at least one.
func fitMessage(objects []store.Object) []wire.SettingsObject {
	var part []wire.SettingsObject
	size := 0
	for _, o := range objects {
		size += len(o.Value()) + len(o.Path()) + objectOverheadBytes
		if len(part) > 0 && size > maxMessageBytes {
			break
		}
		part = append(part, wire.SettingsObject{Path: o.Path(), Version: o.Version(), Deleted: o.Deleted(), Value: o.Value()})
	}
	return part
}

func objectsOf(message *wire.Settings) []store.Object {
	objects := make([]store.Object, 0, len(message.Objects))
	for _, o := range message.Objects {
		objects = append(objects, store.NewObject(o.Path, o.Version, o.Value, o.Deleted))
	}
	return objects
}

// Handle processes a message of another process about settings and returns the
// answer. It returns nil for any other message.
func (r *Relay) Handle(_ context.Context, peer wire.Hello, message wire.Message) wire.Message {
	switch m := message.(type) {
	case *wire.SettingsDigest:
		r.compare(peer.Instance, m)
		return r.digest()
	case *wire.Settings:
		r.enqueue(forwardJob{root: place.Instance(m.Root), objects: r.apply(objectsOf(m))})
		return r.digest()
	case *wire.SettingsPull:
		return r.answerPull(m)
	}
	return nil
}

// call calls a peer with CallTimeout and counts the message.
func (r *Relay) call(ctx context.Context, peer place.Instance, message wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r.messagesSent.Add(1)
	return r.caller.Call(ctx, peer, message)
}
