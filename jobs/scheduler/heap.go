package scheduler

// positioned is an item that knows its position in the heap that it is in; -1 if it is in none.
type positioned interface{ setPosition(at int) }

// itemHeap is a heap of items in the order of before. It implements heap.Interface.
type itemHeap[T positioned] struct {
	items  []T
	before func(a, b T) bool
}

func (h *itemHeap[T]) Len() int { return len(h.items) }

func (h *itemHeap[T]) Less(i, k int) bool { return h.before(h.items[i], h.items[k]) }

func (h *itemHeap[T]) Swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	h.items[i].setPosition(i)
	h.items[k].setPosition(k)
}

// Push appends an item; only container/heap calls it.
func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	item.setPosition(len(h.items))
	h.items = append(h.items, item)
}

// Pop removes the last item; only container/heap calls it.
func (h *itemHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	item.setPosition(-1)
	return item
}

func (t *task) setPosition(at int) { t.position = at }

func (g *taskGroup) setPosition(at int) { g.position = at }
