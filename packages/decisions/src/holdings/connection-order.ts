/**
 * Which connection of a full listener is closed for a new one. A connection whose request is served is never closed, nor
 * is one on which its caller may still go on at its pace; a new one without a head only if there is no other.
 */

/** What a connection is doing. */
export enum ConnectionPhase {
  /** No whole head has come over it yet. */
  New = 'new',
  /** Kept open between two requests. */
  Idle = 'idle',
  /** The rest of a body is awaited. */
  Receiving = 'receiving',
  /** Its caller doesn't take an answer. */
  Unread = 'unread',
  /** A whole request is served. */
  Serving = 'serving',
}

/** A connection as the decision sees it. */
export interface ConnectionState {
  readonly phase: ConnectionPhase;
  /** Monotonic time since which it is in this phase, in ms. */
  readonly since: number;
}

/** Time in which an ordinary caller goes on: with a head, with a body, or with taking an answer; in ms. */
const PATIENCE_MS = 1_000;

/** The phases in the order in which their connections are closed. */
const ORDER = [
  ConnectionPhase.New,
  ConnectionPhase.Idle,
  ConnectionPhase.Receiving,
  ConnectionPhase.Unread,
];

/** The connection that is closed first; undefined if none may be. */
export function pickClosing<Connection extends ConnectionState>(
  connections: Iterable<Connection>,
  now: number,
): Connection | undefined {
  const oldest = new Map<ConnectionPhase, Connection>();
  let newcomer: Connection | undefined;
  for (const connection of connections) {
    const { phase, since } = connection;
    if (phase === ConnectionPhase.Idle || now - since > PATIENCE_MS)
      oldest.set(phase, olderOf(oldest.get(phase), connection));
    else if (phase === ConnectionPhase.New) newcomer = olderOf(newcomer, connection);
  }
  for (const phase of ORDER) {
    const found = oldest.get(phase);
    if (found !== undefined) return found;
  }
  return newcomer;
}

function olderOf<Connection extends ConnectionState>(
  first: Connection | undefined,
  second: Connection,
): Connection {
  return first !== undefined && first.since <= second.since ? first : second;
}
