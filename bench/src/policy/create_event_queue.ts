/** Priority queue of timed events; events with equal times are popped in insertion order. */
export interface EventQueue<T> {
  pushEvent(atMs: number, event: T): void;
  popEvent(): { readonly atMs: number; readonly event: T } | undefined;
}

interface Item<T> {
  readonly atMs: number;
  readonly order: number;
  readonly event: T;
}

/** Creates an event queue on a binary heap. */
export function createEventQueue<T>(): EventQueue<T> {
  const heap: Item<T>[] = [];
  let order = 0;
  const isBefore = (left: number, right: number) => {
    const a = heap[left] as Item<T>;
    const b = heap[right] as Item<T>;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  };
  const replaceAt = (left: number, right: number) => {
    const item = heap[left] as Item<T>;
    heap[left] = heap[right] as Item<T>;
    heap[right] = item;
  };
  const moveDown = () => {
    for (let index = 0;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        least = child < heap.length && isBefore(child, least) ? child : least;
      }
      if (least === index) {
        return;
      }
      replaceAt(index, least);
      index = least;
    }
  };
  return {
    pushEvent: (atMs, event) => {
      heap.push({ atMs, order: order++, event });
      for (let index = heap.length - 1; index > 0;) {
        const parent = (index - 1) >> 1;
        if (!isBefore(index, parent)) {
          return;
        }
        replaceAt(index, parent);
        index = parent;
      }
    },
    popEvent: () => {
      const first = heap[0];
      const last = heap.pop();
      if (first === undefined || last === undefined) {
        return undefined;
      }
      if (heap.length > 0) {
        heap[0] = last;
        moveDown();
      }
      return first;
    },
  };
}
