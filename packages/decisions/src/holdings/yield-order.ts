/**
 * Who gives up what is held for it when the budget is full. What is stalled goes before what comes in or is taken at a
 * normal pace, and a whole request that is served never yields: an ordinary caller sends its request and takes its answer
 * at once, so it is neither stalled nor among the oldest for long, whatever else comes.
 */

/** What is held. */
export enum HoldingKind {
  /** Bytes that are no whole head yet, or requests sent ahead that aren't read yet. */
  UnreadInput = 'unread_input',
  /** A body of which the rest is awaited. */
  AwaitedBody = 'awaited_body',
  /** A part of an answer that its caller hasn't taken. */
  UntakenAnswer = 'untaken_answer',
  /** A whole request, or an answer that comes in: what it costs was promised. */
  ServedRequest = 'served_request',
}

/** What is held for one request or connection. */
export interface HoldingState {
  readonly kind: HoldingKind;
  /** The workspace that is known to have sent it, or else the caller's address. */
  readonly owner: string;
  readonly bytes: number;
  /** Monotonic time since which it is held, in ms. */
  readonly heldSince: number;
  /** Monotonic time of its latest progress, in ms. */
  readonly progressAt: number;
}

/** Time without progress after which a holding is stalled, in ms. */
const STALL_MS = 1_000;

/** The holding that yields first; undefined if none may. */
export function pickYielding<Holding extends HoldingState>(
  holdings: Iterable<Holding>,
  now: number,
): Holding | undefined {
  const yielding = [...holdings].filter(mayYield);
  const stalled = yielding.filter((holding) => isStalled(holding, now));
  const candidates = stalled.length > 0 ? stalled : yielding;
  const owner = findLargestOwner(candidates);
  let first: Holding | undefined;
  for (const holding of candidates) {
    if (holding.owner !== owner) continue;
    if (first === undefined || weigh(holding, now) > weigh(first, now)) first = holding;
  }
  return first;
}

/** Whether a holding has made no progress for long. */
export function isStalled({ progressAt }: HoldingState, now: number): boolean {
  return now - progressAt > STALL_MS;
}

function mayYield({ kind, bytes }: HoldingState): boolean {
  return bytes > 0 && kind !== HoldingKind.ServedRequest;
}

/** The more it holds and the longer, the sooner it yields. */
function weigh({ bytes, heldSince }: HoldingState, now: number): number {
  return bytes * (1 + now - heldSince);
}

function findLargestOwner(holdings: readonly HoldingState[]): string | undefined {
  const totals = new Map<string, number>();
  for (const { owner, bytes } of holdings) totals.set(owner, (totals.get(owner) ?? 0) + bytes);
  let largest: string | undefined;
  for (const [owner, total] of totals) {
    if (largest === undefined || total > (totals.get(largest) ?? 0)) largest = owner;
  }
  return largest;
}
