/** The B+ tree of `sorted-btree`, whose default export Node.js wraps in an object and others do not. */
import BTree from 'sorted-btree';

type TreeClass = typeof BTree;

const loaded: unknown = BTree;

/** A sorted map with logarithmic changes. */
export const SortedTree: TreeClass =
  typeof loaded === 'function' ? BTree : (loaded as { default: TreeClass }).default;
