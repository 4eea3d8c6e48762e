/**
 * Transfers of cached prompts between endpoints. An endpoint that lacks the shared prefix of a prompt can copy it
 * from one that has it, which takes a small part of the time of a prefill and none of the engine's.
 *
 * Load pattern: a prompt is in demand beyond what one endpoint can serve, or the endpoint that has it cached is
 * late, drains or is evacuated. Without transfers, each further endpoint has to prefill it again.
 */

/** How the endpoints of a pool transfer cached tokens. */
export interface CacheTransfer {
  bytesPerToken: number;
  /** Bandwidth between two endpoints, in bytes per ms. */
  bytesPerMs: number;
}

/** An endpoint that may serve a request or be the source of its prefix. */
export interface TransferEndpoint {
  dataCentre: string;
  /** Version of its software; endpoints of different versions may not read each other's caches. */
  version?: string | undefined;
  /** Tokens of the shared prefix that it doesn't have cached. */
  uncachedTokens: number;
}

/** A transfer that a request can begin with. */
export interface PromptTransfer<Source> {
  source: Source;
  tokens: number;
  /** Estimated duration in ms. */
  durationMs: number;
}

/** Fewest tokens that are worth a transfer. */
export const MIN_TRANSFER_TOKENS = 256;

/** Time that a transfer takes besides its bytes, in ms. */
const SETUP_MS = 6;

/** A transfer between data centres takes this many times as long. */
const REMOTE_FACTOR = 2;

/** Largest part of the time of a prefill that a transfer may take to be worthwhile. */
const MAX_PREFILL_FRACTION = 0.2;

/** The best source of each data centre and version: the one that has most of the prefix. */
export function selectSources<Source extends TransferEndpoint>(
  candidates: Iterable<Source>,
): Source[] {
  const best = new Map<string, Source>();
  for (const candidate of candidates) {
    const key = `${candidate.dataCentre}/${candidate.version ?? ''}`;
    const current = best.get(key);
    if (current === undefined || candidate.uncachedTokens < current.uncachedTokens)
      best.set(key, candidate);
  }
  return [...best.values()];
}

/** Inputs of `planTransfer`. */
export interface TransferRequest<Source extends TransferEndpoint> {
  target: TransferEndpoint;
  /** Endpoints that have cached some of the prefix. */
  sources: readonly Source[];
  transfer: CacheTransfer;
  /** Estimated time to prefill one token at the target, in ms. */
  prefillMsPerToken: number;
}

/** The transfer with which the target saves most time; undefined if a prefill is about as fast. */
export function planTransfer<Source extends TransferEndpoint>(
  request: TransferRequest<Source>,
): PromptTransfer<Source> | undefined {
  const { target, sources, transfer, prefillMsPerToken } = request;
  let best: PromptTransfer<Source> | undefined;
  let mostSavedMs = 0;
  for (const source of sources) {
    if (source.version !== target.version) continue;
    const tokens = target.uncachedTokens - source.uncachedTokens;
    if (tokens < MIN_TRANSFER_TOKENS) continue;
    const durationMs = transferMs(tokens, target.dataCentre === source.dataCentre, transfer);
    const prefillMs = tokens * prefillMsPerToken;
    if (durationMs > prefillMs * MAX_PREFILL_FRACTION) continue;
    const savedMs = prefillMs - durationMs;
    if (savedMs <= mostSavedMs) continue;
    best = { source, tokens, durationMs };
    mostSavedMs = savedMs;
  }
  return best;
}

function transferMs(tokens: number, isLocal: boolean, transfer: CacheTransfer): number {
  const bytesMs = (tokens * transfer.bytesPerToken) / transfer.bytesPerMs;
  return SETUP_MS + bytesMs * (isLocal ? 1 : REMOTE_FACTOR);
}
