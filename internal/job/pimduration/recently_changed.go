package pimduration

import "container/list"

// recentlyChanged is a map of limited size. A new entry replaces the one to which nothing was added for the longest time.
// Reading does not change the order, so that it does not depend on the order of queries.
type recentlyChanged[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	// order holds the entries, the most recently changed first.
	order *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

func newRecentlyChanged[K comparable, V any](limit int) *recentlyChanged[K, V] {
	return &recentlyChanged[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

func (r *recentlyChanged[K, V]) get(key K) (V, bool) {
	element, ok := r.entries[key]
	if !ok {
		var none V
		return none, false
	}
	return element.Value.(*entry[K, V]).value, true
}

func (r *recentlyChanged[K, V]) getOrAdd(key K, create func() V) V {
	if element, ok := r.entries[key]; ok {
		r.order.MoveToFront(element)
		return element.Value.(*entry[K, V]).value
	}
	if len(r.entries) >= r.limit {
		r.remove(r.order.Back().Value.(*entry[K, V]).key)
	}
	value := create()
	r.entries[key] = r.order.PushFront(&entry[K, V]{key, value})
	return value
}

func (r *recentlyChanged[K, V]) remove(key K) {
	if element, ok := r.entries[key]; ok {
		r.order.Remove(element)
		delete(r.entries, key)
	}
}

// forEach visits all entries, the most recently changed first.
func (r *recentlyChanged[K, V]) forEach(visit func(key K, value V)) {
	for element := r.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry[K, V])
		visit(e.key, e.value)
	}
}
