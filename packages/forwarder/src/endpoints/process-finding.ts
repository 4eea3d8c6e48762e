/** What a question to the process behind an endpoint's address has found. */

/** What an answer says of the process at the address of an endpoint. */
export enum ProcessFinding {
  /** It is the one that the entry names. */
  Listed = 'listed',
  /** It is another one. */
  Other = 'other',
  /** There is one; the entry or the answer names no start. */
  Unnamed = 'unnamed',
  /** There is no answer. */
  Silent = 'silent',
}
