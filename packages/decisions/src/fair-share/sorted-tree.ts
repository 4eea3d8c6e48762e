/** The B+ tree of `sorted-btree`. Node.js wraps its default export in an object, other loaders do not. */
import BTree from 'sorted-btree';

type TreeClass = typeof BTree;

const loaded: unknown = BTree;

/** A sorted map with insertion and deletion in logarithmic time. */
export const SortedTree: TreeClass =
  typeof loaded === 'function' ? BTree : (loaded as { default: TreeClass }).default;
